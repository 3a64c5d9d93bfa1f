#include "membership_rules.h"

#include <algorithm>
#include <cmath>

namespace trefoilmill {
namespace {

/// Minimum time between reads of the platform's host list by the whole fleet;
/// each host's own interval is this times the number of hosts.
constexpr duration kHostListIntervalPerHost = std::chrono::milliseconds(25);
/// Minimum interval between reads of one host.
constexpr duration kMinHostListInterval = std::chrono::seconds(2);

/// Precedence of states within one incarnation: the higher replaces the lower.
int StatePrecedence(member_state state) {
  switch (state) {
    case member_state::kAlive:
      return 0;
    case member_state::kLeaving:
      return 1;
    case member_state::kReleased:
      return 2;
    case member_state::kSuspect:
      return 3;
    case member_state::kDead:
      return 4;
    case member_state::kLeft:
      return 5;
  }
  return 0;
}

}  // namespace

bool AcceptsWork(member_state state) {
  return state == member_state::kAlive || state == member_state::kSuspect;
}

bool IsLeaving(member_state state) {
  return state == member_state::kLeaving || state == member_state::kReleased;
}

bool IsReachable(member_state state) {
  return AcceptsWork(state) || IsLeaving(state);
}

bool Supersedes(incarnation incarnation_number,
                member_state state,
                const member& known) {
  if (incarnation_number != known.life) {
    return incarnation_number > known.life;
  }
  return StatePrecedence(state) > StatePrecedence(known.state);
}

member_update UpdateFromMember(const member& m) {
  return {.host = m.host,
          .life = m.life,
          .state = m.state,
          .report = m.report,
          .documents = m.documents};
}

member MemberFromUpdate(const member_update& update) {
  return {.host = update.host,
          .life = update.life,
          .state = update.state,
          .report = update.report,
          .documents = update.documents,
          .leaving = IsLeaving(update.state)};
}

void MergeDigest(std::vector<document_digest>& documents,
                 const document_digest& digest) {
  const auto found =
      std::ranges::find(documents, digest.id, &document_digest::id);
  if (found == documents.end()) {
    documents.push_back(digest);
  } else {
    found->in_force = std::max(found->in_force, digest.in_force);
  }
}

double MinReachableShare(const probe_results& results,
                         const std::set<host_id>& hosts) {
  if (hosts.empty()) {
    return 0.0;
  }
  double answered = 0;
  double tried = 0;
  for (const auto& [id, did_answer] : results.answered) {
    if (hosts.contains(id) && !results.unreachable.contains(id)) {
      tried += 1;
      answered += did_answer ? 1 : 0;
    }
  }
  const auto size = static_cast<double>(hosts.size());
  const double self = hosts.contains(results.self) ? 1 : 0;
  const double answered_share = (answered + self) / size;
  if (tried == 0) {
    return answered_share;
  }
  const auto unreachable = static_cast<double>(std::ranges::count_if(
      results.unreachable, [&](const auto& id) { return hosts.contains(id); }));
  // One-sided Hoeffding bound on the share in the population, from the share in
  // the random sample.
  const double sample_bound = answered / tried - 1.0 / std::sqrt(tried);
  return std::max(answered_share, sample_bound * (size - unreachable) / size);
}

duration ProbeResultLifetime(const membership_config& config) {
  // Fleets of up to kMaxFullyProbedPeers peers are probed completely within two
  // intervals.
  return 3 * config.probe_interval + 2 * config.probe_timeout;
}

duration FailureDetectionTime(const membership_config& config) {
  return ProbeResultLifetime(config) + config.suspicion_timeout;
}

duration HostListInterval(std::size_t fleet_size) {
  const auto hosts = static_cast<duration::rep>(fleet_size);
  return std::max(kMinHostListInterval, hosts * kHostListIntervalPerHost);
}

}  // namespace trefoilmill
