#include "trefoilmill/host_lifecycle.h"

#include <algorithm>

namespace trefoilmill {

host_lifecycle::actions host_lifecycle::Terminate(time_point now) {
  if (phase_ == lifecycle_phase::kServing) {
    phase_ = lifecycle_phase::kLeaving;
    drain_at_ = now + config_.entry_ttl + config_.max_deadline;
    actions out = {start_leaving{}};
    std::ranges::copy(Advance(now), std::back_inserter(out));
    return out;
  }
  if (phase_ == lifecycle_phase::kLeaving) {
    drain_at_ = now;
  }
  return Advance(now);
}

host_lifecycle::actions host_lifecycle::SetUsesEndpoints(time_point now,
                                                         bool uses) {
  uses_endpoints_ = uses;
  return Advance(now);
}

host_lifecycle::actions host_lifecycle::SetInProgress(time_point now,
                                                      std::size_t count) {
  in_progress_ = count;
  return Advance(now);
}

host_lifecycle::actions host_lifecycle::Tick(time_point now) {
  return Advance(now);
}

host_lifecycle::actions host_lifecycle::SetConfig(time_point now,
                                                  config settings) {
  const duration before = config_.entry_ttl + config_.max_deadline;
  const duration after = settings.entry_ttl + settings.max_deadline;
  config_ = settings;
  // Callers may hold entry lists and deadlines from the old settings as well as
  // from the new ones, so a shorter wait does not apply.
  if (phase_ == lifecycle_phase::kLeaving && drain_at_ > now) {
    drain_at_ += std::max(duration::zero(), after - before);
  }
  return Advance(now);
}

host_lifecycle::actions host_lifecycle::Advance(time_point now) {
  actions out;
  if (phase_ == lifecycle_phase::kServing ||
      phase_ == lifecycle_phase::kStopped) {
    return out;
  }
  if (!uses_endpoints_ && !released_) {
    released_ = true;
    out.emplace_back(release_endpoints{});
  }
  if (phase_ == lifecycle_phase::kLeaving && now >= drain_at_) {
    phase_ = lifecycle_phase::kDraining;
    out.emplace_back(start_draining{});
  }
  if (phase_ == lifecycle_phase::kLeaving) {
    out.emplace_back(wake{drain_at_});
  }
  if (phase_ == lifecycle_phase::kDraining && in_progress_ == 0) {
    phase_ = lifecycle_phase::kStopped;
    out.emplace_back(stop{});
  }
  return out;
}

}  // namespace trefoilmill
