#include <algorithm>
#include <ranges>
#include <utility>

#include "trefoilmill/ownership.h"

namespace trefoilmill {
namespace {

/// How long the assignment of an endpoint without an owner is kept.
constexpr duration kUnownedRetention = std::chrono::hours(24);

}  // namespace

ownership_timing OwnershipTiming(duration max_deadline,
                                 const membership_config& config) {
  // A partitioned host becomes uncertain within the probe result lifetime plus
  // one heartbeat gap, so the gap must not exceed the suspicion timeout after
  // which the other hosts declare it dead.
  const duration max_heartbeat_gap =
      std::min(config.probe_interval, config.suspicion_timeout);
  const duration view_convergence =
      FailureDetectionTime(config) + config.clock_slack;
  return {.max_heartbeat_gap = max_heartbeat_gap,
          .view_convergence = view_convergence,
          .quiet_period = view_convergence + max_deadline};
}

ownership_tracker::ownership_tracker(time_point now,
                                     host_id self,
                                     const ownership_timing& timing)
    : self_(std::move(self)),
      timing_(timing),
      stable_since_(now),
      last_heartbeat_(now) {}

void ownership_tracker::SetOwners(time_point now, const ownership_map& map) {
  for (const auto& [endpoint, owner] : map.owners()) {
    SetOwner(now, endpoint, owner);
    released_hosts_.erase(owner);
  }
  for (const auto& endpoint : assignments_ | std::views::keys) {
    if (!map.owners().contains(endpoint)) {
      SetOwner(now, endpoint, std::nullopt);
    }
  }
  std::erase_if(assignments_, [now](const auto& entry) {
    const assignment& current = entry.second;
    return !current.owner.has_value() &&
           now - current.since > kUnownedRetention;
  });
}

void ownership_tracker::SetOwner(time_point now,
                                 const endpoint_id& endpoint,
                                 const std::optional<host_id>& owner) {
  const auto found = assignments_.find(endpoint);
  if (found == assignments_.end()) {
    assignments_[endpoint] = {.owner = owner,
                              .since = now,
                              .predecessor_certain = false,
                              .predecessor = std::nullopt};
    return;
  }
  assignment& current = found->second;
  if (current.owner == owner) {
    return;
  }
  const bool was_certain =
      has_majority_ && UninterruptedTime(now, current) >= timing_.quiet_period;
  current = {.owner = owner,
             .since = now,
             .predecessor_certain = was_certain,
             .predecessor = current.owner};
}

void ownership_tracker::SetVoters(time_point now,
                                  const std::vector<host_record>& listed,
                                  const std::set<zone_id>& zones_out) {
  voter_set next;
  listed_hosts_.clear();
  for (const host_record& host : listed) {
    if (host.status == host_record::state::kLeaving) {
      continue;
    }
    listed_hosts_.insert(host.id);
    if (!zones_out.contains(host.zone)) {
      next.voters.insert(host.id);
    }
  }
  if (voter_sets_.empty() || voter_sets_.back().voters != next.voters) {
    ReplaceVoters(now, std::move(next));
  }
  // If every host that lost its vote has since been removed from the platform's
  // list, no majority is needed: the set expires after a quiet period.
  for (voter_set& set : voter_sets_) {
    if (set.needs_majority &&
        std::ranges::none_of(set.voters, [this](const host_id& id) {
          return listed_hosts_.contains(id) &&
                 !voter_sets_.back().voters.contains(id);
        })) {
      set.needs_majority = false;
      set.replaced_at = now;
    }
  }
}

void ownership_tracker::ReplaceVoters(time_point now, voter_set next) {
  std::erase_if(voter_sets_, [&next](const voter_set& set) {
    return set.replaced_at.has_value() && set.voters == next.voters;
  });
  // An empty set means that the platform's host list had not been read, so no
  // host's ownership could have been certain under it.
  std::erase_if(voter_sets_,
                [](const voter_set& set) { return set.voters.empty(); });
  if (!voter_sets_.empty()) {
    voter_set& previous = voter_sets_.back();
    previous.replaced_at = now;
    previous.needs_majority =
        std::ranges::any_of(previous.voters, [&](const host_id& id) {
          return listed_hosts_.contains(id) && !next.voters.contains(id);
        });
  }
  voter_sets_.push_back(std::move(next));
}

bool ownership_tracker::IsExpired(time_point now, const voter_set& set) const {
  if (!set.replaced_at.has_value()) {
    return false;
  }
  time_point since = *set.replaced_at;
  if (set.needs_majority) {
    since = std::max(since, stable_since_);
  }
  return now - since >= timing_.quiet_period;
}

bool ownership_tracker::HearsMajority(const probe_results& heard) const {
  return !voter_sets_.empty() &&
         std::ranges::all_of(voter_sets_, [&heard](const voter_set& set) {
           return MinReachableShare(heard, set.voters) > 0.5;
         });
}

void ownership_tracker::Heartbeat(time_point now, const probe_results& heard) {
  if (now - last_heartbeat_ > timing_.max_heartbeat_gap) {
    RestartQuietPeriods(now);
  }
  last_heartbeat_ = now;
  const bool had_majority = has_majority_;
  has_majority_ = HearsMajority(heard);
  if (!has_majority_ || !had_majority) {
    RestartQuietPeriods(now);
  }
  std::erase_if(voter_sets_,
                [&](const voter_set& set) { return IsExpired(now, set); });
}

void ownership_tracker::MarkReleased(const host_id& host) {
  released_hosts_.insert(host);
}

void ownership_tracker::RestartQuietPeriods(time_point now) {
  stable_since_ = now;
}

duration ownership_tracker::UninterruptedTime(time_point now,
                                              const assignment& current) const {
  return now - std::max(current.since, stable_since_);
}

bool ownership_tracker::PredecessorReleased(const assignment& current) const {
  // An endpoint that certainly had no owner has no requests in flight either.
  // If the quiet periods were restarted since the assignment, other hosts may
  // have owned the endpoint in the meantime.
  return current.predecessor_certain && stable_since_ <= current.since &&
         (!current.predecessor.has_value() ||
          released_hosts_.contains(*current.predecessor));
}

ownership_standing ownership_tracker::StandingOf(
    time_point now,
    const endpoint_id& endpoint) const {
  const auto found = assignments_.find(endpoint);
  if (found == assignments_.end() || found->second.owner != self_) {
    return ownership_standing::kNotOwner;
  }
  if (!has_majority_ || now - last_heartbeat_ > timing_.max_heartbeat_gap) {
    return ownership_standing::kUncertain;
  }
  const assignment& current = found->second;
  const duration needed = PredecessorReleased(current)
                              ? timing_.view_convergence
                              : timing_.quiet_period;
  return UninterruptedTime(now, current) >= needed
             ? ownership_standing::kCertain
             : ownership_standing::kUncertain;
}

}  // namespace trefoilmill
