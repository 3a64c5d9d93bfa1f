#include "query_state.h"

#include <algorithm>
#include <utility>

#include "query_outcome.h"
#include "query_retry.h"
#include "trefoilmill/snapshot_choice.h"

namespace trefoilmill {
namespace {

/// Queries with less time left than this are not replanned.
constexpr duration kMinTimeToReplan = std::chrono::milliseconds(5);
/// Latency quantile that must fit in the remaining time for a replan.
constexpr double kMedian = 0.5;
/// Floating-point tolerance when comparing fractions of shards.
constexpr double kCoverageTolerance = 1e-9;

bool IsAnswer(const shard_reply& reply) {
  return reply.outcome == verdict::kRan && reply.payload.has_value();
}

/// Whether every replica lacks the index version or must not be used.
bool NoUsableReplicaHasVersion(time_point now,
                               const shard_progress& shard,
                               const endpoint_table& endpoints) {
  return std::ranges::all_of(shard.layout->replicas,
                             [&](const endpoint_id& replica) {
                               return shard.without_version.contains(replica) ||
                                      endpoints.EligibilityOf(now, replica) ==
                                          endpoint_eligibility::kExcluded;
                             });
}

}  // namespace

query_run::state::state(time_point now,
                        caller_query query,
                        entry_context& context)
    : query_(std::move(query)),
      context_(context),
      started_(now),
      deadline_(now + query_.deadline),
      config_(context.config) {
  if (query_.policy == answer_policy::kLatencyFirst) {
    latency_target_ = now + config_->query.latency_target;
  }
}

query_sender query_run::state::MakeSender(time_point now) {
  return {now, deadline_, query_, context_, shards_};
}

query_actions query_run::state::Start(time_point now) {
  query_actions actions;
  if (!Plan(now)) {
    Refuse(now,
           {.outcome = verdict::kNotRun,
            .reason = reason_code::kNoSnapshot,
            .detail = "no index version contains all requested services",
            .retry_after = std::nullopt},
           actions);
    return actions;
  }
  const auto count = static_cast<int>(shards_.shards().size());
  context_.hedge_budget.AddFirstAttempts(count);
  context_.retry_budget.AddFirstAttempts(count);
  return Advance(now, std::move(actions));
}

bool query_run::state::Plan(time_point now) {
  catalog_ = context_.catalog;
  const auto choice = ChooseSnapshot(now, *catalog_, query_.services,
                                     unavailable_versions_, context_.endpoints);
  if (!choice)
    return false;
  shards_ = query_shards(*choice.value().layout, query_.services);
  hedge_delays_.clear();
  for (shard_progress& shard : shards_.shards())
    shard.next_try = now;
  return true;
}

bool query_run::state::CanReplan(time_point now) const {
  if (deadline_ - now < kMinTimeToReplan)
    return false;
  const bool not_run =
      VerdictOf(shards_) == verdict::kNotRun && !shards_.HasOutstanding();
  if (!query_.idempotent && !not_run)
    return false;
  return std::ranges::all_of(query_.services, [&](const service_id& service) {
    const auto median = context_.latencies.Quantile(now, service, kMedian);
    return !median || *median < deadline_ - now;
  });
}

bool query_run::state::Replan(time_point now, query_actions& actions) {
  if (!CanReplan(now))
    return false;
  unavailable_versions_.insert(shards_.version());
  const auto next = ChooseSnapshot(now, *context_.catalog, query_.services,
                                   unavailable_versions_, context_.endpoints);
  if (!next)
    return false;
  prior_verdict_ = Combine(prior_verdict_, VerdictOf(shards_));
  query_sender sender = MakeSender(now);
  CancelOutstanding(now, sender);
  std::ranges::move(sender.TakeActions(), std::back_inserter(actions));
  ++context_.counters.replans;
  replanned_ = true;
  Plan(now);
  context_.retry_budget.Charge(static_cast<int>(shards_.shards().size()));
  return true;
}

void query_run::state::MarkShardsWithoutVersion(time_point now) {
  for (shard_progress& shard : shards_.shards()) {
    if (shard.phase != shard_phase::kWaiting || shard.without_version.empty())
      continue;
    if (NoUsableReplicaHasVersion(now, shard, context_.endpoints))
      shards_.MarkMissing(shard, reason_code::kVersionGone);
  }
}

void query_run::state::CancelOutstanding(time_point now, query_sender& sender) {
  for (const auto& [owner, attempts] : shards_.OutstandingByOwner()) {
    for (const attempt_id id : attempts) {
      sender.CancelAttempt(id, /*only_queued=*/false);
      const shard_attempt attempt = shards_.EndAttempt(id);
      context_.endpoints.OnAbandoned(now, attempt.endpoint,
                                     now - attempt.sent_at);
    }
  }
}

query_actions query_run::state::OnReplies(time_point now,
                                          std::vector<shard_reply> replies) {
  if (finished_)
    return {};
  query_sender sender = MakeSender(now);
  for (shard_reply& reply : replies) {
    HandleReply(now, std::move(reply), sender);
  }
  return Advance(now, sender.TakeActions());
}

query_actions query_run::state::OnHedgeStarted(time_point now, attempt_id id) {
  if (finished_)
    return {};
  shard_attempt* hedge = shards_.FindAttempt(id);
  if (hedge == nullptr || hedge->started)
    return {};
  hedge->started = true;
  ++context_.counters.hedges_started;
  query_sender sender = MakeSender(now);
  for (const attempt_id other : shards_.shards()[hedge->shard].outstanding) {
    if (other != id)
      sender.CancelAttempt(other, /*only_queued=*/true);
  }
  return sender.TakeActions();
}

query_actions query_run::state::OnHostLost(time_point now,
                                           const host_id& host) {
  if (finished_)
    return {};
  query_sender sender = MakeSender(now);
  for (const attempt_id id : shards_.OutstandingAt(host)) {
    shard_reply lost;
    lost.attempt = id;
    lost.outcome = verdict::kMayHaveRun;
    lost.reason = reason_code::kHostLost;
    HandleReply(now, std::move(lost), sender);
  }
  return Advance(now, sender.TakeActions());
}

query_actions query_run::state::Cancel(time_point now) {
  if (finished_)
    return {};
  query_actions actions;
  Refuse(now,
         {.outcome = Combine(prior_verdict_, VerdictOf(shards_)),
          .reason = reason_code::kCancelled,
          .detail = "query was cancelled by the caller",
          .retry_after = std::nullopt},
         actions);
  return actions;
}

query_actions query_run::state::Tick(time_point now) {
  if (finished_)
    return {};
  return Advance(now, {});
}

query_actions query_run::state::Advance(time_point now, query_actions actions) {
  if (version_unavailable_) {
    version_unavailable_ = false;
    if (!Replan(now, actions))
      MarkShardsWithoutVersion(now);
  }
  if (now < deadline_) {
    query_sender sender = MakeSender(now);
    SendDueShards(now, sender);
    HedgeDueShards(now, sender);
    std::ranges::move(sender.TakeActions(), std::back_inserter(actions));
  }
  if (ShouldFinish(now)) {
    Finish(now, actions);
  } else {
    actions.emplace_back(wake_query_at{NextWake()});
  }
  return actions;
}

bool query_run::state::ShouldFinish(time_point now) const {
  if (shards_.done() || now >= deadline_)
    return true;
  return latency_target_ && now >= *latency_target_ && CoverageSuffices();
}

bool query_run::state::CoverageSuffices() const {
  if (shards_.answered() == 0)
    return false;
  const auto total = static_cast<double>(shards_.shards().size());
  const double share = static_cast<double>(shards_.answered()) / total;
  return share >= query_.min_coverage - kCoverageTolerance;
}

time_point query_run::state::NextWake() const {
  time_point next = deadline_;
  // Without enough coverage there is nothing to do at the latency target: after
  // it, the reply that reaches the minimum coverage ends the query.
  if (latency_target_ && CoverageSuffices()) {
    next = std::min(next, *latency_target_);
  }
  for (const shard_progress& shard : shards_.shards()) {
    if (shard.phase == shard_phase::kWaiting) {
      next = std::min(next, shard.next_try);
    }
    const bool may_hedge = shard.phase == shard_phase::kSent && !shard.hedged;
    if (may_hedge && shard.hedge_at)
      next = std::min(next, *shard.hedge_at);
  }
  return next;
}

void query_run::state::Finish(time_point now, query_actions& actions) {
  if (!CoverageSuffices()) {
    Refuse(now, MakeRefusal(query_, shards_, prior_verdict_), actions);
    return;
  }
  query_answer answer =
      MakeAnswer(query_, shards_, prior_verdict_, now - started_);
  overloaded_services_ =
      FindOverloadedServices(now, shards_, context_.endpoints);
  query_sender sender = MakeSender(now);
  CancelOutstanding(now, sender);
  std::ranges::move(sender.TakeActions(), std::back_inserter(actions));
  actions.emplace_back(finish_answer{std::move(answer)});
  finished_ = true;
}

void query_run::state::Refuse(time_point now,
                              failure error,
                              query_actions& actions) {
  overloaded_services_ =
      FindOverloadedServices(now, shards_, context_.endpoints);
  query_sender sender = MakeSender(now);
  CancelOutstanding(now, sender);
  std::ranges::move(sender.TakeActions(), std::back_inserter(actions));
  actions.emplace_back(finish_refusal{std::move(error)});
  finished_ = true;
}

void query_run::state::HandleReply(time_point now,
                                   shard_reply reply,
                                   query_sender& sender) {
  if (shards_.FindAttempt(reply.attempt) == nullptr) {
    ++(shards_.HasEnded(reply.attempt) ? context_.counters.duplicate_replies
                                       : context_.counters.unknown_replies);
    return;
  }
  const shard_attempt attempt = shards_.EndAttempt(reply.attempt);
  RecordReply(now, attempt, reply);
  shard_progress& shard = shards_.shards()[attempt.shard];
  if (shard.done())
    return;
  if (IsAnswer(reply)) {
    if (attempt.kind == attempt_kind::kHedge)
      ++context_.counters.hedges_won;
    HandleAnswer(now, shard, std::move(reply), sender);
    return;
  }
  if (reply.reason == reason_code::kVersionGone) {
    shard.without_version.insert(attempt.endpoint);
  }
  HandleFailure(now, shard, reply);
}

void query_run::state::RecordReply(time_point now,
                                   const shard_attempt& attempt,
                                   const shard_reply& reply) {
  const bool hedge = attempt.kind == attempt_kind::kHedge;
  if (!IsAnswer(reply)) {
    context_.endpoints.OnFailed(now, attempt.endpoint, reply.reason);
    const bool not_run = !attempt.started && reply.outcome == verdict::kNotRun;
    if (hedge && not_run) {
      context_.hedge_budget.Refund();
    }
    return;
  }
  context_.endpoints.OnAnswered(now, attempt.endpoint, reply.service_time);
  if (context_.endpoints.IsEjected(now, attempt.endpoint))
    return;
  context_.latencies.Record(now, shards_.shards()[attempt.shard].ref.service,
                            now - attempt.sent_at - reply.held);
}

void query_run::state::HandleAnswer(time_point now,
                                    shard_progress& shard,
                                    shard_reply reply,
                                    query_sender& sender) {
  shards_.MarkAnswered(shard, std::move(*reply.payload));
  const std::vector<attempt_id> others = shard.outstanding;
  for (const attempt_id other : others) {
    sender.CancelAttempt(other, /*only_queued=*/false);
    const shard_attempt attempt = shards_.EndAttempt(other);
    context_.endpoints.OnAbandoned(now, attempt.endpoint,
                                   now - attempt.sent_at);
  }
}

void query_run::state::HandleFailure(time_point now,
                                     shard_progress& shard,
                                     const shard_reply& reply) {
  shard.outcome = Combine(shard.outcome, reply.outcome);
  shard.reason = reply.reason;
  shard.last_outcome = reply.outcome;
  if (!shard.outstanding.empty()) {
    shard.hedged = false;
    return;
  }
  const bool exhausted = shard.attempts >= kMaxAttemptsPerShard;
  const bool expired = reply.reason == reason_code::kDeadlineExceeded;
  const bool allowed = MayRetry(shard.outcome, query_.idempotent);
  if (exhausted || expired || !allowed) {
    shards_.MarkMissing(shard, reply.reason);
    return;
  }
  ScheduleRetry(now, shard, reply);
}

void query_run::state::ScheduleRetry(time_point now,
                                     shard_progress& shard,
                                     const shard_reply& reply) {
  shard.phase = shard_phase::kWaiting;
  shard.next_try = now;
  if (NoUsableReplicaHasVersion(now, shard, context_.endpoints) &&
      !shard.without_version.empty()) {
    version_unavailable_ = true;
    return;
  }
  const bool all_tried = std::ranges::all_of(
      shard.layout->replicas, [&](const endpoint_id& replica) {
        return std::ranges::find(shard.tried, replica) != shard.tried.end() ||
               context_.endpoints.EligibilityOf(now, replica) ==
                   endpoint_eligibility::kExcluded;
      });
  if (!all_tried)
    return;
  StartRetryRound(now, shard, reply.retry_after);
}

void query_run::state::StartRetryRound(time_point now,
                                       shard_progress& shard,
                                       std::optional<duration> retry_after) {
  shard.tried.clear();
  shard.hedged = false;
  shard.next_try =
      now + RetryDelay(retry_after, shard.attempts, context_.random);
  if (shard.next_try >= deadline_)
    shards_.MarkMissing(shard, shard.reason);
}

}  // namespace trefoilmill
