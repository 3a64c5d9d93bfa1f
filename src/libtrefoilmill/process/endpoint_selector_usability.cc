/// Which endpoints endpoint_selector may use at all, and which it may probe.
#include <algorithm>

#include "trefoilmill/process/endpoint_selector.h"

namespace trefoilmill {

bool endpoint_selector::IsUsable(time_point now,
                                 const endpoint_registry::entry& entry) const {
  return IsUsableButForLimit(now, entry) &&
         limits_.AllowsSend(now, entry.record.id);
}

bool endpoint_selector::IsUsableButForLimit(
    time_point now,
    const endpoint_registry::entry& entry) const {
  if (entry.record.draining || entry.address_reused ||
      zones_out_.contains(entry.record.zone) ||
      withheld_.contains(entry.record.id)) {
    return false;
  }
  const auto found = stats_.find(entry.record.id);
  return found != stats_.end() && found->second.backoff_until <= now &&
         found->second.paused_until <= now;
}

bool endpoint_selector::HasConnectionTo(time_point now,
                                        const endpoint_registry& registry,
                                        const service_id& service) const {
  return std::ranges::any_of(
      registry.EndpointsOf(service), [&](const endpoint_id& id) {
        const auto found = stats_.find(id);
        return IsUsableButForLimit(now, *registry.Find(id)) &&
               HasConnection(found->second);
      });
}

bool endpoint_selector::MayProbe(time_point now,
                                 const endpoint_registry::entry& entry) const {
  const auto found = stats_.find(entry.record.id);
  return !entry.record.draining && !entry.address_reused &&
         !zones_out_.contains(entry.record.zone) &&
         !withheld_.contains(entry.record.id) && found != stats_.end() &&
         found->second.paused_until <= now &&
         GroupOf(now, entry) == candidate_group::kWarm &&
         !limits_.LimitOf(entry.record.id).has_value();
}

std::size_t endpoint_selector::InFlight(const endpoint_id& id) const {
  const auto found = stats_.find(id);
  return found == stats_.end() ? 0 : found->second.in_flight.size();
}

bool endpoint_selector::IsOnlyPaused(
    time_point now,
    const endpoint_registry::entry& entry) const {
  const auto found = stats_.find(entry.record.id);
  return found != stats_.end() && found->second.paused_until > now &&
         IsUsable(found->second.paused_until, entry);
}

endpoint_selector::candidate_group endpoint_selector::GroupOf(
    time_point now,
    const endpoint_registry::entry& entry) {
  const bool is_cold = entry.cold_until.has_value() && *entry.cold_until > now;
  return is_cold ? candidate_group::kCold : candidate_group::kWarm;
}

}  // namespace trefoilmill
