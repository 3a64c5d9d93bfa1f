#include "trefoilmill/membership.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <ranges>
#include <utility>

#include "membership_rules.h"

namespace trefoilmill {
namespace {

/// Peers that are told at once, ahead of gossip, of a change of this host's own
/// state or incarnation.
constexpr std::size_t kAnnounceFanout = 8;
/// Minimum time between two member tables that a host sends, per table entry.
/// Limits the bytes per second at any size of the fleet.
constexpr duration kMinTableIntervalPerMember = std::chrono::milliseconds(10);

failure BadConfig(std::string detail) {
  return {.outcome = verdict::kNotRun,
          .reason = reason_code::kBadRequest,
          .detail = std::move(detail),
          .retry_after = std::nullopt};
}

}  // namespace

result<membership> membership::Create(time_point now,
                                      host_record self,
                                      incarnation incarnation_number,
                                      const membership_config& config,
                                      std::mt19937_64 random) {
  if (config.probe_interval <= duration::zero() ||
      config.probe_timeout <= duration::zero() ||
      config.suspicion_timeout <= duration::zero()) {
    return BadConfig(
        "probe_interval_ms, probe_timeout_ms and suspicion_timeout_ms must be "
        "greater than zero");
  }
  if (self.id.value().empty()) {
    return BadConfig("the host id is empty");
  }
  return membership(now, std::move(self), incarnation_number, config, random);
}

membership::membership(time_point now,
                       host_record self,
                       incarnation incarnation_number,
                       const membership_config& config,
                       std::mt19937_64 random)
    : self_(self.id), config_(config), random_(random), last_tick_(now) {
  members_[self_] = {.host = std::move(self),
                     .life = incarnation_number,
                     .state = member_state::kAlive,
                     .report = 0,
                     .documents = {}};
  std::uniform_int_distribution<duration::rep> offset(
      0, config_.probe_interval.count());
  next_round_ = now + duration(offset(random_));
}

membership::actions membership::SetHostList(time_point now,
                                            std::vector<host_record> listed) {
  const bool first = listed_.empty();
  listed_ = std::move(listed);
  listed_ids_.clear();
  std::ranges::transform(listed_, std::inserter(listed_ids_, listed_ids_.end()),
                         &host_record::id);
  unreachable_.clear();
  for (const host_record& host : listed_) {
    UpdateUnreachable(host.id);
  }
  if (first) {
    next_round_ = std::min(next_round_, now);
  }
  actions out;
  AddWake(out);
  return out;
}

membership::actions membership::Receive(time_point now,
                                        const host_id& from,
                                        const peer_message& message) {
  actions out;
  std::visit(
      [&](const auto& m) {
        if constexpr (requires { Handle(now, from, m, out); }) {
          Handle(now, from, m, out);
        }
      },
      message);
  AddWake(out);
  return out;
}

void membership::Handle(time_point now,
                        const host_id& from,
                        const hello_message& m,
                        actions& out) {
  MergeUpdate(now, m.self, out);
  MergeDocuments(from, m.self.documents);
  SendTable(now, from, out);
}

void membership::Handle(time_point now,
                        const host_id& from,
                        const ping_message& m,
                        actions& out) {
  MergeUpdates(now, m.updates, out);
  MergeDocuments(from, m.documents);
  out.emplace_back(send{.to = from,
                        .message = ack_message{.sequence = m.sequence,
                                               .updates = DequeueUpdates(from),
                                               .documents = documents_}});
}

void membership::Handle(time_point now,
                        const host_id& from,
                        const ack_message& m,
                        actions& out) {
  MergeUpdates(now, m.updates, out);
  const auto found = probes_.find(m.sequence);
  if (found == probes_.end()) {
    return;
  }
  const probe answered = found->second;
  const bool direct = from == answered.target;
  if (!direct && !answered.indirect) {
    return;
  }
  probes_.erase(found);
  if (direct) {
    MergeDocuments(from, m.documents);
    probe_outcomes_[from] = {.at = now, .answered = true};
  }
  if (answered.on_behalf_of.has_value()) {
    out.emplace_back(
        send{.to = *answered.on_behalf_of,
             .message = ack_message{.sequence = answered.requester_sequence,
                                    .updates = {},
                                    .documents = documents_}});
  }
}

void membership::Handle(time_point now,
                        const host_id& from,
                        const ping_request_message& m,
                        actions& out) {
  if (m.target == self_ || FindHostRecord(m.target) == nullptr) {
    return;
  }
  probe p;
  p.target = m.target;
  p.on_behalf_of = from;
  p.requester_sequence = m.sequence;
  StartProbe(now, std::move(p), out);
}

void membership::Handle(time_point now,
                        const host_id& from,
                        const announce_message& m,
                        actions& out) {
  MergeUpdates(now, m.updates, out);
  MergeDocuments(from, m.documents);
}

void membership::MergeUpdates(time_point now,
                              const std::vector<member_update>& updates,
                              actions& out) {
  for (const member_update& update : updates) {
    MergeUpdate(now, update, out);
  }
}

void membership::MergeUpdate(time_point now,
                             const member_update& update,
                             actions& out) {
  if (update.host.id == self_) {
    Refute(update, out);
    return;
  }
  const auto known = members_.find(update.host.id);
  if (known == members_.end()) {
    if (IsReachable(update.state)) {
      ApplyUpdate(now, update, out);
    }
    return;
  }
  if (Supersedes(update.life, update.state, known->second)) {
    ApplyUpdate(now, update, out);
  } else if (Supersedes(known->second.life, known->second.state,
                        MemberFromUpdate(update))) {
    // The sender's record is outdated, so gossip the current one again.
    RequeueUpdate(update.host.id);
  }
  MergeReport(update);
}

void membership::MergeReport(const member_update& update) {
  member& known = members_.at(update.host.id);
  if (update.life != known.life || update.report <= known.report) {
    return;
  }
  known.report = update.report;
  known.host = update.host;
  known.documents = update.documents;
  if (members_.size() <= kMaxSmallFleetSize) {
    QueueUpdate(update.host.id);
  }
}

void membership::MergeDocuments(const host_id& from,
                                const std::vector<document_digest>& documents) {
  const auto known = members_.find(from);
  if (known == members_.end()) {
    return;
  }
  for (const document_digest& digest : documents) {
    MergeDigest(known->second.documents, digest);
  }
}

void membership::Refute(const member_update& claim, actions& out) {
  member& self = members_.at(self_);
  const bool supersedes = Supersedes(claim.life, claim.state, self);
  const bool reports_failure =
      claim.state == member_state::kSuspect || !IsReachable(claim.state);
  if (!supersedes && !reports_failure) {
    return;
  }
  // A peer that repeats a claim about an earlier incarnation still treats this
  // host as dead, so this is reported although the claim is already refuted.
  if (!IsReachable(claim.state)) {
    out.emplace_back(declared_dead{});
  }
  if (supersedes) {
    self.life = incarnation(claim.life.value() + 1);
    AnnounceSelf(out);
  }
  QueueUpdate(self_);
}

void membership::AnnounceSelf(actions& out) {
  for (const host_id& peer : RandomPeers(kAnnounceFanout, self_)) {
    out.emplace_back(
        send{.to = peer,
             .message = announce_message{.documents = documents_,
                                         .updates = {SelfUpdate()}}});
  }
}

void membership::ApplyUpdate(time_point now,
                             const member_update& next,
                             actions& out) {
  const host_id& id = next.host.id;
  const auto known = members_.find(id);
  const bool same_incarnation =
      known != members_.end() && known->second.life == next.life;
  std::optional<member_state> before;
  member merged = MemberFromUpdate(next);
  if (known != members_.end()) {
    before = known->second.state;
    // A state update may come from a host that lacks the latest report.
    if (known->second.life == next.life && known->second.report > next.report) {
      merged.host = known->second.host;
      merged.report = known->second.report;
      merged.documents = known->second.documents;
    }
  }
  merged.leaving =
      IsLeaving(merged.state) || (same_incarnation && known->second.leaving);
  const bool host_changed =
      known != members_.end() && known->second.host != merged.host;
  members_[id] = merged;
  suspicions_.erase(id);
  unreachable_since_.erase(id);
  if (merged.state == member_state::kSuspect) {
    suspicions_[id] = now + config_.suspicion_timeout;
  }
  if (!IsReachable(merged.state)) {
    unreachable_since_[id] = now;
  }
  UpdateUnreachable(id);
  QueueUpdate(id);
  if (before != merged.state || host_changed) {
    out.emplace_back(
        member_changed{.now = std::move(merged), .before = before});
  }
}

void membership::SetMemberState(time_point now,
                                const host_id& id,
                                member_state state,
                                actions& out) {
  member_update next = UpdateFromMember(members_.at(id));
  next.state = state;
  ApplyUpdate(now, next, out);
}

void membership::SendTable(time_point now, const host_id& to, actions& out) {
  if (members_.size() > kMaxSmallFleetSize) {
    const auto entries = static_cast<duration::rep>(members_.size());
    if (last_table_sent_at_.has_value() &&
        now - *last_table_sent_at_ < entries * kMinTableIntervalPerMember) {
      return;
    }
    last_table_sent_at_ = now;
  }
  const auto table_chunk = static_cast<std::size_t>(config_.table_chunk);
  announce_message chunk{.documents = documents_, .updates = {}};
  const auto flush = [&] {
    out.emplace_back(send{.to = to, .message = chunk});
    chunk.updates.clear();
  };
  for (const auto& [id, m] : members_) {
    // The receiver gets its own record only if it has to refute it.
    if (IsReachable(m.state) ? id != to : id == to) {
      chunk.updates.push_back(UpdateFromMember(m));
    }
    if (chunk.updates.size() >= table_chunk) {
      flush();
    }
  }
  flush();
}

void membership::UpdateUnreachable(const host_id& id) {
  const auto known = members_.find(id);
  const bool reachable =
      known != members_.end() && IsReachable(known->second.state);
  if (listed_ids_.contains(id) && !reachable) {
    unreachable_.insert(id);
  } else {
    unreachable_.erase(id);
  }
}

membership::actions membership::SetDocuments(
    time_point /*now*/,
    std::vector<document_digest> documents) {
  documents_ = std::move(documents);
  member& self = members_.at(self_);
  self.documents = documents_;
  ++self.report;
  if (members_.size() <= kMaxSmallFleetSize) {
    QueueUpdate(self_);
  }
  return {};
}

void membership::SetOwnState(member_state state, actions& out) {
  member& self = members_.at(self_);
  const member_state before = self.state;
  self.state = state;
  self.leaving = true;
  ++self.report;
  QueueUpdate(self_);
  AnnounceSelf(out);
  out.emplace_back(member_changed{.now = self, .before = before});
}

membership::actions membership::Leave(time_point /*now*/) {
  actions out;
  SetOwnState(member_state::kLeaving, out);
  return out;
}

membership::actions membership::Release(time_point /*now*/) {
  actions out;
  SetOwnState(member_state::kReleased, out);
  return out;
}

membership::actions membership::Stop(time_point /*now*/) {
  actions out;
  SetOwnState(member_state::kLeft, out);
  return out;
}

const host_record* membership::FindHostRecord(const host_id& id) const {
  const auto known = members_.find(id);
  if (known != members_.end()) {
    return &known->second.host;
  }
  const auto found = std::ranges::find(listed_, id, &host_record::id);
  return found == listed_.end() ? nullptr : &*found;
}

}  // namespace trefoilmill
