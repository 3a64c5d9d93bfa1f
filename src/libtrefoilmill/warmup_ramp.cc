#include "warmup_ramp.h"

#include <algorithm>

namespace trefoilmill {
namespace {

/// Requests in flight at an endpoint whose instance is unconfirmed.
constexpr int kSuspectSlots = 1;

}  // namespace

warmup_ramp::warmup_ramp(const endpoint_limits& limits)
    : limits_(limits),
      allowed_slots_(std::min(limits.cold_slots, limits.slots)) {}

int warmup_ramp::allowed_slots() const {
  return suspect_ ? std::min(kSuspectSlots, allowed_slots_) : allowed_slots_;
}

int warmup_ramp::allowed_connections() const {
  if (!cold_) {
    return limits_.connections;
  }
  const int cold = std::min(limits_.cold_connections, limits_.connections);
  const int steps = limits_.slots - limits_.cold_slots;
  if (steps <= 0) {
    return cold;
  }
  const int steps_done = allowed_slots_ - limits_.cold_slots;
  return cold + (limits_.connections - cold) * steps_done / steps;
}

void warmup_ramp::SetLimits(const endpoint_limits& limits) {
  const bool at_full_allowance = !cold_ && allowed_slots_ == limits_.slots;
  limits_ = limits;
  allowed_slots_ =
      at_full_allowance ? limits.slots : std::min(allowed_slots_, limits.slots);
  if (cold_) {
    allowed_slots_ = std::max(allowed_slots_, ColdSlots());
  }
}

void warmup_ramp::ResetToCold(time_point now) {
  cold_ = true;
  suspect_ = false;
  seeded_ = false;
  allowed_slots_ = ColdSlots();
  successes_ = 0;
  last_change_ = now;
  cold_since_ = now;
  ++epoch_;
  ++cold_starts_;
}

void warmup_ramp::MarkSuspect() {
  suspect_ = true;
  successes_ = 0;
  ++epoch_;
}

void warmup_ramp::SeedAllowance(const instance_id& instance, int slots) {
  instance_ = instance;
  allowed_slots_ = std::clamp(slots, 1, limits_.slots);
  cold_ = allowed_slots_ < limits_.slots;
  if (cold_) {
    allowed_slots_ = std::max(allowed_slots_, ColdSlots());
  }
  seeded_ = true;
  MarkSuspect();
}

void warmup_ramp::ObserveInstance(time_point now,
                                  const instance_id& instance,
                                  std::uint64_t sent_epoch) {
  const bool sent_in_this_epoch = sent_epoch == epoch_;
  const bool no_instance_seen = instance_.value().empty();
  if (!no_instance_seen && instance != instance_) {
    ResetToCold(now);
    instance_ = instance;
    return;
  }
  instance_ = instance;
  if (!suspect_ || !sent_in_this_epoch) {
    return;
  }
  if (no_instance_seen) {
    ResetToCold(now);
    return;
  }
  suspect_ = false;
  seeded_ = false;
  last_change_ = now;
}

void warmup_ramp::RecordSuccess(std::uint64_t sent_epoch) {
  if (sent_epoch == epoch_ && !suspect_) {
    ++successes_;
  }
}

void warmup_ramp::HalveAllowance(time_point now, time_point sent) {
  if (sent <= last_reduced_) {
    return;
  }
  last_reduced_ = now;
  allowed_slots_ = std::max(cold_ ? ColdSlots() : 1, allowed_slots_ / 2);
  successes_ = 0;
  last_change_ = now;
}

void warmup_ramp::OnReportedCold(time_point now) {
  if (cold_ && allowed_slots_ == ColdSlots()) {
    PostponeRise(now);
    return;
  }
  ResetToCold(now);
}

bool warmup_ramp::has_enough_successes() const {
  return !suspect_ && (cold_ || allowed_slots_ < limits_.slots) &&
         successes_ >= limits_.warmup_successes;
}

bool warmup_ramp::rise_due(time_point now) const {
  return has_enough_successes() && now >= next_rise_at();
}

void warmup_ramp::RaiseAllowance(time_point now) {
  allowed_slots_ = std::min(allowed_slots_ + 1, limits_.slots);
  successes_ = 0;
  last_change_ = now;
  cold_ = cold_ && allowed_slots_ < limits_.slots;
}

void warmup_ramp::PostponeRise(time_point now) {
  successes_ = 0;
  last_change_ = now;
}

int warmup_ramp::ColdSlots() const {
  return std::min(limits_.cold_slots, limits_.slots);
}

}  // namespace trefoilmill
