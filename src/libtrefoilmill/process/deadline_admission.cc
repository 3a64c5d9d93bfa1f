#include "trefoilmill/process/deadline_admission.h"

#include <algorithm>
#include <cmath>

namespace trefoilmill {
namespace {

/// All requests are let in whose expected latency is at most this fraction of
/// the time left: an expected latency is a mean, and of many shards some take
/// much longer.
constexpr double kSafeFraction = 0.4;
/// Exponent of the fraction of requests that are let in beyond that.
constexpr double kAdmissionExponent = 3;
/// The same for callers that were refused before: few of them come a third
/// time.
constexpr double kReturnedExponent = 2;
/// The least fraction let in, from whose latencies hosts learn that the
/// overload has ended.
constexpr double kMinAdmitted = 0.05;
/// Bounds of the time after which a refused caller may return. It is drawn at
/// random between them, so that callers do not return together.
constexpr duration kMinReturn = std::chrono::milliseconds(100);
constexpr duration kMaxReturn = std::chrono::milliseconds(500);

/// The latency that is safe, relative to the one that is expected.
double SafetyRatio(duration latency, duration time_left) {
  return kSafeFraction * static_cast<double>(time_left.count()) /
         std::max(1.0, static_cast<double>(latency.count()));
}

}  // namespace

bool deadline_admission::IsSafe(const prospect& expected) {
  const auto latency = LatencyForCoverage(expected);
  return latency.has_value() && SafetyRatio(*latency, expected.time_left) >= 1;
}

std::optional<duration> deadline_admission::LatencyForCoverage(
    const prospect& expected) {
  std::vector<duration> usable;
  for (const auto& latency : expected.shard_latencies) {
    if (latency.has_value()) {
      usable.push_back(*latency);
    }
  }
  const auto shards = static_cast<double>(expected.shard_latencies.size());
  // Rounding must not require a shard more than the coverage does.
  constexpr double kRounding = 1e-9;
  const auto needed = static_cast<std::size_t>(
      std::max(1.0, std::ceil(expected.min_coverage * shards - kRounding)));
  if (usable.size() < needed) {
    return std::nullopt;
  }
  const auto last = usable.begin() + static_cast<std::ptrdiff_t>(needed - 1);
  std::ranges::nth_element(usable, last);
  return *last;
}

double deadline_admission::RunnableFraction(const prospect& expected) {
  const auto latency = LatencyForCoverage(expected);
  if (!latency.has_value()) {
    return 1;
  }
  const double ratio = SafetyRatio(*latency, expected.time_left);
  const double exponent =
      expected.returned ? kReturnedExponent : kAdmissionExponent;
  return std::clamp(std::pow(std::max(ratio, 0.0), exponent), kMinAdmitted,
                    1.0);
}

std::optional<duration> deadline_admission::RetryAfterIfRefused(
    const prospect& expected) {
  return RetryAfterIfRefused(
      expected.priority.IsMostUrgent() ? 1 : RunnableFraction(expected));
}

std::optional<duration> deadline_admission::RetryAfterIfRefused(
    double admitted_fraction) {
  if (std::uniform_real_distribution<double>(0, 1)(random_) <
      admitted_fraction) {
    return std::nullopt;
  }
  std::uniform_int_distribution<duration::rep> delay(kMinReturn.count(),
                                                     kMaxReturn.count());
  return duration(delay(random_));
}

}  // namespace trefoilmill
