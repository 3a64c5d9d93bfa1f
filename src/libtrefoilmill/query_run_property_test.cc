#define BOOST_TEST_MODULE query_run_property
#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

#include "entry_test_fixture.h"

namespace trefoilmill {
namespace {

/// An attempt that the run sent, and how its simulated owner replied.
struct attempt_record {
  shard_request request;
  snapshot_version version;
  host_id owner;
  bool confirmed_not_run = false;
  bool replied = false;
};

/// Simulates owners and endpoints that answer, refuse, fail, delay, duplicate
/// or lose requests, and checks each action of the run against the invariants:
/// one final action; no send or wake-up after the deadline; no answer that
/// mixes snapshots; no shard reported as not run that may have run; and at most
/// one possible run per shard of a non-idempotent query.
class owner_simulator {
 public:
  owner_simulator(entry_context& context, query_run& run, bool idempotent)
      : context_(context), run_(run), idempotent_(idempotent) {}

  /// Checks the actions of one event and records the attempts that they send.
  void CheckActions(const query_actions& actions) {
    if (finished_)
      RC_ASSERT(actions.empty());
    for (const query_action& action : actions) {
      RC_ASSERT(!finished_);
      std::visit([this](const auto& each) { Check(each); }, action);
    }
  }

  /// Simulates one event, selected by `kind` with `pick` as its parameter.
  void Step(int kind, int pick) {
    constexpr int kKinds = 11;
    now_ += Ms(pick % 3);
    switch (kind % kKinds) {
      case 0:
      case 1:
      case 2:
        return Reply(pick, verdict::kRan, reason_code::kNone);
      case 3:
        return Reply(pick, verdict::kNotRun, reason_code::kShed);
      case 4:
        return Reply(pick, verdict::kNotRun, reason_code::kVersionGone);
      case 5:
        return Reply(pick, verdict::kMayHaveRun, reason_code::kConnectionReset);
      case 6:
        return Duplicate(pick);
      case 7:
        return CheckActions(run_.OnHostLost(now_, host_id("h-a")));
      case 8:
        return TakeZoneAOut(pick);
      case 9:
        now_ += Ms(pick % 20);
        return CheckActions(run_.Tick(now_));
      default:
        return HedgeStarted(pick);
    }
  }

  /// Advances past the deadline and checks the final state.
  void ExpireDeadline() {
    CheckActions(run_.Tick(At(100)));
    RC_ASSERT(finished_);
    RC_ASSERT(run_.finished());
    CheckActions(run_.Tick(At(101)));
    CheckActions(run_.Cancel(At(102)));
    if (!idempotent_)
      RC_ASSERT(MaxPossibleRuns() <= 1);
    for (const auto& [id, view] : EndpointViews())
      RC_ASSERT(view->outstanding == 0);
  }

 private:
  void Check(const send_shards& send) {
    RC_ASSERT(now_ < At(100));
    RC_ASSERT(send.message.remaining > duration{0});
    RC_ASSERT(send.message.remaining <= At(100) - now_);
    for (const shard_request& request : send.message.shards) {
      RC_ASSERT(send.owner.value().back() == request.endpoint.value().back());
      RC_ASSERT(!zone_a_out_ || request.endpoint.value().back() != 'a');
      RC_ASSERT(idempotent_ || !request.hedge_of);
      const bool is_new_id =
          attempts_
              .emplace(
                  request.attempt,
                  attempt_record{request, send.message.version, send.owner})
              .second;
      RC_ASSERT(is_new_id);
      sent_order_.push_back(request.attempt);
    }
  }
  void Check(const cancel_shards& cancel) {
    for (const attempt_id id : cancel.message.attempts)
      RC_ASSERT(attempts_.contains(id));
  }
  void Check(const wake_query_at& wake) { RC_ASSERT(wake.at <= At(100)); }

  void Check(const finish_answer& finish) {
    finished_ = true;
    const query_answer& answer = finish.answer;
    RC_ASSERT(answer.results.size() + answer.missing.size() == answer.total);
    RC_ASSERT(answer.total == ShardsOf(answer.snapshot));
    std::set<shard_ref> seen;
    for (const shard_result& result : answer.results) {
      RC_ASSERT(result.payload == Payload(answer.snapshot, result.shard));
      RC_ASSERT(seen.insert(result.shard).second);
    }
    for (const missing_shard& missing : answer.missing) {
      RC_ASSERT(seen.insert(missing.shard).second);
      if (missing.outcome == verdict::kNotRun)
        RC_ASSERT(PossibleRuns(missing.shard) == 0);
    }
  }
  void Check(const finish_refusal& finish) {
    finished_ = true;
    if (finish.error.outcome == verdict::kNotRun)
      RC_ASSERT(MaxPossibleRuns() == 0);
  }

  void Reply(int pick, verdict outcome, reason_code reason) {
    attempt_record* record = PickAttempt(pick, /*replied=*/false);
    if (record == nullptr)
      return;
    record->replied = true;
    record->confirmed_not_run = outcome == verdict::kNotRun;
    shard_reply reply = FailureReply(record->request.attempt, outcome, reason);
    if (outcome == verdict::kRan)
      reply.payload = Payload(record->version, record->request.shard);
    past_replies_.push_back(reply);
    CheckActions(run_.OnReplies(now_, {reply}));
  }

  void Duplicate(int pick) {
    if (past_replies_.empty())
      return;
    shard_reply duplicate = past_replies_[pick % past_replies_.size()];
    shard_reply unknown = duplicate;
    unknown.attempt = attempt_id(pick);
    CheckActions(run_.OnReplies(now_, {duplicate, unknown}));
  }

  void HedgeStarted(int pick) {
    const attempt_record* record = PickAttempt(pick, /*replied=*/false);
    if (record == nullptr || !record->request.hedge_of)
      return;
    CheckActions(run_.OnHedgeStarted(now_, record->request.attempt));
  }

  void TakeZoneAOut(int pick) {
    if (pick % 4 != 0)
      return;
    zone_a_out_ = true;
    context_.endpoints.SetZoneStates({.out = {zone_id("a")}});
  }

  attempt_record* PickAttempt(int pick, bool replied) {
    std::vector<attempt_record*> matching;
    for (const attempt_id id : sent_order_) {
      attempt_record& record = attempts_.at(id);
      if (record.replied == replied)
        matching.push_back(&record);
    }
    return matching.empty() ? nullptr : matching[pick % matching.size()];
  }

  std::size_t ShardsOf(snapshot_version version) const {
    for (const snapshot_layout& layout : context_.catalog->versions) {
      if (layout.version == version)
        return layout.services.at(service_id("s")).shards.size();
    }
    return 0;
  }

  static std::string Payload(snapshot_version version, const shard_ref& ref) {
    return std::to_string(version.value()) + "/" +
           std::to_string(ref.shard.value());
  }

  /// Number of attempts for the shard that were not confirmed as not run.
  int PossibleRuns(const shard_ref& shard) const {
    return static_cast<int>(
        std::ranges::count_if(attempts_, [&](const auto& entry) {
          const attempt_record& record = entry.second;
          return record.request.shard == shard && !record.confirmed_not_run;
        }));
  }
  int MaxPossibleRuns() const {
    int max_runs = 0;
    for (const auto& [id, record] : attempts_)
      max_runs = std::max(max_runs, PossibleRuns(record.request.shard));
    return max_runs;
  }

  std::map<endpoint_id, const endpoint_state*> EndpointViews() const {
    std::map<endpoint_id, const endpoint_state*> views;
    for (const auto& [id, record] : attempts_) {
      const endpoint_id& endpoint = record.request.endpoint;
      views[endpoint] = context_.endpoints.Find(endpoint);
    }
    return views;
  }

  entry_context& context_;
  query_run& run_;
  bool idempotent_;
  time_point now_ = At(0);
  bool finished_ = false;
  bool zone_a_out_ = false;
  std::map<attempt_id, attempt_record> attempts_;
  std::vector<attempt_id> sent_order_;
  std::vector<shard_reply> past_replies_;
};

void CheckOneQuery() {
  const bool idempotent = *rc::gen::arbitrary<bool>();
  const bool latency_first = *rc::gen::arbitrary<bool>();
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 1000), rc::gen::inRange(0, 1000)));

  entry_context context = MakeContext({{"s", 4}}, seed);
  auto catalog = std::make_shared<snapshot_catalog>();
  catalog->versions = {MakeLayout(6, {{"s", 3}}), MakeLayout(7, {{"s", 4}})};
  context.catalog = catalog;
  WarmAllEndpoints(At(0), context);
  for (int sample = 0; sample < 20; ++sample)
    context.latencies.Record(At(0), service_id("s"), Ms(10));
  caller_query query = MakeQuery(100);
  query.idempotent = idempotent;
  if (latency_first) {
    query.policy = answer_policy::kLatencyFirst;
    query.min_coverage = 0.5;
  }
  query_run run = query_run::Create(At(0), query, context).value();
  owner_simulator simulator(context, run, idempotent);
  simulator.CheckActions(run.Start(At(0)));
  for (const auto& [kind, pick] : steps)
    simulator.Step(kind, pick);
  simulator.ExpireDeadline();
  RC_ASSERT(context.counters.hedges <= 10U);
  RC_CLASSIFY(context.counters.hedges > 0, "hedged");
  RC_CLASSIFY(context.counters.replans > 0, "replanned");
  RC_CLASSIFY(context.counters.retries > 0, "retried");
}

}  // namespace

BOOST_AUTO_TEST_CASE(invariants_hold_for_random_replies) {
  BOOST_TEST(rc::check("invariants of one query", CheckOneQuery));
}

}  // namespace trefoilmill
