#include "trefoilmill/membership.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <ranges>
#include <utility>

#include "membership_rules.h"

namespace trefoilmill {
namespace {

/// Peers told at once that this host leaves, or lives on.
constexpr std::size_t kAnnounceFanout = 8;
/// A host sends a table at most once in this long per entry: a bound on bytes
/// that holds at any size of the fleet.
constexpr duration kTableIntervalPerMember = std::chrono::milliseconds(10);

failure BadConfig(std::string detail) {
  return {.outcome = verdict::kNotRun,
          .reason = reason_code::kBadRequest,
          .detail = std::move(detail),
          .retry_after = std::nullopt};
}

}  // namespace

result<membership> membership::Create(time_point now,
                                      host_record self,
                                      incarnation life,
                                      const membership_config& config,
                                      std::mt19937_64 random) {
  if (config.probe_interval <= duration::zero() ||
      config.probe_timeout <= duration::zero() ||
      config.suspicion_timeout <= duration::zero()) {
    return BadConfig("membership intervals must be above zero");
  }
  if (self.id.value().empty()) {
    return BadConfig("the host has no id");
  }
  return membership(now, std::move(self), life, config, random);
}

membership::membership(time_point now,
                       host_record self,
                       incarnation life,
                       const membership_config& config,
                       std::mt19937_64 random)
    : self_(self.id), config_(config), random_(random), last_tick_(now) {
  members_[self_] = {.host = std::move(self),
                     .life = life,
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
  absent_.clear();
  for (const host_record& host : listed_) {
    UpdateAbsent(host.id);
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
  Merge(now, m.self, out);
  MergeDocuments(from, m.self.documents);
  SendTable(now, from, out);
}

void membership::Handle(time_point now,
                        const host_id& from,
                        const ping_message& m,
                        actions& out) {
  MergeAll(now, m.updates, out);
  MergeDocuments(from, m.documents);
  out.emplace_back(send{.to = from,
                        .message = ack_message{.sequence = m.sequence,
                                               .updates = TakeUpdates(from),
                                               .documents = documents_}});
}

void membership::Handle(time_point now,
                        const host_id& from,
                        const ack_message& m,
                        actions& out) {
  MergeAll(now, m.updates, out);
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
    evidence_[from] = {.at = now, .answered = true};
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
  if (m.target == self_ || RecordOf(m.target) == nullptr) {
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
  MergeAll(now, m.updates, out);
  MergeDocuments(from, m.documents);
}

void membership::MergeAll(time_point now,
                          const std::vector<member_update>& updates,
                          actions& out) {
  for (const member_update& update : updates) {
    Merge(now, update, out);
  }
}

void membership::Merge(time_point now,
                       const member_update& update,
                       actions& out) {
  if (update.host.id == self_) {
    Refute(update, out);
    return;
  }
  const auto known = members_.find(update.host.id);
  if (known == members_.end()) {
    if (IsReachable(update.state)) {
      Apply(now, update, out);
    }
    return;
  }
  if (Supersedes(update.life, update.state, known->second)) {
    Apply(now, update, out);
  } else if (Supersedes(known->second.life, known->second.state,
                        MemberOf(update))) {
    // The sender has missed something: pass it on once more.
    SpreadAgain(update.host.id);
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
  if (members_.size() <= kReportedFleet) {
    Spread(update.host.id);
  }
}

void membership::MergeDocuments(const host_id& from,
                                const std::vector<document_digest>& documents) {
  const auto known = members_.find(from);
  if (known == members_.end()) {
    return;
  }
  for (const document_digest& digest : documents) {
    RaiseDigest(known->second.documents, digest);
  }
}

void membership::Refute(const member_update& claim, actions& out) {
  member& self = members_.at(self_);
  const bool supersedes = Supersedes(claim.life, claim.state, self);
  const bool accuses =
      claim.state == member_state::kSuspect || !IsReachable(claim.state);
  if (!supersedes && !accuses) {
    return;
  }
  // Whoever still passes on a claim about an earlier incarnation holds this
  // host for dead now.
  if (!IsReachable(claim.state)) {
    out.emplace_back(declared_dead{});
  }
  if (supersedes) {
    self.life = incarnation(claim.life.value() + 1);
    AnnounceSelf(out);
  }
  Spread(self_);
}

void membership::AnnounceSelf(actions& out) {
  for (const host_id& peer : RandomPeers(kAnnounceFanout, self_)) {
    out.emplace_back(
        send{.to = peer,
             .message = announce_message{.documents = documents_,
                                         .updates = {SelfUpdate()}}});
  }
}

void membership::Apply(time_point now,
                       const member_update& next,
                       actions& out) {
  const host_id& id = next.host.id;
  const auto known = members_.find(id);
  const bool same_life =
      known != members_.end() && known->second.life == next.life;
  std::optional<member_state> before;
  member merged = MemberOf(next);
  if (known != members_.end()) {
    before = known->second.state;
    // A state may arrive by a path that has not seen the latest report.
    if (known->second.life == next.life && known->second.report > next.report) {
      merged.host = known->second.host;
      merged.report = known->second.report;
      merged.documents = known->second.documents;
    }
  }
  merged.leaving =
      IsLeaving(merged.state) || (same_life && known->second.leaving);
  const bool moved =
      known != members_.end() && known->second.host != merged.host;
  members_[id] = merged;
  suspicions_.erase(id);
  dead_since_.erase(id);
  if (merged.state == member_state::kSuspect) {
    suspicions_[id] = now + config_.suspicion_timeout;
  }
  if (!IsReachable(merged.state)) {
    dead_since_[id] = now;
  }
  UpdateAbsent(id);
  Spread(id);
  if (before != merged.state || moved) {
    out.emplace_back(changed{.now = std::move(merged), .before = before});
  }
}

void membership::Declare(time_point now,
                         const host_id& id,
                         member_state state,
                         actions& out) {
  member_update next = UpdateOf(members_.at(id));
  next.state = state;
  Apply(now, next, out);
}

void membership::SendTable(time_point now, const host_id& to, actions& out) {
  if (members_.size() > kReportedFleet) {
    const auto entries = static_cast<duration::rep>(members_.size());
    if (last_table_.has_value() &&
        now - *last_table_ < entries * kTableIntervalPerMember) {
      return;
    }
    last_table_ = now;
  }
  const auto table_chunk = static_cast<std::size_t>(config_.table_chunk);
  announce_message chunk{.documents = documents_, .updates = {}};
  const auto flush = [&] {
    out.emplace_back(send{.to = to, .message = chunk});
    chunk.updates.clear();
  };
  for (const auto& [id, m] : members_) {
    // The receiver's own record goes along if it has to be refuted.
    if (IsReachable(m.state) ? id != to : id == to) {
      chunk.updates.push_back(UpdateOf(m));
    }
    if (chunk.updates.size() >= table_chunk) {
      flush();
    }
  }
  flush();
}

void membership::UpdateAbsent(const host_id& id) {
  const auto known = members_.find(id);
  const bool reachable =
      known != members_.end() && IsReachable(known->second.state);
  if (listed_ids_.contains(id) && !reachable) {
    absent_.insert(id);
  } else {
    absent_.erase(id);
  }
}

membership::actions membership::SetDocuments(
    time_point /*now*/,
    std::vector<document_digest> documents) {
  documents_ = std::move(documents);
  member& self = members_.at(self_);
  self.documents = documents_;
  ++self.report;
  if (members_.size() <= kReportedFleet) {
    Spread(self_);
  }
  return {};
}

void membership::SpreadSelf(member_state state, actions& out) {
  member& self = members_.at(self_);
  const member_state before = self.state;
  self.state = state;
  self.leaving = true;
  ++self.report;
  Spread(self_);
  AnnounceSelf(out);
  out.emplace_back(changed{.now = self, .before = before});
}

membership::actions membership::Leave(time_point /*now*/) {
  actions out;
  SpreadSelf(member_state::kLeaving, out);
  return out;
}

membership::actions membership::Release(time_point /*now*/) {
  actions out;
  SpreadSelf(member_state::kReleased, out);
  return out;
}

membership::actions membership::Stop(time_point /*now*/) {
  actions out;
  SpreadSelf(member_state::kLeft, out);
  return out;
}

const host_record* membership::RecordOf(const host_id& id) const {
  const auto known = members_.find(id);
  if (known != members_.end()) {
    return &known->second.host;
  }
  const auto found = std::ranges::find(listed_, id, &host_record::id);
  return found == listed_.end() ? nullptr : &*found;
}

}  // namespace trefoilmill
