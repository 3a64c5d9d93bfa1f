/// Pauses that endpoints ask for, and when callers may return after them.
#include <algorithm>

#include "../scaled_duration.h"
#include "trefoilmill/process/endpoint_selector.h"

namespace trefoilmill {
namespace {

/// A pause is prolonged by up to this fraction of its length.
constexpr double kMaxPauseExtension = 0.1;
/// Callers return over this fraction of the pause once all hosts have.
constexpr double kCallerReturnSpread = 0.1;

}  // namespace

void endpoint_selector::OnPauseRequested(time_point now,
                                         const endpoint_id& id,
                                         duration pause) {
  const auto found = stats_.find(id);
  if (found == stats_.end()) {
    return;
  }
  endpoint_stats& stats = found->second;
  if (stats.paused_until <= now) {
    stats.probed_in_pause = false;
  }
  std::uniform_real_distribution<double> extension(0, kMaxPauseExtension);
  stats.paused_until =
      std::max(stats.paused_until, now + Scaled(pause, 1 + extension(rng_)));
  stats.paused_anywhere_until = std::max(
      stats.paused_anywhere_until, now + Scaled(pause, 1 + kMaxPauseExtension));
  stats.pause = pause;
}

std::optional<time_point> endpoint_selector::CallersMayReturnAt(
    time_point now,
    const endpoint_registry& registry,
    const service_id& service) {
  const endpoint_stats* first = nullptr;
  for (const endpoint_id& id : registry.EndpointsOf(service)) {
    const endpoint_registry::entry& entry = *registry.Find(id);
    if (IsUsable(now, entry)) {
      return std::nullopt;
    }
    if (!IsOnlyPaused(now, entry)) {
      continue;
    }
    const endpoint_stats& stats = stats_.at(id);
    if (first == nullptr ||
        stats.paused_anywhere_until < first->paused_anywhere_until) {
      first = &stats;
    }
  }
  if (first == nullptr) {
    return std::nullopt;
  }
  std::uniform_real_distribution<double> spread(0, kCallerReturnSpread);
  return first->paused_anywhere_until + Scaled(first->pause, spread(rng_));
}

}  // namespace trefoilmill
