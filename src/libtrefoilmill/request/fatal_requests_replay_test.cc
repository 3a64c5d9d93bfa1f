/// Guards against ends that only refused connections would show: the request
/// goes on ending endpoints, at sizes at which a host hears little of each.
#define BOOST_TEST_MODULE fatal_requests_replay
#include <boost/test/unit_test.hpp>

#include "fatal_requests_fleet_test.h"

namespace trefoilmill {

namespace {

/// The platform's rule allows so many late retries.
constexpr std::size_t kAllowed = 3;
/// The third end comes within two seconds, and nothing is late before six.
constexpr duration kLength = seconds(16);

}  // namespace

BOOST_AUTO_TEST_CASE(fatal_requests_reach_endpoints_a_few_times) {
  PlayAll(kLength, [](const fleet_scenario& played, const fleet& f) {
    BOOST_TEST_CONTEXT(Describe(played, f)) {
      for (std::size_t n = 0; n < played.fatal_requests; ++n) {
        BOOST_TEST(f.late_retries(n) <= kAllowed);
      }
    }
  });
}

// Requests that were in flight, and callers that come again meanwhile.
BOOST_AUTO_TEST_CASE(nobody_is_blamed_for_the_loss_of_all_endpoints) {
  for (fleet_scenario played : fleets) {
    for (const down_form form : {down_form::kReset, down_form::kSilent}) {
      played.form = form;
      played.fatal_requests = 0;
      played.all_end_at = seconds(2);
      played.length = seconds(8);
      for (played.seed = 1; played.seed <= LastSeed(); ++played.seed) {
        fleet f(played);
        f.Play();
        BOOST_TEST_CONTEXT(Describe(played, f)) {
          BOOST_TEST(f.quarantined() == 0U);
        }
      }
    }
  }
}

}  // namespace trefoilmill
