/// Hedges of request_run: when a sub-request counts as late, and where to send
/// it again.
#include <algorithm>
#include <utility>

#include "trefoilmill/request/request_run.h"

namespace trefoilmill {
namespace {

/// A sub-request is hedged when it takes longer than this latency quantile
/// times this factor. A higher quantile would rise with the slow replies that
/// hedges are meant to avoid.
constexpr double kHedgeLatencyQuantile = 0.75;
constexpr double kHedgeLatencyFactor = 1.5;
/// A hedge that could not be sent is tried again after the hedge delay divided
/// by this divisor, but not sooner than the minimum delay.
constexpr int kHedgeRetryDivisor = 2;
constexpr duration kMinHedgeRetryDelay = std::chrono::milliseconds(5);
/// Until latencies are known, hedges are sent after the objective divided by
/// this divisor.
constexpr int kInitialHedgeDivisor = 4;
/// Fraction of the accumulated extra-send budget that hedges leave for retries.
constexpr double kRetryReserveFraction = 0.3;

}  // namespace

duration request_run::HedgeDelay(const shared_request_state& shared) const {
  const auto found = shared.latencies.find(route_->id);
  if (found != shared.latencies.end()) {
    if (const auto learned = found->second.Quantile(kHedgeLatencyQuantile)) {
      return std::chrono::duration_cast<duration>(kHedgeLatencyFactor *
                                                  *learned);
    }
  }
  return route_->objective / kInitialHedgeDivisor;
}

bool request_run::NeedsAllRemainingShards(time_point now) const {
  const auto* gather = std::get_if<gather_target>(&route_->target);
  if (gather == nullptr) {
    // One endpoint may be merely slower than most; later than the objective it
    // may as well be gone.
    return now >= objective_deadline_;
  }
  const double shard_fraction = 1.0 / static_cast<double>(shards_.size());
  return AttainableCoverage() - shard_fraction < gather->min_coverage;
}

bool request_run::MayHedge(time_point now, const shard& s) const {
  return route_->retry == retry_rule::kIdempotent && s.pending() &&
         !s.in_flight.empty() && CanRetry(s) &&
         (!s.hedged || NeedsAllRemainingShards(now));
}

bool request_run::CanHedge(time_point now, const shard& s) const {
  return MayHedge(now, s) && !IsCautious();
}

time_point request_run::HedgeTime(const shard& s, duration delay) {
  return s.next_hedge_at.value_or(s.in_flight.front().sent + delay);
}

void request_run::HedgeLateShards(time_point now,
                                  shared_request_state& shared,
                                  actions& out) {
  const duration delay = HedgeDelay(shared);
  CountLateAttempts(now, delay);
  if (IsCautious()) {
    HedgeCautiously(now, shared, delay, out);
    return;
  }
  for (std::size_t index = 0; index < shards_.size(); ++index) {
    const shard& s = shards_[index];
    if (CanHedge(now, s) && HedgeTime(s, delay) <= now) {
      HedgeShard(now, shared, index, out);
    }
  }
}

void request_run::HedgeShard(time_point now,
                             shared_request_state& shared,
                             std::size_t index,
                             actions& out) {
  shard& s = shards_[index];
  const duration usual = ExpectedLatency(shared, *route_);
  if (!s.next_hedge_at.has_value()) {
    const attempt& late = s.in_flight.front();
    shared.selector.OnSendLate(now, late.endpoint, late.id, usual);
  }
  s.next_hedge_at = now + std::max(kMinHedgeRetryDelay,
                                   HedgeDelay(shared) / kHedgeRetryDivisor);
  if (IsOverShare(now, shared)) {
    s.obstacle = resend_obstacle::kOverShare;
    return;
  }
  // If the answer needs this shard, a slow endpoint is better than none.
  const auto purpose = NeedsAllRemainingShards(now)
                           ? endpoint_selector::purpose::kFirst
                           : endpoint_selector::purpose::kHedge;
  const auto selection =
      SelectEndpoint(now, shared, s, usual, TimeLeft(now), purpose);
  const auto* selected = std::get_if<endpoint_selector::selected>(&selection);
  if (selected == nullptr) {
    s.obstacle = ObstacleOf(selection);
    return;
  }
  const double reserve = kRetryReserveFraction *
                         std::max(0.0, shared.extra_sends.max_balance() - 1);
  if (!shared.extra_sends.TrySpend(now, s.service, reserve)) {
    ++counts_.budget_refusals;
    s.obstacle = resend_obstacle::kBudget;
    return;
  }
  s.hedged = true;
  ++counts_.hedges;
  SendTo(now, shared, index, *selected, out);
}

}  // namespace trefoilmill
