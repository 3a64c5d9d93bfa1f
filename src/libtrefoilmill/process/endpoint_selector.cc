#include "trefoilmill/process/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace trefoilmill {
namespace {

/// Upper limit of one sample of latency relative to the expected one, so that a
/// single pause does not make an endpoint count as a straggler.
constexpr double kMaxLatencyRatio = 4;
/// Weight of a sample that increases the slowdown.
constexpr double kSlowdownWeight = 0.2;
/// Weight of a sample that reduces the slowdown. It is higher because a reply
/// in the expected time is stronger evidence: a straggler gives none, whereas
/// an endpoint that paused gives one immediately.
constexpr double kRecoveryWeight = 0.5;
/// A straggler gets a trial request again after about this time.
constexpr duration kSlowdownHalfLife = std::chrono::milliseconds(2200);
/// Slowdown and failure rate from which on an endpoint is reported to the other
/// hosts.
constexpr double kMinReportedSlowdown = 1;
constexpr double kMinReportedFailureRate = 0.3;
/// Reports from other hosts remain effective for about the interval between two
/// of them.
constexpr duration kReportHalfLife = std::chrono::milliseconds(1000);
/// Weight of one report in the reported averages.
constexpr double kReportWeight = 0.5;
/// Scale of the fixed-point values in reports.
constexpr double kMilli = 1000;

/// Weight of the outcome of one send in the failure rate.
constexpr double kFailureWeight = 0.25;
constexpr duration kFailureHalfLife = std::chrono::milliseconds(2000);
/// Additional cost of an endpoint that always fails, relative to one that never
/// does.
constexpr double kFailureCost = 8;

/// Additional cost of each request in flight, per slot.
constexpr double kInFlightCost = 0.7;
/// A request that has waited for more than this many expected latencies
/// indicates a pause.
constexpr double kPauseRatio = 2.5;
/// Cost factor of an endpoint in another availability zone.
constexpr double kOtherZoneFactor = 1.25;
/// Cost factor of an endpoint that the platform no longer announces.
constexpr double kWithdrawnFactor = 4;
/// The weight in the random selection is the cost to the power of minus this;
/// higher values prefer cheap endpoints more strongly.
constexpr double kCostExponent = 3;
/// An endpoint with a higher cost than this gets no hedges.
constexpr double kMaxHedgeCost = 3;

/// Initial and maximum backoff after failed connection attempts.
constexpr duration kInitialBackoff = std::chrono::milliseconds(200);
constexpr duration kMaxBackoff = std::chrono::milliseconds(2000);
/// A pause is prolonged by up to this fraction of its length.
constexpr double kMaxPauseExtension = 0.1;

struct candidate {
  endpoint_id id;
  double weight = 0;
};

}  // namespace

double endpoint_selector::decaying_average::Value(time_point now,
                                                  duration half_life) const {
  const std::chrono::duration<double> elapsed = now - updated_at;
  const std::chrono::duration<double> half_life_seconds = half_life;
  return average * std::exp2(-(elapsed / half_life_seconds));
}

void endpoint_selector::decaying_average::Update(time_point now,
                                                 double sample,
                                                 double weight,
                                                 duration half_life) {
  const double before = Value(now, half_life);
  average = before + weight * (sample - before);
  updated_at = now;
}

endpoint_selector::endpoint_selector(zone_id zone, std::mt19937_64 rng)
    : zone_(std::move(zone)), rng_(rng) {}

void endpoint_selector::SetIdleConnections(const endpoint_id& id,
                                           int idle_connections) {
  stats_[id].idle_connections = idle_connections;
}

void endpoint_selector::OnConnectFailed(time_point now, const endpoint_id& id) {
  endpoint_stats& stats = stats_[id];
  stats.backoff = std::clamp(stats.backoff * 2, kInitialBackoff, kMaxBackoff);
  stats.backoff_until = now + stats.backoff;
}

void endpoint_selector::OnConnected(const endpoint_id& id) {
  endpoint_stats& stats = stats_[id];
  stats.backoff = duration::zero();
  stats.backoff_until = time_point();
}

void endpoint_selector::OnPauseRequested(time_point now,
                                         const endpoint_id& id,
                                         duration pause) {
  const auto found = stats_.find(id);
  if (found == stats_.end()) {
    return;
  }
  std::uniform_real_distribution<double> extension(1, 1 + kMaxPauseExtension);
  const auto length = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(pause) * extension(rng_));
  found->second.paused_until =
      std::max(found->second.paused_until, now + length);
}

bool endpoint_selector::IsUsable(time_point now,
                                 const endpoint_registry::entry& entry) const {
  if (entry.address_reused || zones_out_.contains(entry.record.zone)) {
    return false;
  }
  if (entry.record.draining && (!entry.last_resort_until.has_value() ||
                                *entry.last_resort_until <= now)) {
    return false;
  }
  const auto found = stats_.find(entry.record.id);
  return found != stats_.end() && found->second.backoff_until <= now &&
         found->second.paused_until <= now;
}

bool endpoint_selector::IsOnlyPaused(
    time_point now,
    const endpoint_registry::entry& entry) const {
  const auto found = stats_.find(entry.record.id);
  return found != stats_.end() && found->second.paused_until > now &&
         IsUsable(found->second.paused_until, entry);
}

double endpoint_selector::CostOf(time_point now,
                                 const endpoint_registry::entry& entry,
                                 const endpoint_stats& stats,
                                 duration expected) const {
  double latency_ratio =
      1 + std::max(stats.slowdown.Value(now, kSlowdownHalfLife),
                   stats.reported_slowdown.Value(now, kReportHalfLife));
  const double failure_rate =
      std::max(stats.failure_rate.Value(now, kFailureHalfLife),
               stats.reported_failure_rate.Value(now, kReportHalfLife));
  const double expected_us =
      std::max<double>(1, static_cast<double>(expected.count()));
  if (!stats.in_flight.empty()) {
    const duration waited = now - stats.in_flight.begin()->second;
    const double waited_ratio =
        static_cast<double>(waited.count()) / expected_us;
    latency_ratio = waited_ratio > kPauseRatio
                        ? std::max(latency_ratio, waited_ratio)
                        : latency_ratio;
  }
  const double load = static_cast<double>(stats.in_flight.size()) /
                      std::max(1, entry.record.slots);
  double cost = std::max(0.2, latency_ratio) * (1 + kInFlightCost * load) *
                (1 + kFailureCost * failure_rate);
  if (entry.record.zone != zone_) {
    cost *= kOtherZoneFactor;
  }
  if (entry.remove_at.has_value()) {
    cost *= kWithdrawnFactor;
  }
  return cost;
}

endpoint_selector::selection endpoint_selector::Select(
    time_point now,
    const endpoint_registry& registry,
    const service_id& service,
    const std::vector<endpoint_id>& excluded,
    duration expected,
    purpose send_purpose) {
  bool usable = false;
  std::optional<time_point> usable_at;
  std::vector<candidate> warm;
  std::vector<candidate> cold;
  std::vector<candidate> last_resort;
  for (const endpoint_id& id : registry.EndpointsOf(service)) {
    const endpoint_registry::entry& entry = *registry.Find(id);
    if (std::ranges::find(excluded, id) != excluded.end()) {
      continue;
    }
    if (IsOnlyPaused(now, entry)) {
      const time_point end = stats_.at(id).paused_until;
      usable_at = std::min(usable_at.value_or(end), end);
    }
    if (!IsUsable(now, entry)) {
      continue;
    }
    usable = true;
    const endpoint_stats& stats = stats_.at(id);
    if (stats.idle_connections <= 0) {
      continue;
    }
    const double cost = CostOf(now, entry, stats, expected);
    if (send_purpose == purpose::kHedge && cost > kMaxHedgeCost) {
      continue;
    }
    const bool is_cold =
        entry.cold_until.has_value() && *entry.cold_until > now;
    auto& group = entry.record.draining ? last_resort : is_cold ? cold : warm;
    group.push_back({.id = id, .weight = std::pow(cost, -kCostExponent)});
  }
  const auto& serving = warm.empty() ? cold : warm;
  const auto& candidates = serving.empty() ? last_resort : serving;
  if (candidates.empty()) {
    return usable ? selection(no_capacity{})
                  : selection(no_usable_endpoint{.usable_at = usable_at});
  }
  std::vector<double> weights;
  std::ranges::transform(candidates, std::back_inserter(weights),
                         &candidate::weight);
  std::discrete_distribution<std::size_t> distribution(weights.begin(),
                                                       weights.end());
  return selected{candidates[distribution(rng_)].id};
}

void endpoint_selector::OnSend(time_point now,
                               const endpoint_id& id,
                               attempt_id attempt) {
  stats_[id].in_flight.emplace(attempt, now);
}

void endpoint_selector::CancelSend(const endpoint_id& id, attempt_id attempt) {
  const auto found = stats_.find(id);
  if (found != stats_.end()) {
    found->second.in_flight.erase(attempt);
  }
}

void endpoint_selector::OnSendFinished(time_point now,
                                       const endpoint_id& id,
                                       attempt_id attempt,
                                       duration expected,
                                       send_outcome outcome) {
  const auto found = stats_.find(id);
  if (found == stats_.end()) {
    return;
  }
  endpoint_stats& stats = found->second;
  const auto sent = stats.in_flight.find(attempt);
  if (sent == stats.in_flight.end()) {
    return;
  }
  const auto latency = static_cast<double>((now - sent->second).count());
  stats.in_flight.erase(sent);
  const double expected_us =
      std::max<double>(1, static_cast<double>(expected.count()));
  const double latency_ratio =
      std::min(kMaxLatencyRatio, latency / expected_us);
  if (outcome == send_outcome::kSucceeded) {
    const double before = stats.slowdown.Value(now, kSlowdownHalfLife);
    const bool is_recovering = latency_ratio - 1 < before;
    stats.slowdown.Update(now, latency_ratio - 1,
                          is_recovering ? kRecoveryWeight : kSlowdownWeight,
                          kSlowdownHalfLife);
    stats.failure_rate.Update(now, 0, kFailureWeight, kFailureHalfLife);
    return;
  }
  stats.failure_rate.Update(now, 1, kFailureWeight, kFailureHalfLife);
  if (outcome == send_outcome::kTimedOut && latency_ratio > 1) {
    stats.slowdown.Update(now, latency_ratio - 1, kSlowdownWeight,
                          kSlowdownHalfLife);
  }
}

void endpoint_selector::OnSendLate(time_point now,
                                   const endpoint_id& id,
                                   attempt_id attempt,
                                   duration expected) {
  endpoint_stats& stats = stats_[id];
  const auto sent = stats.in_flight.find(attempt);
  if (sent == stats.in_flight.end()) {
    return;
  }
  const double expected_us =
      std::max<double>(1, static_cast<double>(expected.count()));
  const double latency_ratio =
      static_cast<double>((now - sent->second).count()) / expected_us;
  stats.slowdown.Update(now, std::min(kMaxLatencyRatio, latency_ratio) - 1,
                        kSlowdownWeight, kSlowdownHalfLife);
}

void endpoint_selector::OnPeerReport(time_point now,
                                     const endpoint_health_report& report) {
  const auto found = stats_.find(report.endpoint);
  if (found == stats_.end()) {
    return;
  }
  endpoint_stats& stats = found->second;
  stats.reported_slowdown.Update(now, report.slowdown_milli / kMilli,
                                 kReportWeight, kReportHalfLife);
  stats.reported_failure_rate.Update(now, report.failure_rate_milli / kMilli,
                                     kReportWeight, kReportHalfLife);
}

std::vector<endpoint_health_report> endpoint_selector::UnhealthyEndpoints(
    time_point now) const {
  std::vector<endpoint_health_report> reports;
  for (const auto& [id, stats] : stats_) {
    const double slowdown = stats.slowdown.Value(now, kSlowdownHalfLife);
    const double failure_rate = stats.failure_rate.Value(now, kFailureHalfLife);
    if (slowdown >= kMinReportedSlowdown ||
        failure_rate >= kMinReportedFailureRate) {
      reports.push_back(
          {.endpoint = id,
           .slowdown_milli = static_cast<std::int32_t>(slowdown * kMilli),
           .failure_rate_milli =
               static_cast<std::int32_t>(failure_rate * kMilli)});
    }
  }
  return reports;
}

}  // namespace trefoilmill
