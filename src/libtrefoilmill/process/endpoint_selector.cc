#include "trefoilmill/process/endpoint_selector.h"

#include <algorithm>
#include <cmath>
#include <ranges>

#include "../scaled_duration.h"

namespace trefoilmill {
namespace {

/// Upper limit of one sample of latency relative to the expected one.
constexpr double kMaxLatencyRatio = 32;
/// Lower limit of one sample.
constexpr double kMinLatencyRatio = 0.25;
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
constexpr double kMinReportedSlowdown = 0.7;
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

/// Additional cost of each request in flight, per slot and choosing host.
constexpr double kInFlightCost = 0.7;
/// More hosts than this are not counted: each of them has so few requests in
/// flight that one says little about the others.
constexpr std::size_t kMaxChoosingHosts = 4;
/// A request that has waited for more than this many expected latencies
/// indicates a pause.
constexpr double kPauseRatio = 2.5;
/// Cost factor of an endpoint in another availability zone. With kCostExponent
/// a healthy endpoint of this host's zone gets four of five sub-requests; one
/// that is loaded, slow or failing loses them to the others.
constexpr double kOtherZoneFactor = 2;
/// The weight of endpoints in other zones is divided by this while one of this
/// zone costs at most kFineCost: more than nine of ten sub-requests then stay
/// in the zone, at no loss for callers.
constexpr double kFineZoneDivisor = 3.4;
constexpr double kFineCost = 1.5;
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
double RelativeLatency(duration latency, duration expected) {
  return static_cast<double>(latency.count()) /
         std::max<double>(1, static_cast<double>(expected.count()));
}

/// A sample of the slowdown, see endpoint_selector::endpoint_stats.
double SlowdownSample(double latency_ratio) {
  return std::log2(
      std::clamp(latency_ratio, kMinLatencyRatio, kMaxLatencyRatio));
}

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
    : zone_(std::move(zone)), rng_(rng), in_flight_cost_(kInFlightCost) {}

void endpoint_selector::SetChoosingHosts(std::size_t hosts) {
  in_flight_cost_ = kInFlightCost * static_cast<double>(std::clamp<std::size_t>(
                                        hosts, 1, kMaxChoosingHosts));
}

void endpoint_selector::SetIdleConnections(const endpoint_id& id,
                                           int idle_connections) {
  stats_[id].idle_connections = idle_connections;
}

void endpoint_selector::OnConnectFailed(time_point now, const endpoint_id& id) {
  endpoint_stats& stats = stats_[id];
  stats.backoff = std::clamp(stats.backoff * 2, kInitialBackoff, kMaxBackoff);
  stats.backoff_until = now + stats.backoff;
  reach_.OnConnectFailed(now, id, HasConnection(stats));
}

void endpoint_selector::OnProbeRefused(time_point now, const endpoint_id& id) {
  const auto found = stats_.find(id);
  reach_.OnConnectFailed(now, id,
                         found != stats_.end() && HasConnection(found->second));
}

void endpoint_selector::OnConnected(const endpoint_id& id) {
  endpoint_stats& stats = stats_[id];
  stats.backoff = duration::zero();
  stats.backoff_until = time_point();
  reach_.OnConnected(id);
  crashes_.OnConnected(id);
}

double endpoint_selector::LatencyRatio(time_point now,
                                       const endpoint_stats& stats,
                                       duration expected) {
  const double ratio =
      std::exp2(std::max(stats.slowdown.Value(now, kSlowdownHalfLife),
                         stats.reported_slowdown.Value(now, kReportHalfLife)));
  if (stats.in_flight.empty()) {
    return ratio;
  }
  const double waited_ratio =
      RelativeLatency(now - stats.in_flight.begin()->second, expected);
  return waited_ratio > kPauseRatio ? std::max(ratio, waited_ratio) : ratio;
}

std::optional<time_point> endpoint_selector::OldestInFlight(
    const endpoint_id& id) const {
  const auto found = stats_.find(id);
  if (found == stats_.end() || found->second.in_flight.empty()) {
    return std::nullopt;
  }
  return found->second.in_flight.begin()->second;
}

std::optional<duration> endpoint_selector::PredictLatency(
    time_point now,
    const endpoint_registry& registry,
    const service_id& service,
    duration expected,
    std::size_t waiting) const {
  std::optional<double> best;
  for (const endpoint_id& id : registry.EndpointsOf(service)) {
    if (!IsUsable(now, *registry.Find(id))) {
      continue;
    }
    const endpoint_stats& stats = stats_.at(id);
    double ratio = std::max(1.0, LatencyRatio(now, stats, expected));
    if (stats.idle_connections <= 0 && !stats.in_flight.empty()) {
      // Each connection becomes free once per latency.
      ratio *= 1 + static_cast<double>(waiting + 1) /
                       static_cast<double>(stats.in_flight.size());
    }
    best = std::min(best.value_or(ratio), ratio);
  }
  if (!best.has_value()) {
    return std::nullopt;
  }
  return Scaled(expected, *best);
}

double endpoint_selector::CostOf(time_point now,
                                 const endpoint_registry::entry& entry,
                                 const endpoint_stats& stats,
                                 duration expected) const {
  const double latency_ratio = LatencyRatio(now, stats, expected);
  const double failure_rate =
      std::max(stats.failure_rate.Value(now, kFailureHalfLife),
               stats.reported_failure_rate.Value(now, kReportHalfLife));
  const double load = static_cast<double>(stats.in_flight.size()) /
                      std::max(1, entry.record.slots);
  double cost = std::max(kMinLatencyRatio, latency_ratio) *
                (1 + in_flight_cost_ * load) *
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
    duration time_left,
    purpose send_purpose) {
  bool usable = false;
  bool limited = false;
  bool any_timely = false;
  bool own_zone_is_fine = false;
  std::vector<candidate> candidates;
  for (const endpoint_id& id : registry.EndpointsOf(service)) {
    const endpoint_registry::entry& entry = *registry.Find(id);
    if (std::ranges::find(excluded, id) != excluded.end()) {
      continue;
    }
    if (!IsUsable(now, entry)) {
      limited = limited || IsUsableButForLimit(now, entry);
      continue;
    }
    usable = true;
    const endpoint_stats& stats = stats_.at(id);
    const bool timely =
        Scaled(expected, LatencyRatio(now, stats, expected)) <= time_left;
    any_timely = any_timely || timely;
    const double cost = CostOf(now, entry, stats, expected);
    const bool spared =
        send_purpose == purpose::kHedge &&
        (cost > kMaxHedgeCost || limits_.LimitOf(id).has_value());
    if (stats.idle_connections <= 0 || spared) {
      continue;
    }
    own_zone_is_fine =
        own_zone_is_fine || (entry.record.zone == zone_ && cost <= kFineCost);
    candidates.push_back({.id = id,
                          .started_ms = entry.record.started_ms,
                          .weight = std::pow(cost, -kCostExponent),
                          .timely = timely,
                          .group = GroupOf(now, entry)});
  }
  if (any_timely) {
    std::erase_if(candidates, [](const candidate& c) { return !c.timely; });
  }
  if (candidates.empty()) {
    return usable ? selection(no_capacity{})
                  : selection(no_usable_endpoint{.limited = limited});
  }
  // Hedges and retries are few, and must not depend on one zone.
  const bool is_first = send_purpose == purpose::kFirst && excluded.empty();
  if (own_zone_is_fine && is_first) {
    for (candidate& c : candidates) {
      if (registry.Find(c.id)->record.zone != zone_) {
        c.weight /= kFineZoneDivisor;
      }
    }
  }
  return Draw(std::move(candidates));
}

// Only endpoints of the best group are drawn.
endpoint_selector::selected endpoint_selector::Draw(
    std::vector<candidate> candidates) {
  const auto best =
      std::ranges::min_element(candidates, {}, &candidate::group)->group;
  std::erase_if(candidates,
                [best](const candidate& c) { return c.group != best; });
  std::vector<double> weights;
  std::ranges::transform(candidates, std::back_inserter(weights),
                         &candidate::weight);
  std::discrete_distribution<std::size_t> distribution(weights.begin(),
                                                       weights.end());
  const candidate& drawn = candidates[distribution(rng_)];
  return {.endpoint = drawn.id, .started_ms = drawn.started_ms};
}

time_point endpoint_selector::OnSend(time_point now,
                                     const endpoint_id& id,
                                     attempt_id attempt) {
  auto& in_flight = stats_[id].in_flight;
  in_flight.emplace(attempt, now);
  limits_.OnSend(now, id);
  return in_flight.begin()->second;
}

bool endpoint_selector::IsLate(time_point now,
                               time_point oldest,
                               duration expected) {
  return RelativeLatency(now - oldest, expected) > kPauseRatio;
}

void endpoint_selector::CancelSend(const endpoint_id& id, attempt_id attempt) {
  const auto found = stats_.find(id);
  if (found != stats_.end()) {
    found->second.in_flight.erase(attempt);
    limits_.OnSendCancelled(id);
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
  const double latency_ratio = RelativeLatency(now - sent->second, expected);
  const double slowdown = SlowdownSample(latency_ratio);
  stats.in_flight.erase(sent);
  if (outcome == send_outcome::kSucceeded) {
    const double before = stats.slowdown.Value(now, kSlowdownHalfLife);
    stats.slowdown.Update(now, slowdown,
                          slowdown < before ? kRecoveryWeight : kSlowdownWeight,
                          kSlowdownHalfLife);
    stats.failure_rate.Update(now, 0, kFailureWeight, kFailureHalfLife);
    return;
  }
  stats.failure_rate.Update(now, 1, kFailureWeight, kFailureHalfLife);
  if (outcome == send_outcome::kTimedOut && latency_ratio > 1) {
    stats.slowdown.Update(now, slowdown, kSlowdownWeight, kSlowdownHalfLife);
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
  const double latency_ratio = RelativeLatency(now - sent->second, expected);
  stats.slowdown.Update(now, SlowdownSample(latency_ratio), kSlowdownWeight,
                        kSlowdownHalfLife);
  reach_.OnLate(now, id);
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
