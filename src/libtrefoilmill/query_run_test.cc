#define BOOST_TEST_MODULE query_run
#include "trefoilmill/query_run.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "entry_test_fixture.h"

namespace trefoilmill {
namespace {

query_run CreateRun(caller_query query, entry_context& context) {
  return query_run::Create(At(0), std::move(query), context).value();
}

query_answer AnswerOf(const query_actions& actions) {
  const auto answers = ActionsOf<finish_answer>(actions);
  BOOST_REQUIRE_EQUAL(answers.size(), 1U);
  return answers.front().answer;
}

failure RefusalOf(const query_actions& actions) {
  const auto refusals = ActionsOf<finish_refusal>(actions);
  BOOST_REQUIRE_EQUAL(refusals.size(), 1U);
  return refusals.front().error;
}

std::vector<shard_reply> AnswersTo(const std::vector<shard_request>& sent) {
  std::vector<shard_reply> replies;
  replies.reserve(sent.size());
  for (const shard_request& request : sent)
    replies.push_back(AnswerReply(request.attempt));
  return replies;
}

/// Warms all endpoints and records enough latency samples for the hedge delay
/// to be known.
void WarmWithLatencies(entry_context& context) {
  WarmAllEndpoints(At(0), context);
  for (const auto& [service, settings] : context.config->services) {
    for (int sample = 0; sample < 20; ++sample)
      context.latencies.Record(At(0), service, Ms(10));
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(complete_answer_with_one_message_per_owner) {
  entry_context context = MakeContext({{"s", 20}, {"t", 5}});
  query_run run = CreateRun(MakeQuery(), context);
  const query_actions start = run.Start(At(0));
  BOOST_TEST(ActionsOf<send_shards>(start).size() <= 3U);
  const auto sent = RequestsSent(start);
  BOOST_TEST(sent.size() == 25U);
  const query_answer answer = AnswerOf(run.OnReplies(At(9), AnswersTo(sent)));
  BOOST_TEST(answer.total == 25U);
  BOOST_TEST(answer.results.size() == 25U);
  BOOST_TEST(answer.missing.empty());
  BOOST_TEST(answer.snapshot == snapshot_version(7));
  BOOST_TEST(run.finished());
  BOOST_TEST(run.Tick(At(200)).empty());
}

BOOST_AUTO_TEST_CASE(unknown_and_duplicate_replies_are_counted_and_ignored) {
  entry_context context = MakeContext({{"s", 2}});
  query_run run = CreateRun(MakeQuery(), context);
  const auto sent = RequestsSent(run.Start(At(0)));
  run.OnReplies(At(1), {AnswerReply(sent[0].attempt, "first")});
  run.OnReplies(At(2), {AnswerReply(sent[0].attempt, "second"),
                        AnswerReply(attempt_id(99), "unknown")});
  BOOST_TEST(context.counters.duplicate_replies == 1U);
  BOOST_TEST(context.counters.unknown_replies == 1U);
  const auto answer =
      AnswerOf(run.OnReplies(At(3), {AnswerReply(sent[1].attempt, "x")}));
  BOOST_TEST(answer.results[sent[0].shard.shard.value()].payload == "first");
}

BOOST_AUTO_TEST_CASE(shed_shard_is_retried_on_another_replica) {
  entry_context context = MakeContext({{"s", 1}});
  query_run run = CreateRun(MakeQuery(), context);
  const auto first = RequestsSent(run.Start(At(0))).at(0);
  const auto second = RequestsSent(run.OnReplies(
      At(1),
      {FailureReply(first.attempt, verdict::kNotRun, reason_code::kShed)}));
  BOOST_REQUIRE_EQUAL(second.size(), 1U);
  BOOST_TEST(second[0].endpoint != first.endpoint);
  BOOST_TEST(AnswerOf(run.OnReplies(At(2), AnswersTo(second))).missing.empty());
}

BOOST_AUTO_TEST_CASE(retries_stop_when_their_budget_is_spent) {
  entry_context context = MakeContext({{"s", 1}});
  context.retry_budget.Charge(1000);
  query_run run = CreateRun(MakeQuery(), context);
  const auto first = RequestsSent(run.Start(At(0))).at(0);
  const auto actions = run.OnReplies(
      At(1),
      {FailureReply(first.attempt, verdict::kNotRun, reason_code::kShed)});
  BOOST_TEST(RequestsSent(actions).empty());
  BOOST_TEST(context.counters.budget_denied == 1U);
  const failure refusal = RefusalOf(run.Tick(At(100)));
  BOOST_TEST((refusal.outcome == verdict::kNotRun));
}

BOOST_AUTO_TEST_CASE(non_idempotent_query_is_retried_only_if_it_did_not_run) {
  entry_context context = MakeContext({{"s", 1}});
  caller_query query = MakeQuery();
  query.idempotent = false;
  query_run run = CreateRun(query, context);
  const auto first = RequestsSent(run.Start(At(0))).at(0);
  const auto second = RequestsSent(run.OnReplies(
      At(1),
      {FailureReply(first.attempt, verdict::kNotRun, reason_code::kDraining)}));
  BOOST_REQUIRE_EQUAL(second.size(), 1U);
  const auto end = run.OnReplies(
      At(2), {FailureReply(second[0].attempt, verdict::kMayHaveRun,
                           reason_code::kConnectionReset)});
  BOOST_TEST(RequestsSent(end).empty());
  const failure refusal = RefusalOf(end);
  BOOST_TEST((refusal.outcome == verdict::kMayHaveRun));
  BOOST_TEST((refusal.reason == reason_code::kConnectionReset));
}

BOOST_AUTO_TEST_CASE(
    shard_of_a_lost_host_is_retried_for_idempotent_queries_only) {
  for (const bool idempotent : {true, false}) {
    entry_context context = MakeContext({{"s", 1}});
    caller_query query = MakeQuery();
    query.idempotent = idempotent;
    query_run run = CreateRun(query, context);
    const auto start = run.Start(At(0));
    const host_id owner = ActionsOf<send_shards>(start).at(0).owner;
    const auto actions = run.OnHostLost(At(1), owner);
    BOOST_TEST(RequestsSent(actions).size() == (idempotent ? 1U : 0U));
    BOOST_TEST(run.finished() == !idempotent);
  }
}

BOOST_AUTO_TEST_CASE(late_shard_is_hedged_and_its_queued_original_cancelled) {
  entry_context context = MakeContext({{"s", 1}});
  WarmWithLatencies(context);
  query_run run = CreateRun(MakeQuery(), context);
  const auto first = RequestsSent(run.Start(At(0))).at(0);
  const auto hedges = RequestsSent(run.Tick(At(15)));
  BOOST_REQUIRE_EQUAL(hedges.size(), 1U);
  BOOST_TEST((hedges[0].hedge_of == first.attempt));
  BOOST_TEST(hedges[0].endpoint != first.endpoint);
  BOOST_TEST(RequestsSent(run.Tick(At(30))).empty());

  const auto started = run.OnHedgeStarted(At(31), hedges[0].attempt);
  const auto cancelled_if_queued = ActionsOf<cancel_shards>(started);
  BOOST_REQUIRE_EQUAL(cancelled_if_queued.size(), 1U);
  BOOST_TEST(cancelled_if_queued[0].message.only_queued);
  BOOST_TEST((cancelled_if_queued[0].message.attempts ==
              std::vector<attempt_id>{first.attempt}));

  const auto end = run.OnReplies(At(32), {AnswerReply(hedges[0].attempt)});
  const auto cancelled = ActionsOf<cancel_shards>(end);
  BOOST_REQUIRE_EQUAL(cancelled.size(), 1U);
  BOOST_TEST(!cancelled[0].message.only_queued);
  BOOST_TEST(AnswerOf(end).missing.empty());
  BOOST_TEST(context.counters.hedges_won == 1U);
}

BOOST_AUTO_TEST_CASE(
    late_shard_of_a_silent_owner_is_retried_without_hedge_budget) {
  const auto count_resends = [](bool owner_responded) {
    entry_context context = MakeContext({{"s", 1}});
    WarmWithLatencies(context);
    context.hedge_budget.Charge(1000);
    query_run run = CreateRun(MakeQuery(), context);
    const auto start = ActionsOf<send_shards>(run.Start(At(0)));
    if (owner_responded)
      context.owners.OnReceived(At(5), start.at(0).owner);
    return RequestsSent(run.Tick(At(15))).size();
  };
  BOOST_TEST(count_resends(false) == 1U);
  BOOST_TEST(count_resends(true) == 0U);
}

BOOST_AUTO_TEST_CASE(unresponsive_owner_is_skipped_while_others_respond) {
  entry_context context = MakeContext({{"s", 20}});
  WarmWithLatencies(context);
  query_run unanswered = CreateRun(MakeQuery(), context);
  const host_id unresponsive =
      ActionsOf<send_shards>(unanswered.Start(At(0))).at(0).owner;
  query_run run = CreateRun(MakeQuery(), context);
  for (const auto& sent : ActionsOf<send_shards>(unanswered.Tick(At(1))))
    context.owners.OnReceived(At(1), sent.owner);
  for (const char* host : {"h-a", "h-b", "h-c"}) {
    if (host_id(host) != unresponsive)
      context.owners.OnReceived(At(250), host_id(host));
  }
  for (const auto& sent : ActionsOf<send_shards>(run.Start(At(300))))
    BOOST_TEST(sent.owner != unresponsive);
}

BOOST_AUTO_TEST_CASE(no_hedge_without_budget_idempotence_or_free_slot) {
  const auto hedges = [](auto prepare) {
    entry_context context = MakeContext({{"s", 1}});
    WarmWithLatencies(context);
    caller_query query = MakeQuery();
    prepare(context, query);
    query_run run = CreateRun(query, context);
    // The owner responded after the request was sent, so the delay is at the
    // endpoint and only a hedge is permitted.
    const auto start = ActionsOf<send_shards>(run.Start(At(0)));
    context.owners.OnReceived(At(5), start.at(0).owner);
    return RequestsSent(run.Tick(At(15))).size();
  };
  BOOST_TEST(hedges([](auto&, auto&) {}) == 1U);
  BOOST_TEST(hedges([](auto&, auto& query) { query.idempotent = false; }) ==
             0U);
  BOOST_TEST(hedges([](auto& context, auto&) {
               context.hedge_budget.Charge(1000);
             }) == 0U);
  BOOST_TEST(hedges([](auto& context, auto&) {
               for (const std::string& zone : Zones()) {
                 endpoint_load cold = WarmLoad(Replica("s", 0, zone));
                 cold.cold = true;
                 context.endpoints.OnLoadReport(At(0), cold);
               }
             }) == 0U);
}

BOOST_AUTO_TEST_CASE(answer_at_the_deadline_reports_coverage_and_verdicts) {
  entry_context context = MakeContext({{"s", 3}});
  query_run run = CreateRun(MakeQuery(), context);
  const auto sent = RequestsSent(run.Start(At(0)));
  run.OnReplies(At(1), {AnswerReply(sent[0].attempt),
                        FailureReply(sent[1].attempt, verdict::kNotRun,
                                     reason_code::kDeadlineExceeded)});
  const query_answer answer = AnswerOf(run.Tick(At(100)));
  BOOST_TEST(answer.results.size() == 1U);
  BOOST_REQUIRE_EQUAL(answer.missing.size(), 2U);
  for (const missing_shard& missing : answer.missing) {
    const bool expired = missing.shard == sent[1].shard;
    BOOST_TEST((missing.outcome ==
                (expired ? verdict::kNotRun : verdict::kMayHaveRun)));
  }
}

BOOST_AUTO_TEST_CASE(latency_first_answers_at_the_target_with_enough_coverage) {
  for (const double min_coverage : {0.5, 0.9}) {
    entry_context context = MakeContext({{"s", 4}});
    caller_query query = MakeQuery(1000);
    query.policy = answer_policy::kLatencyFirst;
    query.min_coverage = min_coverage;
    query_run run = CreateRun(query, context);
    const auto sent = RequestsSent(run.Start(At(0)));
    run.OnReplies(At(1),
                  {AnswerReply(sent[0].attempt), AnswerReply(sent[1].attempt),
                   AnswerReply(sent[2].attempt)});
    const auto at_target = run.Tick(At(250));
    BOOST_TEST(run.finished() == (min_coverage < 0.75));
    if (!run.finished()) {
      const failure refusal = RefusalOf(run.Tick(At(1000)));
      BOOST_TEST((refusal.reason == reason_code::kCoverageTooLow));
      BOOST_TEST((refusal.outcome == verdict::kRan));
    }
  }
}

BOOST_AUTO_TEST_CASE(unavailable_version_is_replaced_for_all_shards_or_none) {
  for (const bool idempotent : {true, false}) {
    entry_context context = MakeContext({{"s", 3}});
    auto catalog = std::make_shared<snapshot_catalog>();
    catalog->versions.push_back(MakeLayout(7, {{"s", 2}}));
    context.catalog = std::make_shared<snapshot_catalog>(*catalog);
    caller_query query = MakeQuery();
    query.idempotent = idempotent;
    query_run run = CreateRun(query, context);
    auto sent = RequestsSent(run.Start(At(0)));
    catalog->versions.push_back(MakeLayout(8, {{"s", 3}}));
    context.catalog = catalog;
    const attempt_id old_attempt = sent[0].attempt;
    run.OnReplies(At(1), {AnswerReply(old_attempt)});
    query_actions actions;
    attempt_id outstanding = sent[1].attempt;
    for (int replica = 0; replica < 3; ++replica) {
      actions =
          run.OnReplies(At(2), {FailureReply(outstanding, verdict::kNotRun,
                                             reason_code::kVersionGone)});
      sent = RequestsSent(actions);
      if (!sent.empty())
        outstanding = sent[0].attempt;
    }
    if (!idempotent) {
      const query_answer answer = AnswerOf(actions);
      BOOST_TEST(answer.snapshot == snapshot_version(7));
      BOOST_TEST(answer.missing.size() == 1U);
      continue;
    }
    BOOST_TEST(sent.size() == 3U);
    run.OnReplies(At(3), {AnswerReply(old_attempt, "from the old version")});
    const query_answer answer = AnswerOf(run.OnReplies(At(4), AnswersTo(sent)));
    BOOST_TEST(answer.snapshot == snapshot_version(8));
    BOOST_TEST(answer.total == 3U);
    BOOST_TEST(answer.missing.empty());
  }
}

BOOST_AUTO_TEST_CASE(
    query_without_usable_replicas_is_refused_at_once_as_not_run) {
  entry_context context = MakeContext({{"s", 2}});
  context.endpoints.SetZoneStates(
      {.out = {zone_id("a"), zone_id("b"), zone_id("c")}});
  query_run run = CreateRun(MakeQuery(), context);
  const failure refusal = RefusalOf(run.Start(At(0)));
  BOOST_TEST((refusal.outcome == verdict::kNotRun));
  BOOST_TEST((refusal.reason == reason_code::kNoReplica));
}

BOOST_AUTO_TEST_CASE(cancelled_query_cancels_all_outstanding_attempts) {
  entry_context context = MakeContext({{"s", 4}});
  query_run run = CreateRun(MakeQuery(), context);
  const auto sent = RequestsSent(run.Start(At(0)));
  const auto end = run.Cancel(At(1));
  std::size_t cancelled = 0;
  for (const cancel_shards& cancel : ActionsOf<cancel_shards>(end))
    cancelled += cancel.message.attempts.size();
  BOOST_TEST(cancelled == sent.size());
  BOOST_TEST((RefusalOf(end).outcome == verdict::kMayHaveRun));
}

BOOST_AUTO_TEST_CASE(query_for_an_unknown_service_is_refused_as_not_run) {
  entry_context context = MakeContext({{"s", 1}});
  caller_query query = MakeQuery();
  query.all_services = false;
  query.services = {service_id("nobody")};
  const auto refused = query_run::Create(At(0), query, context);
  BOOST_REQUIRE(!refused);
  BOOST_TEST((refused.error().reason == reason_code::kUnknownService));
  BOOST_TEST((refused.error().outcome == verdict::kNotRun));
}

}  // namespace trefoilmill
