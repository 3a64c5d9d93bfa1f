/// Guards against news that waits while callers return, and against a message
/// for each piece of news.
#define BOOST_TEST_MODULE news_pacing
#include "trefoilmill/process/news_pacing.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point kStart(seconds(100));

}  // namespace

BOOST_AUTO_TEST_CASE(news_is_passed_on_soon) {
  news_pacing pacing;
  BOOST_TEST((pacing.OnNews(kStart) == kStart + milliseconds(5)));
}

BOOST_AUTO_TEST_CASE(what_comes_meanwhile_goes_along) {
  news_pacing pacing;
  BOOST_TEST(pacing.OnNews(kStart).has_value());
  BOOST_TEST(!pacing.OnNews(kStart + milliseconds(1)).has_value());
  pacing.OnDue();
  BOOST_TEST(pacing.OnNews(kStart + milliseconds(6)).has_value());
}

BOOST_AUTO_TEST_CASE(messages_are_limited_while_much_news_comes) {
  news_pacing pacing;
  time_point now = kStart;
  int sent = 0;
  while (now < kStart + seconds(1)) {
    const auto due = pacing.OnNews(now);
    BOOST_REQUIRE(due.has_value());
    now = *due;
    pacing.OnDue();
    pacing.OnSent(now);
    ++sent;
  }
  BOOST_TEST(sent <= 21);
  BOOST_TEST(sent >= 19);
}

}  // namespace trefoilmill
