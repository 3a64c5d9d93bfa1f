/// Requests of a host that loses the endpoints: those that another host may run
/// again are given up, at the cost of the budget for extra sends.
#define BOOST_TEST_MODULE request_run_hand_over
#include <boost/test/unit_test.hpp>

#include "request_run_fixture_test.h"

namespace trefoilmill {
namespace {

struct fixture : request_fixture {
  fixture() {
    // Extra sends are saved up.
    now += std::chrono::minutes(1);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_request_without_a_reply_is_handed_over, fixture) {
  Start("/sweep/1");
  BOOST_TEST(run->TryHandOver(now, shared));
  BOOST_TEST(run->finished());
  // The replies come after all, and are not used.
  ReportReplies(0, sends.size());
  BOOST_TEST(!answer.has_value());
  BOOST_TEST(!run->TryHandOver(now, shared));
}

BOOST_FIXTURE_TEST_CASE(a_request_with_a_reply_goes_on_here, fixture) {
  Start("/sweep/1");
  ReportReply(request_run::send(sends.front()));
  BOOST_TEST(!run->TryHandOver(now, shared));
  BOOST_TEST(!run->finished());
}

BOOST_FIXTURE_TEST_CASE(a_request_that_must_not_run_twice_stays, fixture) {
  Start("/book/1");
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  BOOST_TEST(!run->TryHandOver(now, shared));
  BOOST_TEST(!run->finished());
}

BOOST_FIXTURE_TEST_CASE(each_handed_over_request_is_an_extra_send, fixture) {
  int handed_over = 0;
  for (int request = 0; request < 100; ++request) {
    Start("/sweep/1");
    handed_over += run->TryHandOver(now, shared) ? 1 : 0;
  }
  BOOST_TEST(handed_over >= 1);
  BOOST_TEST(handed_over < 100);
  BOOST_TEST(!shared.extra_sends.TrySpend(now, Service(0)));
}

}  // namespace trefoilmill
