#define BOOST_TEST_MODULE endpoint_responses
#include "trefoilmill/process/endpoint_responses.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(an_endpoint_is_up_for_a_moment_after_a_response) {
  constexpr time_point kStart(seconds(100));
  const endpoint_id a("a");
  endpoint_responses responses;
  BOOST_TEST(!responses.WasUp(kStart, a));
  responses.OnResponse(kStart, a);
  BOOST_TEST(responses.WasUp(kStart - seconds(9), a));
  BOOST_TEST(responses.WasUp(kStart + milliseconds(400), a));
  BOOST_TEST(!responses.WasUp(kStart + seconds(1), a));
  BOOST_TEST(!responses.WasUp(kStart, endpoint_id("b")));
  responses.Forget(a);
  BOOST_TEST(!responses.WasUp(kStart, a));
}

}  // namespace trefoilmill
