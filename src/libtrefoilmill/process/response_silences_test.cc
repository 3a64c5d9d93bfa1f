#define BOOST_TEST_MODULE response_silences
#include "trefoilmill/process/response_silences.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point kStart(seconds(100));

}  // namespace

BOOST_AUTO_TEST_CASE(a_response_counts_from_then_on) {
  response_silences silences;
  BOOST_TEST(!silences.AnyAfter(time_point()));
  silences.OnResponse(kStart + seconds(1));
  BOOST_TEST(silences.AnyAfter(kStart));
  BOOST_TEST(!silences.AnyAfter(kStart + seconds(1)));
}

// A loss of all endpoints blames no request that was sent after it.
BOOST_AUTO_TEST_CASE(silence_around_a_time_is_remembered) {
  response_silences silences;
  BOOST_TEST(!silences.AnyAround(kStart));
  silences.OnResponse(kStart);
  BOOST_TEST(silences.AnyAround(kStart + milliseconds(90)));
  BOOST_TEST(!silences.AnyAround(kStart + milliseconds(200)));
  silences.OnResponse(kStart + seconds(2));
  silences.OnResponse(kStart + seconds(3));
  BOOST_TEST(silences.AnyAround(kStart + milliseconds(90)));
  BOOST_TEST(!silences.AnyAround(kStart + milliseconds(200)));
  BOOST_TEST(!silences.AnyAround(kStart + milliseconds(1000)));
  BOOST_TEST(silences.AnyAround(kStart + milliseconds(1100)));
}

// A host whose link was silent blames no request that waited meanwhile.
BOOST_AUTO_TEST_CASE(a_long_silence_is_remembered) {
  response_silences silences;
  silences.OnResponse(kStart);
  BOOST_TEST(!silences.WasSilent(kStart - seconds(1)));
  silences.OnResponse(kStart + seconds(1));
  BOOST_TEST(silences.WasSilent(kStart - seconds(1)));
  BOOST_TEST(silences.WasSilent(kStart + milliseconds(400)));
  BOOST_TEST(!silences.WasSilent(kStart + milliseconds(500)));
}

// A host with few requests is silent most of the time.
BOOST_AUTO_TEST_CASE(only_the_latest_silences_are_kept) {
  response_silences silences;
  for (int second = 0; second < 100; ++second) {
    silences.OnResponse(kStart + seconds(second));
  }
  BOOST_TEST(silences.WasSilent(kStart));
  BOOST_TEST(silences.WasSilent(kStart + seconds(98)));
  BOOST_TEST(!silences.WasSilent(kStart + seconds(99)));
}

}  // namespace trefoilmill
