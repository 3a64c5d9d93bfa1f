/// Tests which failures of an endpoint lead to a retry, and what the caller
/// gets if none does.
#define BOOST_TEST_MODULE request_run_retry
#include <boost/test/unit_test.hpp>

#include "request_run_fixture_test.h"
#include "trefoilmill/request/request_run.h"

namespace trefoilmill {

using std::chrono::milliseconds;

BOOST_FIXTURE_TEST_CASE(a_failed_shard_is_retried_at_another_endpoint,
                        request_fixture) {
  Start("/sweep/1");
  ReportOutcome(sends[0], reply_lost{reason_code::kMalformedReply});
  BOOST_TEST_REQUIRE(sends.size() == 11U);
  BOOST_TEST((sends[10].endpoint != sends[0].endpoint));
  ReportReplies(1, 11);
  BOOST_TEST_REQUIRE(AnswerAs<gathered_answer>() != nullptr);
  BOOST_TEST(AnswerAs<gathered_answer>()->missing == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_failed_shard_is_not_retried_without_budget,
                        request_fixture) {
  while (shared.extra_sends.TrySpend(now, Service(0))) {
  }
  Start("/sweep/1");
  ReportOutcome(sends[0], reply_lost{reason_code::kConnectionReset});
  BOOST_TEST(sends.size() == 10U);
  BOOST_TEST(run->counts().budget_refusals == 1U);
}

// Guarantee: a request that is not idempotent runs at most once.
BOOST_FIXTURE_TEST_CASE(at_most_once_is_not_retried_after_it_may_have_run,
                        request_fixture) {
  Start("/book/1");
  RunUntil(now + milliseconds(300));
  BOOST_TEST(sends.size() == 1U);
  ReportOutcome(sends[0], reply_lost{reason_code::kConnectionReset});
  BOOST_TEST(sends.size() == 1U);
  BOOST_TEST(AnswerAs<failed_answer>() != nullptr);
}

BOOST_FIXTURE_TEST_CASE(at_most_once_is_retried_after_a_refusal,
                        request_fixture) {
  Start("/book/1");
  ReportOutcome(sends[0], endpoint_refused{reason_code::kShed});
  BOOST_TEST_REQUIRE(sends.size() == 2U);
  ReportOutcome(sends[1], endpoint_refused{reason_code::kShed});
  // Guarantee: a refusal is only sent if the request certainly did not run.
  const auto* refused = AnswerAs<refused_answer>();
  BOOST_TEST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->reason == reason_code::kShed));
}

BOOST_FIXTURE_TEST_CASE(a_refusal_after_a_lost_reply_fails_the_request,
                        request_fixture) {
  Start("/read/1");
  ReportOutcome(sends[0], reply_lost{reason_code::kConnectionReset});
  BOOST_TEST_REQUIRE(sends.size() == 2U);
  ReportOutcome(sends[1], endpoint_refused{reason_code::kShed});
  BOOST_TEST(AnswerAs<failed_answer>() != nullptr);
}

// The address of an endpoint is reassigned to an endpoint of another service.
BOOST_FIXTURE_TEST_CASE(
    a_wrong_endpoint_is_displaced_and_the_request_is_retried,
    request_fixture) {
  Start("/book/1");
  const endpoint_id address_reused = sends[0].endpoint;
  ReportOutcome(sends[0], endpoint_refused{reason_code::kWrongInstance});
  BOOST_TEST(shared.registry.Find(address_reused)->address_reused);
  BOOST_TEST_REQUIRE(sends.size() == 2U);
  BOOST_TEST((sends[1].endpoint != address_reused));
}

BOOST_FIXTURE_TEST_CASE(nothing_is_sent_after_the_caller_disconnected,
                        request_fixture) {
  Start("/sweep/1");
  run->OnCallerDisconnected();
  ReportOutcome(sends[0], reply_lost{reason_code::kConnectionReset});
  BOOST_TEST(sends.size() == 10U);
  BOOST_TEST(!answer.has_value());
}

// The request itself makes the host learn of the pauses.
BOOST_FIXTURE_TEST_CASE(the_request_that_is_pushed_back_says_until_when,
                        request_fixture) {
  shared.selector.OnPauseRequested(now, Endpoint(0, 0),
                                   std::chrono::seconds(2));
  Start("/read/1");
  for (std::size_t sent = 0; sent < 2; ++sent) {
    BOOST_TEST_REQUIRE(sends.size() == sent + 1);
    shared.selector.OnPauseRequested(now, sends[sent].endpoint,
                                     std::chrono::seconds(2));
    ReportOutcome(request_run::send(sends[sent]),
                  endpoint_refused{reason_code::kShed});
  }
  const auto* refused = AnswerAs<refused_answer>();
  BOOST_TEST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->retry_after >= std::chrono::seconds(2)));
}

}  // namespace trefoilmill
