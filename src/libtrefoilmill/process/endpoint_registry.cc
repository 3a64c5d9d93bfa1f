#include "trefoilmill/process/endpoint_registry.h"

#include <algorithm>
#include <ranges>

namespace trefoilmill {
namespace {

bool SameLife(const endpoint_record& a, const endpoint_record& b) {
  return a.address == b.address && a.service == b.service &&
         a.started_ms == b.started_ms;
}

}  // namespace

endpoint_registry::endpoint_registry(duration forget_after)
    : forget_after_(forget_after) {}

endpoint_registry::changes endpoint_registry::Put(
    time_point now,
    const endpoint_record& record) {
  changes out;
  const auto found = entries_.find(record.id);
  const bool known = found != entries_.end();
  if (known && found->second.record.service != record.service) {
    services_[found->second.record.service].erase(record.id);
  }
  if (!known) {
    out.emplace_back(added{record.id});
  } else if (!SameLife(found->second.record, record)) {
    out.emplace_back(replaced{record.id});
  }
  entry& held = entries_[record.id];
  held.record = record;
  held.forget_at.reset();
  held.displaced = false;
  held.cold_until.reset();
  if (record.cold_for > duration::zero()) {
    held.cold_until = now + record.cold_for;
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
    Drop(id, out);
  } else if (!found->second.forget_at.has_value()) {
    found->second.forget_at = now + forget_after_;
  }
  return out;
}

endpoint_registry::changes endpoint_registry::Replace(
    time_point now,
    const std::vector<endpoint_record>& records) {
  changes out;
  std::set<endpoint_id> listed;
  for (const endpoint_record& record : records) {
    listed.insert(record.id);
    std::ranges::copy(Put(now, record), std::back_inserter(out));
  }
  std::vector<endpoint_id> missing;
  std::ranges::copy_if(std::views::keys(entries_), std::back_inserter(missing),
                       [&](const auto& id) { return !listed.contains(id); });
  for (const endpoint_id& id : missing) {
    std::ranges::copy(Withdraw(now, id), std::back_inserter(out));
  }
  return out;
}

void endpoint_registry::Displace(time_point now, const endpoint_id& id) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    found->second.displaced = true;
    found->second.forget_at = now;
  }
}

endpoint_registry::changes endpoint_registry::Tick(time_point now) {
  changes out;
  std::vector<endpoint_id> due;
  for (const auto& [id, held] : entries_) {
    if (held.forget_at.has_value() && *held.forget_at <= now) {
      due.push_back(id);
    }
  }
  for (const endpoint_id& id : due) {
    Drop(id, out);
  }
  return out;
}

void endpoint_registry::Drop(const endpoint_id& id, changes& out) {
  const auto found = entries_.find(id);
  services_[found->second.record.service].erase(id);
  entries_.erase(found);
  out.emplace_back(removed{id});
}

const endpoint_registry::entry* endpoint_registry::Find(
    const endpoint_id& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

const std::set<endpoint_id>& endpoint_registry::OfService(
    const service_id& service) const {
  static const std::set<endpoint_id> none;
  const auto found = services_.find(service);
  return found == services_.end() ? none : found->second;
}

}  // namespace trefoilmill
