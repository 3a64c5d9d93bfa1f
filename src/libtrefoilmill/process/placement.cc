#include "trefoilmill/process/placement.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace trefoilmill {
namespace {

/// Largest latency relative to the usual one that one reply counts as, so that
/// a single pause does not mark an endpoint as a straggler.
constexpr double kMaxSlownessSample = 4;
constexpr double kSlownessWeight = 0.2;
/// A reply in the usual time tells more: a straggler gives none, an endpoint
/// that paused gives one at once.
constexpr double kRecoveryWeight = 0.5;
/// A straggler gets a trial request again after about this long.
constexpr duration kSlownessHalfLife = std::chrono::milliseconds(2200);
/// Trouble from which on other hosts are told.
constexpr double kReportedExcess = 1;
constexpr double kReportedFailures = 0.3;
/// Other hosts' reports hold about as long as the pause between them.
constexpr duration kHeardHalfLife = std::chrono::milliseconds(1000);
constexpr double kHeardWeight = 0.5;
constexpr double kMilli = 1000;

constexpr double kFailureWeight = 0.25;
constexpr duration kFailureHalfLife = std::chrono::milliseconds(2000);
/// Cost of an endpoint that always fails, relative to one that never does.
constexpr double kFailureCost = 8;

/// Cost of one request in flight, per slot.
constexpr double kInFlightCost = 0.7;
/// A request that has waited this many usual latencies shows a pause.
constexpr double kPauseRatio = 2.5;
/// Cost of crossing to another availability zone.
constexpr double kOtherZoneCost = 1.25;
/// Cost of an endpoint that the platform no longer announces.
constexpr double kDoubtfulCost = 4;
/// How sharply cheaper endpoints are preferred.
constexpr double kPreference = 3;
/// A hedge goes to no endpoint that costs more than this.
constexpr double kMaxHedgeCost = 3;

/// First and longest time without sends after failed connection attempts.
constexpr duration kFirstBlock = std::chrono::milliseconds(200);
constexpr duration kLongestBlock = std::chrono::milliseconds(2000);

struct candidate {
  endpoint_id id;
  double weight = 0;
};

}  // namespace

double placement::fading::Value(time_point now, duration half_life) const {
  const std::chrono::duration<double> passed = now - at;
  const std::chrono::duration<double> half = half_life;
  return excess * std::exp2(-(passed / half));
}

void placement::fading::Move(time_point now,
                             double sample,
                             double weight,
                             duration half_life) {
  const double before = Value(now, half_life);
  excess = before + weight * (sample - before);
  at = now;
}

placement::placement(zone_id zone, std::mt19937_64 random)
    : zone_(std::move(zone)), random_(random) {}

void placement::SetFree(const endpoint_id& id, int free) {
  seen_[id].free = free;
}

void placement::OnConnectFailed(time_point now, const endpoint_id& id) {
  observed& seen = seen_[id];
  seen.block = std::clamp(seen.block * 2, kFirstBlock, kLongestBlock);
  seen.blocked_until = now + seen.block;
}

void placement::OnConnected(const endpoint_id& id) {
  observed& seen = seen_[id];
  seen.block = duration::zero();
  seen.blocked_until = time_point();
}

bool placement::IsAllowed(time_point now,
                          const endpoint_registry::entry& entry) const {
  if (entry.record.draining || entry.displaced ||
      zones_out_.contains(entry.record.zone)) {
    return false;
  }
  const auto seen = seen_.find(entry.record.id);
  return seen != seen_.end() && seen->second.blocked_until <= now;
}

double placement::CostOf(time_point now,
                         const endpoint_registry::entry& entry,
                         const observed& seen,
                         duration expected) const {
  double slowness =
      1 + std::max(seen.slowness.Value(now, kSlownessHalfLife),
                   seen.heard_slowness.Value(now, kHeardHalfLife));
  const double failures =
      std::max(seen.failures.Value(now, kFailureHalfLife),
               seen.heard_failures.Value(now, kHeardHalfLife));
  const double usual =
      std::max<double>(1, static_cast<double>(expected.count()));
  if (!seen.in_flight.empty()) {
    const duration waited = now - seen.in_flight.begin()->second;
    const double ratio = static_cast<double>(waited.count()) / usual;
    slowness = ratio > kPauseRatio ? std::max(slowness, ratio) : slowness;
  }
  const double load = static_cast<double>(seen.in_flight.size()) /
                      std::max(1, entry.record.slots);
  double cost = std::max(0.2, slowness) * (1 + kInFlightCost * load) *
                (1 + kFailureCost * failures);
  if (entry.record.zone != zone_) {
    cost *= kOtherZoneCost;
  }
  if (entry.forget_at.has_value()) {
    cost *= kDoubtfulCost;
  }
  return cost;
}

placement::choice placement::Choose(time_point now,
                                    const endpoint_registry& registry,
                                    const service_id& service,
                                    const std::vector<endpoint_id>& excluded,
                                    duration expected,
                                    purpose why) {
  bool usable = false;
  std::vector<candidate> warm;
  std::vector<candidate> cold;
  for (const endpoint_id& id : registry.OfService(service)) {
    const endpoint_registry::entry& entry = *registry.Find(id);
    if (!IsAllowed(now, entry) ||
        std::ranges::find(excluded, id) != excluded.end()) {
      continue;
    }
    usable = true;
    const observed& seen = seen_.at(id);
    if (seen.free <= 0) {
      continue;
    }
    const double cost = CostOf(now, entry, seen, expected);
    if (why == purpose::kHedge && cost > kMaxHedgeCost) {
      continue;
    }
    const bool is_cold =
        entry.cold_until.has_value() && *entry.cold_until > now;
    (is_cold ? cold : warm)
        .push_back({.id = id, .weight = std::pow(cost, -kPreference)});
  }
  const auto& pool = warm.empty() ? cold : warm;
  if (pool.empty()) {
    return usable ? choice(no_capacity{}) : choice(none_usable{});
  }
  std::vector<double> weights;
  std::ranges::transform(pool, std::back_inserter(weights), &candidate::weight);
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return chosen{pool[draw(random_)].id};
}

void placement::OnSend(time_point now,
                       const endpoint_id& id,
                       attempt_id attempt) {
  seen_[id].in_flight.emplace(attempt, now);
}

void placement::Withdraw(const endpoint_id& id, attempt_id attempt) {
  const auto found = seen_.find(id);
  if (found != seen_.end()) {
    found->second.in_flight.erase(attempt);
  }
}

void placement::OnEnd(time_point now,
                      const endpoint_id& id,
                      attempt_id attempt,
                      duration expected,
                      send_end how) {
  const auto found = seen_.find(id);
  if (found == seen_.end()) {
    return;
  }
  observed& seen = found->second;
  const auto sent = seen.in_flight.find(attempt);
  if (sent == seen.in_flight.end()) {
    return;
  }
  const auto latency = static_cast<double>((now - sent->second).count());
  seen.in_flight.erase(sent);
  const double usual =
      std::max<double>(1, static_cast<double>(expected.count()));
  const double ratio = std::min(kMaxSlownessSample, latency / usual);
  if (how == send_end::kAnswered) {
    const double before = seen.slowness.Value(now, kSlownessHalfLife);
    const bool recovers = ratio - 1 < before;
    seen.slowness.Move(now, ratio - 1,
                       recovers ? kRecoveryWeight : kSlownessWeight,
                       kSlownessHalfLife);
    seen.failures.Move(now, 0, kFailureWeight, kFailureHalfLife);
    return;
  }
  seen.failures.Move(now, 1, kFailureWeight, kFailureHalfLife);
  if (how == send_end::kUnanswered && ratio > 1) {
    seen.slowness.Move(now, ratio - 1, kSlownessWeight, kSlownessHalfLife);
  }
}

void placement::OnLate(time_point now,
                       const endpoint_id& id,
                       attempt_id attempt,
                       duration expected) {
  observed& seen = seen_[id];
  const auto sent = seen.in_flight.find(attempt);
  if (sent == seen.in_flight.end()) {
    return;
  }
  const double usual =
      std::max<double>(1, static_cast<double>(expected.count()));
  const double ratio =
      static_cast<double>((now - sent->second).count()) / usual;
  seen.slowness.Move(now, std::min(kMaxSlownessSample, ratio) - 1,
                     kSlownessWeight, kSlownessHalfLife);
}

void placement::OnReport(time_point now, const endpoint_trouble& report) {
  const auto found = seen_.find(report.endpoint);
  if (found == seen_.end()) {
    return;
  }
  observed& seen = found->second;
  seen.heard_slowness.Move(now, report.excess_milli / kMilli, kHeardWeight,
                           kHeardHalfLife);
  seen.heard_failures.Move(now, report.failed_milli / kMilli, kHeardWeight,
                           kHeardHalfLife);
}

std::vector<endpoint_trouble> placement::Reports(time_point now) const {
  std::vector<endpoint_trouble> reports;
  for (const auto& [id, seen] : seen_) {
    const double excess = seen.slowness.Value(now, kSlownessHalfLife);
    const double failures = seen.failures.Value(now, kFailureHalfLife);
    if (excess >= kReportedExcess || failures >= kReportedFailures) {
      reports.push_back(
          {.endpoint = id,
           .excess_milli = static_cast<std::int32_t>(excess * kMilli),
           .failed_milli = static_cast<std::int32_t>(failures * kMilli)});
    }
  }
  return reports;
}

}  // namespace trefoilmill
