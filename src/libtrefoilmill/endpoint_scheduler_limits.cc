/// Current limits of endpoint_scheduler on requests in flight and connections.
#include <algorithm>

#include "endpoint_scheduler_impl.h"

namespace trefoilmill {
namespace {

/// Connections beyond one per slot, for cancellations and health checks.
constexpr int kSpareConnections = 1;

}  // namespace

std::optional<reason_code> endpoint_scheduler::impl::RefusalReason() const {
  if (standing == ownership_standing::kNotOwner) {
    return reason_code::kNotOwner;
  }
  if (serving == serving_state::kZoneOut) {
    return reason_code::kZoneOut;
  }
  if (serving == serving_state::kDraining || endpoint_draining) {
    return reason_code::kDraining;
  }
  if (SlotAllowance() < 1 || ConnectionAllowance() < 1) {
    return reason_code::kColdLimit;
  }
  if (Unreachable()) {
    return reason_code::kConnectionRefused;
  }
  return std::nullopt;
}

int endpoint_scheduler::impl::SlotAllowance() const {
  if (standing == ownership_standing::kNotOwner || endpoint_draining ||
      serving != serving_state::kInService) {
    return 0;
  }
  if (standing == ownership_standing::kCertain) {
    return ramp.allowed_slots();
  }
  if (ramp.warm()) {
    return std::min(ramp.allowed_slots(), limits.slots / 2);
  }
  return MaySendWhileUncertain() ? 1 : 0;
}

int endpoint_scheduler::impl::ConnectionAllowance() const {
  if (standing == ownership_standing::kNotOwner ||
      serving != serving_state::kInService) {
    return 0;
  }
  if (standing == ownership_standing::kCertain) {
    return ramp.allowed_connections();
  }
  if (ramp.warm()) {
    return limits.connections / 2;
  }
  return MaySendWhileUncertain() ? 1 : 0;
}

int endpoint_scheduler::impl::ConnectionTarget(time_point now) const {
  if (endpoint_draining) {
    const int health_checks = now >= next_health_check ? 1 : 0;
    return std::min(ConnectionAllowance(), health_checks);
  }
  const int allowed = ConnectionAllowance();
  const int wanted = SlotAllowance() + kSpareConnections;
  return std::min(allowed, wanted);
}

bool endpoint_scheduler::impl::MaySendWhileUncertain() const {
  return ramp.warm() || (ramp.seeded() && options.probe_seeded_when_uncertain);
}

int endpoint_scheduler::impl::OccupiedSlots() const {
  return static_cast<int>(in_flight.size() + orphaned_attempts.size());
}

bool endpoint_scheduler::impl::IsVerified(
    const pooled_connection& candidate) const {
  return !candidate.instance.value().empty() &&
         candidate.instance == ramp.instance();
}

int endpoint_scheduler::impl::ConnectionsToKeep(time_point now) const {
  // A suspect endpoint is verified by the next reply. Closing connections for
  // that short time would only cause reconnects.
  const bool keep_all = ramp.suspect() && !endpoint_draining;
  return keep_all ? ConnectionAllowance() : ConnectionTarget(now);
}

int endpoint_scheduler::impl::UnverifiedConnections() const {
  return pool.Count([this](const pooled_connection& candidate) {
    return !IsVerified(candidate);
  });
}

int endpoint_scheduler::impl::UnverifiedConnectionAllowance() const {
  const bool only_one = ramp.suspect() || consecutive_connect_failures > 0;
  return only_one ? 1 : limits.cold_connections;
}

int endpoint_scheduler::impl::UnverifiedSearches() const {
  return pool.Count([this](const pooled_connection& candidate) {
    return candidate.used_for == connection_use::kSearch &&
           !IsVerified(candidate);
  });
}

bool endpoint_scheduler::impl::CanSendSearchOn(
    const pooled_connection& candidate) const {
  return IsVerified(candidate) || UnverifiedSearches() < limits.cold_slots;
}

bool endpoint_scheduler::impl::Unreachable() const {
  return consecutive_connect_failures > 0 &&
         pool.size() == pool.Count(connection_use::kOpening);
}

bool endpoint_scheduler::impl::CanOpenConnection(time_point now) const {
  if (consecutive_connect_failures > 0 && now < reconnect_at) {
    return false;
  }
  if (endpoint_draining && now < next_health_check) {
    return false;
  }
  return pool.size() < ConnectionTarget(now) &&
         pool.size_with_closing() < ConnectionAllowance() &&
         UnverifiedConnections() < UnverifiedConnectionAllowance();
}

}  // namespace trefoilmill
