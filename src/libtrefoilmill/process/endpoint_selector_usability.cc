/// Which endpoints endpoint_selector may use at all, and which it may probe.
#include <algorithm>
#include <iterator>

#include "trefoilmill/process/endpoint_selector.h"

namespace trefoilmill {
namespace {

/// With so many unrestricted endpoints no others are probed: as many as have to
/// respond until a host is not cut off any more.
constexpr std::size_t kEnoughProbeCandidates = 3;

}  // namespace

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

bool endpoint_selector::MayProbeRestricted(
    time_point now,
    const endpoint_registry::entry& entry) const {
  const auto found = stats_.find(entry.record.id);
  if (found == stats_.end() || entry.address_reused ||
      zones_out_.contains(entry.record.zone) ||
      withheld_.contains(entry.record.id)) {
    return false;
  }
  const bool is_paused = found->second.paused_until > now;
  return !(is_paused && found->second.probed_in_pause) &&
         GroupOf(now, entry) == candidate_group::kWarm &&
         limits_.AllowsSend(now, entry.record.id);
}

std::vector<endpoint_id> endpoint_selector::ProbeCandidates(
    time_point now,
    const endpoint_registry& registry) const {
  std::vector<endpoint_id> candidates;
  std::vector<endpoint_id> restricted;
  for (const auto& [id, entry] : registry.entries()) {
    if (MayProbe(now, entry)) {
      candidates.push_back(id);
    } else if (MayProbeRestricted(now, entry)) {
      restricted.push_back(id);
    }
  }
  if (candidates.size() < kEnoughProbeCandidates) {
    std::ranges::copy(restricted, std::back_inserter(candidates));
  }
  return candidates;
}

void endpoint_selector::OnProbe(time_point now, const endpoint_id& id) {
  limits_.OnSend(now, id);
  if (const auto found = stats_.find(id); found != stats_.end()) {
    found->second.probed_in_pause = found->second.paused_until > now;
  }
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
