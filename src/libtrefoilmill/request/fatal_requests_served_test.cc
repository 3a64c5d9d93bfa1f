/// Guards against fatal requests that take the endpoints from all others.
#define BOOST_TEST_MODULE fatal_requests_served
#include <boost/test/unit_test.hpp>

#include "fatal_requests_fleet_test.h"

namespace trefoilmill {

namespace {

/// Of the others so many are served whole, with one retry of their callers.
constexpr double kServed = 0.95;
constexpr duration kLength = seconds(26);

}  // namespace

BOOST_AUTO_TEST_CASE(others_are_served_beside_fatal_requests) {
  PlayAll(kLength, [](const fleet_scenario& played, const fleet& f) {
    BOOST_TEST_MESSAGE(Describe(played, f));
    BOOST_TEST_CONTEXT(Describe(played, f)) {
      BOOST_TEST(f.served() >= kServed);
    }
  });
}

}  // namespace trefoilmill
