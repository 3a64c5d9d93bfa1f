/// Probe rounds, suspicion timeouts and gossip of `membership`.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

#include "membership_rules.h"
#include "trefoilmill/membership.h"

namespace trefoilmill {
namespace {

/// Maximum number of reachable peers probed per interval. Bounds the cost per
/// host at any size of the fleet.
constexpr std::size_t kMaxProbesPerInterval = 4;
/// Up to this many peers are all probed within two intervals, always in the
/// same order.
constexpr std::size_t kMaxFullyProbedPeers = 2 * kMaxProbesPerInterval;
/// Maximum number of unreachable hosts probed per interval while most of the
/// listed hosts are unreachable.
constexpr std::size_t kMaxUnreachableProbes = 16;
/// Otherwise one unreachable host is probed every this many rounds.
constexpr std::uint64_t kUnreachableProbeRounds = 5;
/// Maximum number of gossip updates per message, without ClaimsToRefute().
constexpr std::size_t kMaxUpdatesPerMessage = 3;
/// The same for fleets of up to kMaxSmallFleetSize hosts.
constexpr std::size_t kMaxUpdatesPerMessageSmallFleet = 6;
/// Transmissions per update, as a multiple of ln(hosts + 1).
constexpr double kRetransmitMultiplier = 3.0;
/// Minimum remaining transmissions of an update that a peer turned out to lack.
constexpr int kRequeueTransmissions = 2;
/// How long a dead or stopped member is kept that is not on the platform's host
/// list.
constexpr duration kDeadMemberRetention = std::chrono::minutes(10);

}  // namespace

membership::actions membership::Tick(time_point now) {
  actions out;
  // Between rounds nothing may be due, so that ticks come a whole interval
  // apart, and timers fire late.
  const bool paused =
      now - last_tick_ > config_.probe_interval + config_.probe_timeout;
  last_tick_ = now;
  if (members_.at(self_).state == member_state::kLeft) {
    return out;
  }
  if (paused) {
    ResetTimersAfterPause(now);
  }
  CheckProbes(now, out);
  CheckSuspicions(now, out);
  if (now >= next_round_) {
    StartRound(now, out);
  }
  AddWake(out);
  return out;
}

void membership::ResetTimersAfterPause(time_point now) {
  // Acks may still be unread in the socket buffers, so a missing ack does not
  // show that the peer failed.
  std::erase_if(probes_, [](const auto& entry) {
    return !entry.second.on_behalf_of.has_value();
  });
  for (auto& deadline : suspicions_ | std::views::values) {
    deadline = now + config_.suspicion_timeout;
  }
}

membership::actions membership::LinkUp(time_point /*now*/,
                                       const host_id& peer) {
  actions out;
  links_.insert(peer);
  hello_message hello{.organisation = {}, .self = SelfUpdate()};
  out.emplace_back(send{.to = peer, .message = std::move(hello)});
  for (auto& [sequence, p] : probes_) {
    if (p.target == peer && !p.pinged) {
      SendPing(sequence, p, out);
    }
  }
  return out;
}

membership::actions membership::LinkLost(time_point now, const host_id& peer) {
  actions out;
  links_.erase(peer);
  bool probing = false;
  for (auto& [sequence, p] : probes_) {
    if (p.target == peer) {
      probing = true;
      StartIndirectProbe(now, sequence, p, out);
    }
  }
  const auto known = members_.find(peer);
  if (!probing && known != members_.end() && IsReachable(known->second.state)) {
    StartProbe(now, peer, out);
  }
  AddWake(out);
  return out;
}

void membership::SetConfig(const membership_config& config) {
  config_ = config;
}

std::size_t membership::ProbesPerInterval() const {
  const std::size_t peers = members_.size() - 1;
  return std::clamp<std::size_t>((peers + 1) / 2, 1, kMaxProbesPerInterval);
}

std::size_t membership::UnreachableProbeCount() {
  if (unreachable_.empty()) {
    return 0;
  }
  // With most hosts unreachable, this host is joining or was cut off.
  if (2 * unreachable_.size() > listed_.size()) {
    return kMaxUnreachableProbes;
  }
  return rounds_started_ % kUnreachableProbeRounds == 0 ? 1 : 0;
}

void membership::StartRound(time_point now, actions& out) {
  next_round_ = now + config_.probe_interval;
  ++rounds_started_;
  std::erase_if(probe_outcomes_, [&](const auto& entry) {
    return entry.second.at < now - ProbeResultLifetime(config_);
  });
  RemoveExpiredMembers(now);
  std::set<host_id> targets;
  for (std::size_t i = 0; i < ProbesPerInterval(); ++i) {
    targets.insert(NextTarget());
  }
  std::ranges::sample(unreachable_, std::inserter(targets, targets.end()),
                      static_cast<std::ptrdiff_t>(UnreachableProbeCount()),
                      random_);
  targets.erase(self_);
  for (const host_id& target : targets) {
    StartProbe(now, target, out);
  }
}

void membership::ShuffleProbeOrder() {
  probe_position_ = 0;
  probe_order_.clear();
  for (const auto& [id, m] : members_) {
    if (id != self_ && IsReachable(m.state)) {
      probe_order_.push_back(id);
    }
  }
  std::ranges::shuffle(probe_order_, random_);
  if (probe_order_.size() <= kMaxFullyProbedPeers) {
    // Longest unprobed first: with a random order a peer at the start of one
    // pass and at the end of the next would wait almost two passes.
    const auto last_probed_at = [this](const host_id& id) {
      const auto found = probe_outcomes_.find(id);
      return found == probe_outcomes_.end() ? time_point::min()
                                            : found->second.at;
    };
    std::ranges::stable_sort(probe_order_, {}, last_probed_at);
  }
}

host_id membership::NextTarget() {
  const auto is_usable = [this](const host_id& id) {
    const auto known = members_.find(id);
    return known != members_.end() && IsReachable(known->second.state);
  };
  for (int shuffles = 0; shuffles < 2; ++shuffles) {
    while (probe_position_ < probe_order_.size()) {
      const host_id& candidate = probe_order_[probe_position_++];
      if (is_usable(candidate)) {
        return candidate;
      }
    }
    ShuffleProbeOrder();
  }
  return self_;
}

void membership::StartProbe(time_point now,
                            const host_id& target,
                            actions& out) {
  probe p;
  p.target = target;
  StartProbe(now, std::move(p), out);
}

void membership::StartProbe(time_point now, probe p, actions& out) {
  const host_record* record = FindHostRecord(p.target);
  if (record == nullptr) {
    return;
  }
  p.indirect_at = now + config_.probe_timeout;
  p.fail_at = p.indirect_at + config_.probe_timeout;
  const std::uint64_t sequence = next_sequence_++;
  if (links_.contains(p.target)) {
    SendPing(sequence, p, out);
  } else {
    out.emplace_back(connect{.to = *record});
  }
  probes_.emplace(sequence, std::move(p));
}

void membership::SendPing(std::uint64_t sequence, probe& p, actions& out) {
  p.pinged = true;
  out.emplace_back(
      send{.to = p.target,
           .message = ping_message{.sequence = sequence,
                                   .updates = DequeueUpdates(p.target),
                                   .documents = documents_}});
}

void membership::StartIndirectProbe(time_point now,
                                    std::uint64_t sequence,
                                    probe& p,
                                    actions& out) {
  if (p.indirect) {
    return;
  }
  p.indirect = true;
  p.fail_at = std::min(p.fail_at, now + config_.probe_timeout);
  if (p.on_behalf_of.has_value()) {
    return;
  }
  probe_outcomes_[p.target] = {.at = now, .answered = false};
  const auto known = members_.find(p.target);
  if (known == members_.end() || !IsReachable(known->second.state)) {
    return;
  }
  const auto helper_count = static_cast<std::size_t>(config_.indirect_probes);
  for (const host_id& peer : RandomPeers(helper_count, p.target)) {
    out.emplace_back(send{.to = peer,
                          .message = ping_request_message{.sequence = sequence,
                                                          .target = p.target}});
  }
}

std::vector<host_id> membership::RandomPeers(std::size_t count,
                                             const host_id& except) {
  std::vector<host_id> usable;
  std::ranges::copy_if(links_, std::back_inserter(usable),
                       [&](const host_id& id) {
                         const auto known = members_.find(id);
                         return id != except && known != members_.end() &&
                                IsReachable(known->second.state);
                       });
  std::vector<host_id> peers;
  std::ranges::sample(usable, std::back_inserter(peers),
                      static_cast<std::ptrdiff_t>(count), random_);
  return peers;
}

void membership::CheckProbes(time_point now, actions& out) {
  std::vector<host_id> failed;
  for (auto& [sequence, p] : probes_) {
    if (now >= p.indirect_at) {
      StartIndirectProbe(now, sequence, p, out);
    }
    if (now >= p.fail_at && !p.on_behalf_of.has_value()) {
      failed.push_back(p.target);
    }
  }
  std::erase_if(probes_, [now](const auto& entry) {
    return now >= entry.second.fail_at;
  });
  for (const host_id& id : failed) {
    const auto known = members_.find(id);
    if (known != members_.end() && IsReachable(known->second.state) &&
        known->second.state != member_state::kSuspect) {
      SetMemberState(now, id, member_state::kSuspect, out);
    }
  }
}

void membership::CheckSuspicions(time_point now, actions& out) {
  std::vector<host_id> expired;
  for (const auto& [id, deadline] : suspicions_) {
    if (now >= deadline) {
      expired.push_back(id);
    }
  }
  for (const host_id& id : expired) {
    SetMemberState(now, id, member_state::kDead, out);
  }
}

void membership::RemoveExpiredMembers(time_point now) {
  std::vector<host_id> expired;
  for (const auto& [id, since] : unreachable_since_) {
    if (now - since > kDeadMemberRetention && !unreachable_.contains(id)) {
      expired.push_back(id);
    }
  }
  for (const host_id& id : expired) {
    unreachable_since_.erase(id);
    remaining_transmissions_.erase(id);
    members_.erase(id);
  }
}

void membership::QueueUpdate(const host_id& id) {
  const auto size = static_cast<double>(members_.size());
  remaining_transmissions_[id] =
      static_cast<int>(std::ceil(kRetransmitMultiplier * std::log(size + 1)));
}

void membership::RequeueUpdate(const host_id& id) {
  int& remaining = remaining_transmissions_[id];
  remaining = std::max(remaining, kRequeueTransmissions);
}

std::vector<member_update> membership::ClaimsToRefute(const host_id& to) const {
  const auto known = members_.find(to);
  if (known == members_.end()) {
    // Nothing is known about the peer. It refutes this placeholder claim and
    // thereby sends its own record.
    member_update claim;
    claim.host.id = to;
    claim.state = member_state::kSuspect;
    return {claim, SelfUpdate()};
  }
  if (!IsReachable(known->second.state)) {
    return {UpdateFromMember(known->second), SelfUpdate()};
  }
  if (known->second.state != member_state::kAlive) {
    return {UpdateFromMember(known->second)};
  }
  return {};
}

std::vector<member_update> membership::DequeueUpdates(const host_id& to) {
  std::vector<member_update> updates = ClaimsToRefute(to);
  std::vector<std::pair<int, host_id>> pending;
  for (const auto& [id, remaining] : remaining_transmissions_) {
    if (id != to) {
      pending.emplace_back(remaining, id);
    }
  }
  const std::size_t limit = members_.size() <= kMaxSmallFleetSize
                                ? kMaxUpdatesPerMessageSmallFleet
                                : kMaxUpdatesPerMessage;
  const std::size_t count = std::min(limit, pending.size());
  std::ranges::partial_sort(
      pending, pending.begin() + static_cast<std::ptrdiff_t>(count),
      std::greater<>());
  for (const auto& [remaining, id] : pending | std::views::take(count)) {
    updates.push_back(UpdateFromMember(members_.at(id)));
    if (--remaining_transmissions_[id] <= 0) {
      remaining_transmissions_.erase(id);
    }
  }
  return updates;
}

void membership::AddWake(actions& out) const {
  time_point at = next_round_;
  for (const auto& p : probes_ | std::views::values) {
    at = std::min(at, p.indirect ? p.fail_at : p.indirect_at);
  }
  for (const auto& deadline : suspicions_ | std::views::values) {
    at = std::min(at, deadline);
  }
  out.emplace_back(wake{at});
}

}  // namespace trefoilmill
