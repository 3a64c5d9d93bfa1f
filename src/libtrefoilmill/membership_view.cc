/// Queries on the view of `membership`.
#include <algorithm>
#include <ranges>

#include "membership_rules.h"
#include "trefoilmill/membership.h"

namespace trefoilmill {

std::vector<host_record> membership::LiveHosts() const {
  std::set<host_id> leaving;
  for (const host_record& host : listed_) {
    if (host.status == host_record::state::kLeaving) {
      leaving.insert(host.id);
    }
  }
  std::vector<host_record> live;
  for (const auto& [id, m] : members_) {
    if (AcceptsWork(m.state) && !m.leaving && !leaving.contains(id)) {
      live.push_back(m.host);
    }
  }
  return live;
}

std::vector<host_record> membership::ReachableHosts() const {
  std::vector<host_record> reachable;
  for (const auto& [id, m] : members_) {
    if (IsReachable(m.state)) {
      reachable.push_back(m.host);
    }
  }
  return reachable;
}

std::size_t membership::CountHostsInForce(const document_digest& digest) const {
  const auto holds = [&digest](const member& m) {
    const auto found =
        std::ranges::find(m.documents, digest.id, &document_digest::id);
    return IsReachable(m.state) && found != m.documents.end() &&
           found->in_force >= digest.in_force;
  };
  return static_cast<std::size_t>(
      std::ranges::count_if(members_ | std::views::values, holds));
}

member_update membership::SelfUpdate() const {
  return UpdateFromMember(members_.at(self_));
}

probe_results membership::ProbeResults(time_point now) const {
  probe_results results{
      .self = self_, .answered = {}, .unreachable = unreachable_};
  for (const auto& [id, outcome] : probe_outcomes_) {
    if (outcome.at >= now - ProbeResultLifetime(config_)) {
      results.answered[id] = outcome.answered;
    }
  }
  return results;
}

}  // namespace trefoilmill
