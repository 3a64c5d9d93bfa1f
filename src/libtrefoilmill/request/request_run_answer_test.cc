/// Tests what one request answers, and when.
#define BOOST_TEST_MODULE request_run_answer
#include <boost/test/unit_test.hpp>

#include "request_run_fixture_test.h"
#include "trefoilmill/request/request_run.h"

namespace trefoilmill {

using std::chrono::milliseconds;

BOOST_FIXTURE_TEST_CASE(a_gathered_answer_is_complete_when_all_shards_replied,
                        request_fixture) {
  Start("/sweep/1");
  BOOST_TEST_REQUIRE(sends.size() == 10U);
  ReportReplies(0, 9);
  BOOST_TEST(!answer.has_value());
  ReportReplies(9, 10);
  const auto* gathered = AnswerAs<gathered_answer>();
  BOOST_TEST_REQUIRE(gathered != nullptr);
  BOOST_TEST(gathered->missing == 0U);
  BOOST_TEST(gathered->stamps.size() == 10U);
  BOOST_TEST(gathered->records.size() == 5 * kRecordBytes);
}

// An endpoint pauses, but the minimum coverage allows one missing shard.
BOOST_FIXTURE_TEST_CASE(a_sufficient_answer_is_sent_at_the_objective,
                        request_fixture) {
  Start("/sweep/1");
  const time_point arrived = now;
  now += milliseconds(8);
  ReportReplies(0, 9);
  RunUntil(arrived + kObjective);
  const auto* gathered = AnswerAs<gathered_answer>();
  BOOST_TEST_REQUIRE(gathered != nullptr);
  BOOST_TEST(gathered->missing == 1U);
  BOOST_TEST(gathered->stamps.size() == 9U);
}

// Partial answers that were sent 9 ms before the objective arrived at their
// callers after it, due to the network latency.
BOOST_FIXTURE_TEST_CASE(a_partial_answer_is_sent_early_enough_to_arrive_in_time,
                        request_fixture) {
  // The one-way latency is 3 ms; the caller opens a new connection first.
  constexpr duration kOneWayLatency = milliseconds(3);
  Start("/sweep/1");
  const time_point arrived = now;
  ReportReplies(0, 9);
  const time_point sent = arrived - 3 * kOneWayLatency;
  RunUntil(sent + kObjective - kOneWayLatency);
  BOOST_TEST(answer.has_value());
}

BOOST_FIXTURE_TEST_CASE(an_insufficient_answer_is_not_sent_at_the_objective,
                        request_fixture) {
  Start("/sweep/1");
  const time_point arrived = now;
  ReportReplies(0, 8);
  RunUntil(arrived + kObjective);
  BOOST_TEST(!answer.has_value());
  // The objective is missed, so the request waits for a complete answer.
  ReportReply(request_run::send(sends[8]));
  BOOST_TEST(!answer.has_value());
  RunUntil(arrived + 2 * kObjective);
  BOOST_TEST_REQUIRE(AnswerAs<gathered_answer>() != nullptr);
}

// All replicas of a shard are unusable.
BOOST_FIXTURE_TEST_CASE(a_shard_without_endpoints_is_not_waited_for,
                        request_fixture) {
  DisableShard(3);
  Start("/sweep/1");
  BOOST_TEST_REQUIRE(sends.size() == 9U);
  ReportReplies(0, 9);
  const auto* gathered = AnswerAs<gathered_answer>();
  BOOST_TEST_REQUIRE(gathered != nullptr);
  BOOST_TEST(gathered->missing == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_error_reply_is_excluded_from_a_gathered_answer,
                        request_fixture) {
  Start("/sweep/1");
  endpoint_replied error;
  error.response.status = 500;
  error.stamp = "stamp-of-a-failure";
  ReportOutcome(sends[0], error);
  ReportOutcome(sends[10], error);
  ReportReplies(1, 10);
  const auto* gathered = AnswerAs<gathered_answer>();
  BOOST_TEST_REQUIRE(gathered != nullptr);
  BOOST_TEST(gathered->missing == 1U);
  for (const std::string& stamp : gathered->stamps) {
    BOOST_TEST(stamp != "stamp-of-a-failure");
  }
}

BOOST_FIXTURE_TEST_CASE(an_error_reply_is_relayed_unchanged, request_fixture) {
  Start("/book/1");
  endpoint_replied error;
  error.response.status = 500;
  error.response.body = "its own words";
  error.stamp = "stamp";
  ReportOutcome(sends[0], error);
  const auto* relayed = AnswerAs<relayed_answer>();
  BOOST_TEST_REQUIRE(relayed != nullptr);
  BOOST_TEST(relayed->response.status == 500);
  BOOST_TEST(relayed->response.body == "its own words");
}

BOOST_FIXTURE_TEST_CASE(no_request_outlives_its_timeout, request_fixture) {
  Start("/read/1");
  RunUntil(now + kTimeout);
  const auto* failed = AnswerAs<failed_answer>();
  BOOST_TEST_REQUIRE(failed != nullptr);
  BOOST_TEST((failed->reason == reason_code::kDeadlineExceeded));
}

BOOST_FIXTURE_TEST_CASE(troubles_name_the_shards_and_the_obstacle,
                        request_fixture) {
  DisableShard(3);
  Start("/sweep/x");
  // The first send is that of shard 0; it is late and its hedge has no budget.
  while (shared.extra_sends.TrySpend(now, Service(0))) {
  }
  for (std::size_t i = 1; i < sends.size(); ++i) {
    ReportReply(request_run::send(sends[i]));
  }
  RunUntil(now + std::chrono::milliseconds(60));
  const auto troubles = run->Troubles(5);
  BOOST_TEST_REQUIRE(troubles.size() == 2U);
  BOOST_TEST((troubles[0].service == Service(0)));
  BOOST_TEST((troubles[0].endpoint == sends[0].endpoint));
  BOOST_TEST((troubles[0].obstacle == resend_obstacle::kBudget));
  BOOST_TEST((troubles[1].service == Service(3)));
  BOOST_TEST((troubles[1].endpoint == endpoint_id()));
  BOOST_TEST((troubles[1].obstacle == resend_obstacle::kNoReplica));
  BOOST_TEST(run->Troubles(1).size() == 1U);
}

}  // namespace trefoilmill
