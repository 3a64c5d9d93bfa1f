/// The sending half of query_run::state: first attempts, retries and hedges.
#include <algorithm>

#include "query_retry.h"
#include "query_state.h"

namespace trefoilmill {
namespace {

/// Delay until a retry or hedge that could not be sent is reconsidered.
constexpr duration kRecheckDelay = std::chrono::milliseconds(5);
/// Lower bound of the hedge delay, for services with very low latencies.
constexpr duration kMinHedgeDelay = std::chrono::milliseconds(1);

}  // namespace

void query_run::state::SendDueShards(time_point now, query_sender& sender) {
  for (std::size_t index = 0; index < shards_.shards().size(); ++index) {
    const shard_progress& shard = shards_.shards()[index];
    const bool due =
        shard.phase == shard_phase::kWaiting && shard.next_try <= now;
    if (due)
      SendShard(now, index, sender);
  }
}

void query_run::state::SendShard(time_point now,
                                 std::size_t index,
                                 query_sender& sender) {
  shard_progress& shard = shards_.shards()[index];
  const bool is_first = shard.attempts == 0;
  const bool granted = is_first || GrantRetry(shard.last_outcome, shard.reason,
                                              context_.retry_budget);
  if (!granted) {
    ++context_.counters.budget_denied;
    shard.next_try = now + kRecheckDelay;
    return;
  }
  // After a replan every attempt is extra load and counts as a retry.
  const bool is_retry = !is_first || replanned_;
  const attempt_kind kind =
      is_retry ? attempt_kind::kRetry : attempt_kind::kFirstAttempt;
  if (!sender.Send(index, kind)) {
    HandleNoReplica(now, shard);
    return;
  }
  const auto delay = HedgeDelay(now, shard.ref.service);
  shard.hedge_at.reset();
  if (delay)
    shard.hedge_at = now + *delay;
}

void query_run::state::HandleNoReplica(time_point now, shard_progress& shard) {
  if (shard.tried.empty()) {
    const bool never_sent = shard.attempts == 0;
    shards_.MarkMissing(shard,
                        never_sent ? reason_code::kNoReplica : shard.reason);
    return;
  }
  StartRetryRound(now, shard, std::nullopt);
}

void query_run::state::HedgeDueShards(time_point now, query_sender& sender) {
  if (!query_.idempotent || !config_->scheduling.hedging)
    return;
  for (std::size_t index = 0; index < shards_.shards().size(); ++index) {
    const shard_progress& shard = shards_.shards()[index];
    const bool due = shard.phase == shard_phase::kSent && !shard.hedged &&
                     shard.hedge_at && *shard.hedge_at <= now;
    if (due)
      HedgeShard(now, index, sender);
  }
}

void query_run::state::HedgeShard(time_point now,
                                  std::size_t index,
                                  query_sender& sender) {
  shard_progress& shard = shards_.shards()[index];
  shard.hedge_at = now + kRecheckDelay;
  if (shard.attempts >= kMaxAttemptsPerShard)
    return;
  const attempt_id original = shard.outstanding.front();
  shard.hedged = TryHedge(index, original, sender) ||
                 TryResendForSilentOwner(index, original, sender);
  if (!shard.hedged)
    ++context_.counters.budget_denied;
}

bool query_run::state::TryHedge(std::size_t index,
                                attempt_id original,
                                query_sender& sender) {
  if (!context_.hedge_budget.TrySpend())
    return false;
  if (sender.SendHedge(index, original))
    return true;
  context_.hedge_budget.Refund();
  return false;
}

/// If the owner has been silent since the request was sent, it may never have
/// passed the request on. The second request is therefore sent as a retry on
/// the retry budget, for which a cold replica with free allowance may be
/// chosen.
bool query_run::state::TryResendForSilentOwner(std::size_t index,
                                               attempt_id original,
                                               query_sender& sender) {
  const shard_attempt* attempt = shards_.FindAttempt(original);
  if (attempt == nullptr ||
      !context_.owners.NothingReceivedSince(attempt->owner, attempt->sent_at))
    return false;
  if (!context_.retry_budget.TrySpend())
    return false;
  if (!sender.SendConcurrentRetry(index, original)) {
    context_.retry_budget.Refund();
    return false;
  }
  ++context_.counters.silent_owner_resends;
  return true;
}

std::optional<duration> query_run::state::HedgeDelay(
    time_point now,
    const service_id& service) {
  if (!query_.idempotent || !config_->scheduling.hedging)
    return std::nullopt;
  const auto [entry, is_new] = hedge_delays_.try_emplace(service);
  if (is_new) {
    const double quantile = config_->scheduling.hedge_quantile;
    auto delay = context_.latencies.Quantile(now, service, quantile);
    if (!delay)
      delay = context_.latencies.QuantileOverAll(now, quantile);
    if (delay)
      entry->second = std::max(*delay, kMinHedgeDelay);
  }
  return entry->second;
}

}  // namespace trefoilmill
