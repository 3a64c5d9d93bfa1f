/// Tests hedges, retries, deadlines and answers of one request.
#define BOOST_TEST_MODULE request_run
#include "trefoilmill/request/request_run.h"

#include <boost/test/unit_test.hpp>

#include "request_run_fixture_test.h"

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

BOOST_FIXTURE_TEST_CASE(
    a_request_with_too_few_shards_is_refused_before_any_send,
    request_fixture) {
  DisableShard(3);
  DisableShard(4);
  Start("/sweep/1");
  BOOST_TEST(sends.empty());
  BOOST_TEST(!run->in_flight());
  const auto* refused = AnswerAs<refused_answer>();
  BOOST_TEST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->retry_after > duration::zero()));
}

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

BOOST_FIXTURE_TEST_CASE(a_refusal_after_a_lost_reply_fails_the_request,
                        request_fixture) {
  Start("/read/1");
  ReportOutcome(sends[0], reply_lost{reason_code::kConnectionReset});
  BOOST_TEST_REQUIRE(sends.size() == 2U);
  ReportOutcome(sends[1], endpoint_refused{reason_code::kShed});
  BOOST_TEST(AnswerAs<failed_answer>() != nullptr);
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

// There are more requests than free connections.
BOOST_FIXTURE_TEST_CASE(a_request_without_a_connection_is_refused_early,
                        request_fixture) {
  for (int replica = 0; replica < kReplicas; ++replica) {
    shared.selector.SetIdleConnections(Endpoint(0, replica), 0);
  }
  Start("/book/1");
  const time_point arrived = now;
  BOOST_TEST(sends.empty());
  RunUntil(arrived + kObjective / 4);
  BOOST_TEST(AnswerAs<refused_answer>() != nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_free_connection_goes_to_a_waiting_request,
                        request_fixture) {
  for (int replica = 0; replica < kReplicas; ++replica) {
    shared.selector.SetIdleConnections(Endpoint(0, replica), 0);
  }
  Start("/book/1");
  shared.selector.SetIdleConnections(Endpoint(0, 1), 1);
  now += milliseconds(5);
  Apply(run->OnCapacity(now, shared, 0));
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  BOOST_TEST((sends[0].endpoint == Endpoint(0, 1)));
  ReportReply(sends[0]);
  BOOST_TEST(AnswerAs<relayed_answer>() != nullptr);
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

/// Makes all endpoints look as slow as under overload.
struct overload_fixture : request_fixture {
  overload_fixture() {
    // The most urgent requests are never refused for the load.
    routing_config config;
    config.routes = {GatherRoute()};
    config.routes.front().priority = 1;
    table = route_table::Create(std::move(config)).value();
  }
  void ReportAllSlow(double slowdown) {
    for (int shard = 0; shard < kShards; ++shard) {
      for (int replica = 0; replica < kReplicas; ++replica) {
        for (int report = 0; report < 20; ++report) {
          shared.selector.OnPeerReport(
              now, {.endpoint = Endpoint(shard, replica),
                    .slowdown_milli = static_cast<int>(1000 * slowdown)});
        }
      }
    }
  }
  /// Starts requests until one is refused or deferred, with `time_left`.
  void StartUntilNotSent(duration time_left) {
    do {
      sends.clear();
      answer.reset();
      const route* r = table->Match("h", "/sweep/x");
      run = std::make_unique<request_run>(table, *r, ServicesOf(*r), now,
                                          now + time_left);
      Apply(run->Start(now, shared));
    } while (!sends.empty());
  }
};

BOOST_FIXTURE_TEST_CASE(overload_refuses_before_anything_is_sent,
                        overload_fixture) {
  ReportAllSlow(4);
  StartUntilNotSent(kTimeout);
  const auto* refused = AnswerAs<refused_answer>();
  BOOST_TEST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->reason == reason_code::kOverloaded));
  BOOST_TEST((refused->retry_after > duration::zero()));
}

BOOST_FIXTURE_TEST_CASE(a_returned_request_waits_for_the_load_to_fall,
                        overload_fixture) {
  ReportAllSlow(4);
  StartUntilNotSent(kTimeout);
  ReportAllSlow(4);
  StartUntilNotSent(kTimeout - std::chrono::milliseconds(200));
  BOOST_TEST(!answer.has_value());
  ReportAllSlow(0);
  RunUntil(now + std::chrono::milliseconds(40));
  BOOST_TEST(sends.size() == static_cast<std::size_t>(kShards));
}

BOOST_FIXTURE_TEST_CASE(a_deferred_request_is_refused_in_the_end,
                        overload_fixture) {
  ReportAllSlow(4);
  StartUntilNotSent(kTimeout);
  ReportAllSlow(4);
  StartUntilNotSent(kTimeout - std::chrono::milliseconds(100));
  const time_point started = now;
  while (!answer.has_value()) {
    ReportAllSlow(4);
    RunUntil(now + std::chrono::milliseconds(25));
  }
  BOOST_TEST((AnswerAs<refused_answer>() != nullptr));
  BOOST_TEST(sends.empty());
  BOOST_TEST((now - started <= 4 * kObjective + std::chrono::milliseconds(25)));
}

BOOST_FIXTURE_TEST_CASE(a_deferred_request_does_not_wait_for_a_pause_to_end,
                        overload_fixture) {
  ReportAllSlow(4);
  StartUntilNotSent(kTimeout);
  ReportAllSlow(4);
  StartUntilNotSent(kTimeout - std::chrono::milliseconds(100));
  BOOST_TEST_REQUIRE(!answer.has_value());
  for (int shard = 0; shard < 2; ++shard) {
    for (int replica = 0; replica < kReplicas; ++replica) {
      shared.selector.OnPauseRequested(now, Endpoint(shard, replica),
                                       std::chrono::seconds(2));
    }
  }
  const time_point paused = now;
  RunUntil(now + std::chrono::milliseconds(25));
  const auto* refused = AnswerAs<refused_answer>();
  BOOST_TEST_REQUIRE(refused != nullptr);
  BOOST_TEST((now + refused->retry_after >= paused + std::chrono::seconds(2)));
  BOOST_TEST(sends.empty());
}

}  // namespace trefoilmill
