/// Tests when shards of one request are hedged, and where.
#define BOOST_TEST_MODULE request_run_hedge
#include <boost/test/unit_test.hpp>

#include "request_run_fixture_test.h"
#include "trefoilmill/request/request_run.h"

namespace trefoilmill {

using std::chrono::milliseconds;

// One endpoint pauses for longer than the objective.
BOOST_FIXTURE_TEST_CASE(a_late_shard_is_hedged_and_the_first_reply_is_used,
                        request_fixture) {
  Start("/sweep/1");
  now += milliseconds(8);
  ReportReplies(1, 10);
  RunUntil(now + milliseconds(20));
  BOOST_TEST_REQUIRE(sends.size() == 11U);
  BOOST_TEST(sends[10].shard == 0U);
  BOOST_TEST((sends[10].endpoint != sends[0].endpoint));
  BOOST_TEST((sends[10].deadline == sends[0].deadline));
  ReportReply(sends[10]);
  const auto* gathered = AnswerAs<gathered_answer>();
  BOOST_TEST_REQUIRE(gathered != nullptr);
  BOOST_TEST(gathered->missing == 0U);
  BOOST_TEST(run->counts().hedges == 1U);
  BOOST_TEST(run->in_flight());
}

// All replicas of one shard are unusable and endpoints of the other shards are
// slow. In one run, 8 of 9 shards replied, but the last one was never hedged
// because no connection was free when its hedge was first due.
BOOST_FIXTURE_TEST_CASE(a_hedge_that_cannot_be_sent_is_retried,
                        request_fixture) {
  DisableShard(3);
  Start("/sweep/1");
  BOOST_TEST_REQUIRE(sends.size() == 9U);
  now += milliseconds(8);
  ReportReplies(1, 9);
  for (int replica = 0; replica < kReplicas; ++replica) {
    shared.selector.SetIdleConnections(Endpoint(0, replica), 0);
  }
  RunUntil(now + milliseconds(30));
  BOOST_TEST(sends.size() == 9U);
  for (int replica = 0; replica < kReplicas; ++replica) {
    shared.selector.SetIdleConnections(Endpoint(0, replica), 1);
  }
  RunUntil(now + milliseconds(15));
  BOOST_TEST_REQUIRE(sends.size() == 10U);
  BOOST_TEST(sends[9].shard == 0U);
  ReportReply(sends[9]);
  BOOST_TEST(AnswerAs<gathered_answer>() != nullptr);
}

// The answer needs this shard, so its hedge goes to a slow replica as well.
BOOST_FIXTURE_TEST_CASE(a_required_shard_is_hedged_at_a_slow_endpoint,
                        request_fixture) {
  DisableShard(3);
  for (int replica = 0; replica < kReplicas; ++replica) {
    shared.selector.OnPeerReport(
        now, {.endpoint = Endpoint(0, replica), .slowdown_milli = 4400});
  }
  Start("/sweep/1");
  now += milliseconds(8);
  ReportReplies(1, 9);
  RunUntil(now + milliseconds(20));
  BOOST_TEST(sends.size() == 10U);
}

BOOST_FIXTURE_TEST_CASE(no_shard_is_sent_to_more_than_max_endpoints,
                        request_fixture) {
  Start("/sweep/1");
  const request_run::send first = sends[0];
  RunUntil(now + milliseconds(30));
  const std::size_t hedged = sends.size();
  BOOST_TEST(hedged > 10U);
  ReportOutcome(first, reply_lost{reason_code::kConnectionReset});
  RunUntil(now + milliseconds(40));
  std::size_t sends_to_first_shard = 0;
  for (const auto& sent : sends) {
    sends_to_first_shard += sent.shard == 0 ? 1 : 0;
  }
  BOOST_TEST(sends_to_first_shard <= 2U);
}

// The endpoint died without a reset, and so did that of the hedge.
BOOST_FIXTURE_TEST_CASE(a_silent_endpoint_is_not_waited_for_until_the_timeout,
                        request_fixture) {
  routing_config config;
  config.routes = {RelayRoute("read", retry_rule::kIdempotent)};
  config.routes.front().max_endpoints = 3;
  table = route_table::Create(std::move(config)).value();
  for (int replica = 0; replica < kReplicas; ++replica) {
    shared.selector.OnPeerReport(
        now, {.endpoint = Endpoint(0, replica), .slowdown_milli = 3000});
  }
  Start("/read/1");
  RunUntil(now + 2 * kObjective);
  BOOST_TEST_REQUIRE(sends.size() == 3U);
  ReportReply(request_run::send(sends[2]));
  BOOST_TEST(AnswerAs<relayed_answer>() != nullptr);
}

}  // namespace trefoilmill
