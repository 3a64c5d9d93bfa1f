#include "trefoilmill/process/endpoint_registry.h"

#include <algorithm>
#include <ranges>

namespace trefoilmill {
namespace {

/// Whether both records describe one process, with one address and service.
bool IsSameInstance(const endpoint_record& a, const endpoint_record& b) {
  return a.address == b.address && a.service == b.service &&
         a.started_ms == b.started_ms;
}

/// How long delayed announcements of an instance that has left are ignored.
constexpr duration kDepartureMemory = std::chrono::minutes(2);

}  // namespace

endpoint_registry::endpoint_registry(duration grace_period)
    : grace_period_(grace_period) {}

endpoint_registry::changes endpoint_registry::Put(
    time_point now,
    const endpoint_record& record) {
  changes out;
  const auto found = entries_.find(record.id);
  const bool known = found != entries_.end();
  if (!known && HasDeparted(record)) {
    return out;
  }
  if (known && found->second.record.service != record.service) {
    services_[found->second.record.service].erase(record.id);
  }
  if (!known) {
    out.emplace_back(added{record.id});
  } else if (!IsSameInstance(found->second.record, record)) {
    out.emplace_back(replaced{record.id});
  }
  entry& stored = entries_[record.id];
  const bool same_instance =
      known && IsSameInstance(stored.record, record) && record.started_ms != 0;
  const bool was_draining = known && stored.record.draining;
  stored.record = record;
  stored.record.draining = record.draining || (same_instance && was_draining);
  stored.remove_at.reset();
  stored.address_reused = false;
  stored.cold_until.reset();
  if (record.cold_for > duration::zero()) {
    stored.cold_until = now + record.cold_for;
  }
  services_[record.service].insert(record.id);
  return out;
}

endpoint_registry::changes endpoint_registry::Withdraw(time_point now,
                                                       const endpoint_id& id) {
  changes out;
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return out;
  }
  if (found->second.record.draining) {
    Remove(now, id, out);
  } else if (!found->second.remove_at.has_value()) {
    found->second.remove_at = now + grace_period_;
  }
  return out;
}

endpoint_registry::changes endpoint_registry::ReplaceAll(
    time_point now,
    const std::vector<endpoint_record>& records) {
  changes out;
  std::set<endpoint_id> listed;
  for (const endpoint_record& record : records) {
    listed.insert(record.id);
    std::ranges::copy(Put(now, record), std::back_inserter(out));
  }
  std::vector<endpoint_id> unlisted;
  std::ranges::copy_if(std::views::keys(entries_), std::back_inserter(unlisted),
                       [&](const auto& id) { return !listed.contains(id); });
  for (const endpoint_id& id : unlisted) {
    std::ranges::copy(Withdraw(now, id), std::back_inserter(out));
  }
  return out;
}

void endpoint_registry::MarkAddressReused(time_point now,
                                          const endpoint_id& id) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.address_reused = true;
    found->second.remove_at = now;
  }
}

bool endpoint_registry::MarkLeaving(const endpoint_id& id,
                                    std::uint64_t started_ms) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.record.draining ||
      found->second.record.started_ms != started_ms) {
    return false;
  }
  found->second.record.draining = true;
  return true;
}

bool endpoint_registry::HasDeparted(const endpoint_record& record) const {
  const auto found = departures_.find(record.id);
  return found != departures_.end() && record.started_ms != 0 &&
         found->second.started_ms == record.started_ms;
}

endpoint_registry::changes endpoint_registry::RemoveExpired(time_point now) {
  changes out;
  std::erase_if(departures_, [now](const auto& departed) {
    return departed.second.forget_at <= now;
  });
  std::vector<endpoint_id> expired;
  for (const auto& [id, stored] : entries_) {
    if (stored.remove_at.has_value() && *stored.remove_at <= now) {
      expired.push_back(id);
    }
  }
  for (const endpoint_id& id : expired) {
    Remove(now, id, out);
  }
  return out;
}

void endpoint_registry::Remove(time_point now,
                               const endpoint_id& id,
                               changes& out) {
  const auto found = entries_.find(id);
  if (found->second.record.draining) {
    departures_[id] = {.started_ms = found->second.record.started_ms,
                       .forget_at = now + kDepartureMemory};
  }
  services_[found->second.record.service].erase(id);
  entries_.erase(found);
  out.emplace_back(removed{id});
}

bool endpoint_registry::HasEnded(const endpoint_id& id,
                                 std::uint64_t started_ms) const {
  const entry* known = Find(id);
  if (known == nullptr) {
    return !departures_.contains(id);
  }
  const endpoint_record& record = known->record;
  if (record.started_ms != started_ms || known->address_reused) {
    return true;
  }
  return !record.draining &&
         std::ranges::any_of(
             EndpointsOf(record.service), [&](const endpoint_id& other) {
               const endpoint_record& r = Find(other)->record;
               return other != id && r.address == record.address &&
                      r.started_ms > started_ms;
             });
}

const endpoint_registry::entry* endpoint_registry::Find(
    const endpoint_id& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

const std::set<endpoint_id>& endpoint_registry::EndpointsOf(
    const service_id& service) const {
  static const std::set<endpoint_id> none;
  const auto found = services_.find(service);
  return found == services_.end() ? none : found->second;
}

}  // namespace trefoilmill
