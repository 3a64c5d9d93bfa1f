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

// A loss of all endpoints blames no request that was sent after it.
BOOST_AUTO_TEST_CASE(silence_around_a_time_is_remembered) {
  constexpr time_point kStart(seconds(100));
  endpoint_responses responses;
  BOOST_TEST(!responses.AnyAround(kStart));
  responses.OnResponse(kStart, endpoint_id("a"));
  BOOST_TEST(responses.AnyAround(kStart + milliseconds(90)));
  BOOST_TEST(!responses.AnyAround(kStart + milliseconds(200)));
  responses.OnResponse(kStart + seconds(2), endpoint_id("b"));
  responses.OnResponse(kStart + seconds(3), endpoint_id("a"));
  BOOST_TEST(responses.AnyAround(kStart + milliseconds(90)));
  BOOST_TEST(!responses.AnyAround(kStart + milliseconds(200)));
  BOOST_TEST(!responses.AnyAround(kStart + milliseconds(1000)));
  BOOST_TEST(responses.AnyAround(kStart + milliseconds(1100)));
}

// A host whose link was silent blames no request that waited meanwhile.
BOOST_AUTO_TEST_CASE(a_long_silence_is_remembered) {
  constexpr time_point kStart(seconds(100));
  endpoint_responses responses;
  responses.OnResponse(kStart, endpoint_id("a"));
  BOOST_TEST(!responses.WasSilent(kStart - seconds(1)));
  responses.OnResponse(kStart + seconds(1), endpoint_id("a"));
  BOOST_TEST(responses.WasSilent(kStart - seconds(1)));
  BOOST_TEST(responses.WasSilent(kStart + milliseconds(400)));
  BOOST_TEST(!responses.WasSilent(kStart + milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(any_response_counts_for_the_host) {
  constexpr time_point kStart(seconds(100));
  endpoint_responses responses;
  BOOST_TEST(!responses.AnyAfter(kStart));
  responses.OnResponse(kStart + seconds(1), endpoint_id("a"));
  responses.Forget(endpoint_id("a"));
  BOOST_TEST(responses.AnyAfter(kStart));
  BOOST_TEST(!responses.AnyAfter(kStart + seconds(1)));
}

}  // namespace trefoilmill
