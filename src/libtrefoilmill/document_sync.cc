#include "trefoilmill/document_sync.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "rendezvous.h"

namespace trefoilmill {
namespace {

/// Shortest time between two calls to the store for one document, so that a
/// store that replies at once is not called in a tight loop.
constexpr duration kMinStoreCallInterval = std::chrono::milliseconds(50);
/// Each host delays its first call by a random time of up to this long per host
/// in the fleet, so that a fleet that starts at once spreads its calls.
constexpr duration kStartDelayPerHost = std::chrono::milliseconds(4);
/// Hosts that are not watchers wait this long per host of the fleet between two
/// calls, so that the total call rate does not grow with the fleet.
constexpr duration kFallbackIntervalPerHost = std::chrono::milliseconds(25);
/// Bounds the exponent of the backoff, which keeps the shift in range.
constexpr int kMaxBackoffDoublings = 16;

}  // namespace

document_sync::document_sync(time_point now,
                             config settings,
                             std::mt19937_64 random)
    : config_(std::move(settings)),
      random_(random),
      start_time_(now),
      first_store_call_(now + config_.store_fallback_delay) {
  for (const document_id& id : config_.documents) {
    documents_[id].next_store_call = now;
    documents_[id].status.watcher = true;
  }
}

document_sync::actions document_sync::Tick(time_point now) {
  actions out;
  IssueDueRequests(now, out);
  return out;
}

document_sync::actions document_sync::StoreReply(time_point now,
                                                 const document_id& id,
                                                 const store_reply& reply) {
  actions out;
  const auto found = documents_.find(id);
  if (found == documents_.end()) {
    return out;
  }
  document_state& state = found->second;
  state.store_call_open = false;
  std::visit(
      [&](const auto& typed_reply) { HandleReply(now, state, typed_reply); },
      reply);
  if (const auto* read = std::get_if<store_document>(&reply)) {
    AdoptIfNewer(state, {.id = id, .at = read->at, .body = read->body}, out);
  }
  IssueDueRequests(now, out);
  return out;
}

void document_sync::HandleReply(time_point now,
                                document_state& state,
                                const store_document& reply) {
  state.status.store_failures = 0;
  // A store that was restored from an older state answers each watch at once
  // with an old revision.
  const bool is_newer = reply.at > NewestHandledRevision(state);
  state.next_store_call =
      now + (is_newer ? kMinStoreCallInterval : config_.poll_interval);
}

void document_sync::HandleReply(time_point now,
                                document_state& state,
                                const store_unchanged& /*reply*/) {
  state.status.store_failures = 0;
  state.next_store_call = now + kMinStoreCallInterval;
}

void document_sync::HandleReply(time_point now,
                                document_state& state,
                                const store_absent& /*reply*/) {
  state.status.store_failures = 0;
  state.next_store_call = now + WithJitter(std::max(config_.poll_interval,
                                                    FallbackInterval(state)));
}

void document_sync::HandleReply(time_point now,
                                document_state& state,
                                const store_failed& /*reply*/) {
  ++state.status.store_failures;
  state.next_store_call =
      now + std::max(BackoffDelay(state.status.store_failures),
                     WithJitter(FallbackInterval(state)));
}

document_sync::actions document_sync::PeerDigest(
    time_point now,
    const host_id& from,
    const std::vector<document_digest>& documents) {
  actions out;
  for (const document_digest& digest : documents) {
    const auto found = documents_.find(digest.id);
    if (found != documents_.end() &&
        digest.in_force > NewestHandledRevision(found->second)) {
      found->second.newer_on_peers[from] = digest.in_force;
    }
  }
  IssueDueRequests(now, out);
  return out;
}

document_sync::actions document_sync::PeerRequest(time_point /*now*/,
                                                  const host_id& from,
                                                  const document_id& id) {
  const auto found = documents_.find(id);
  if (found == documents_.end() ||
      found->second.status.in_force == revision()) {
    return {};
  }
  const document_state& state = found->second;
  return {send_body{
      .to = from,
      .body = {.id = id, .at = state.status.in_force, .body = state.body}}};
}

document_sync::actions document_sync::PeerBody(time_point now,
                                               const host_id& from,
                                               const document_body& body) {
  actions out;
  const auto found = documents_.find(body.id);
  if (found == documents_.end()) {
    return out;
  }
  document_state& state = found->second;
  if (state.open_request.has_value() && state.open_request->peer == from) {
    state.open_request.reset();
  }
  state.newer_on_peers.erase(from);
  AdoptIfNewer(state, body, out);
  IssueDueRequests(now, out);
  return out;
}

revision document_sync::NewestHandledRevision(const document_state& state) {
  const revision validated = std::max(
      state.status.in_force, state.status.rejected.value_or(revision()));
  return state.pending_body.has_value()
             ? std::max(validated, state.pending_body->at)
             : validated;
}

void document_sync::AdoptIfNewer(document_state& state,
                                 const document_body& body,
                                 actions& out) {
  if (body.at <= NewestHandledRevision(state)) {
    return;
  }
  state.pending_body = body;
  out.emplace_back(adopt{.id = body.id, .at = body.at, .body = body.body});
}

document_sync::actions document_sync::Adopted(time_point now,
                                              const document_id& id,
                                              revision at) {
  actions out;
  const auto found = documents_.find(id);
  if (found == documents_.end() || !found->second.pending_body.has_value() ||
      found->second.pending_body->at != at) {
    return out;
  }
  document_state& state = found->second;
  state.body = std::move(state.pending_body->body);
  state.status.in_force = at;
  state.status.rejected.reset();
  state.status.rejection.clear();
  ClearPendingBody(state);
  AnnounceToPeers({.id = id, .in_force = at}, out);
  IssueDueRequests(now, out);
  return out;
}

document_sync::actions document_sync::Rejected(time_point now,
                                               const document_id& id,
                                               revision at,
                                               const std::string& why) {
  actions out;
  const auto found = documents_.find(id);
  if (found == documents_.end() || !found->second.pending_body.has_value() ||
      found->second.pending_body->at != at) {
    return out;
  }
  document_state& state = found->second;
  state.status.rejected = at;
  state.status.rejection = why;
  ClearPendingBody(state);
  IssueDueRequests(now, out);
  return out;
}

void document_sync::ClearPendingBody(document_state& state) {
  state.pending_body.reset();
  std::erase_if(state.newer_on_peers, [&state](const auto& entry) {
    return entry.second <= NewestHandledRevision(state);
  });
  if (state.newer_on_peers.empty()) {
    state.open_request.reset();
  }
}

document_sync::actions document_sync::HostsChanged(
    time_point now,
    const std::vector<host_record>& live,
    std::size_t fleet_size) {
  actions out;
  fleet_size_ = std::max<std::size_t>(1, fleet_size);
  if (!std::exchange(hosts_known_, true)) {
    const auto hosts = static_cast<duration::rep>(fleet_size_);
    std::uniform_int_distribution<duration::rep> start_delay(
        0, (hosts * kStartDelayPerHost).count());
    first_store_call_ = now + duration(start_delay(random_));
  }
  peers_.clear();
  std::ranges::copy_if(live | std::views::transform(&host_record::id),
                       std::back_inserter(peers_), [this](const host_id& id) {
                         return id != config_.self;
                       });
  for (auto& [id, state] : documents_) {
    const auto watchers =
        SelectWatchers(id, config_.zone, live, config_.watchers_per_zone);
    state.status.watcher =
        std::ranges::find(watchers, config_.self) != watchers.end();
  }
  IssueDueRequests(now, out);
  return out;
}

std::vector<host_id> document_sync::SelectWatchers(
    const document_id& id,
    const zone_id& zone,
    const std::vector<host_record>& live,
    int watchers_per_zone) {
  const std::uint64_t key = HashName(id.value());
  std::vector<std::pair<std::uint64_t, host_id>> ranked;
  for (const host_record& host : live) {
    if (host.zone == zone) {
      ranked.emplace_back(RendezvousScore(key, HashName(host.id.value())),
                          host.id);
    }
  }
  const std::size_t count = std::min(
      ranked.size(), static_cast<std::size_t>(std::max(1, watchers_per_zone)));
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::ranges::partial_sort(ranked, end, std::greater<>());
  std::vector<host_id> watchers;
  std::transform(ranked.begin(), end, std::back_inserter(watchers),
                 [](const auto& entry) { return entry.second; });
  return watchers;
}

void document_sync::AnnounceToPeers(const document_digest& digest,
                                    actions& out) {
  announce announcement{.to = {}, .documents = {digest}};
  std::ranges::sample(peers_, std::back_inserter(announcement.to),
                      static_cast<std::ptrdiff_t>(config_.announce_fanout),
                      random_);
  if (!announcement.to.empty()) {
    out.emplace_back(std::move(announcement));
  }
}

void document_sync::IssueDueRequests(time_point now, actions& out) {
  for (auto& [id, state] : documents_) {
    if (state.open_request.has_value() && now >= state.open_request->deadline) {
      state.newer_on_peers.erase(state.open_request->peer);
      state.open_request.reset();
    }
    if (!state.open_request.has_value() && !state.newer_on_peers.empty()) {
      RequestFromPeer(now, id, state, out);
    }
    const std::optional<time_point> next_store_call = NextStoreCall(state);
    if (next_store_call.has_value() && now >= *next_store_call) {
      CallStore(id, state, out);
    }
  }
  AddWake(out);
}

void document_sync::RequestFromPeer(time_point now,
                                    const document_id& id,
                                    document_state& state,
                                    actions& out) {
  std::vector<host_id> holders;
  std::ranges::sample(state.newer_on_peers | std::views::keys,
                      std::back_inserter(holders), 1, random_);
  const host_id& peer = holders.front();
  state.open_request = {.peer = peer, .deadline = now + config_.peer_timeout};
  out.emplace_back(request_from_peer{.to = peer, .id = id});
}

std::optional<time_point> document_sync::NextStoreCall(
    const document_state& state) const {
  if (state.store_call_open) {
    return std::nullopt;
  }
  const time_point earliest =
      std::max(state.next_store_call, first_store_call_);
  if (state.status.watcher) {
    return earliest;
  }
  if (state.status.in_force != revision()) {
    return std::nullopt;
  }
  return std::max(earliest, start_time_ + config_.store_fallback_delay);
}

void document_sync::CallStore(const document_id& id,
                              document_state& state,
                              actions& out) {
  state.store_call_open = true;
  const duration wait =
      state.status.watcher ? config_.max_watch_wait : duration::zero();
  out.emplace_back(call_store{
      .id = id, .after = NewestHandledRevision(state), .wait = wait});
}

duration document_sync::FallbackInterval(const document_state& state) const {
  const auto hosts = static_cast<duration::rep>(fleet_size_);
  return state.status.watcher ? duration::zero()
                              : hosts * kFallbackIntervalPerHost;
}

duration document_sync::WithJitter(duration full) {
  std::uniform_real_distribution<double> factor(0.5, 1.0);
  return std::chrono::duration_cast<duration>(full * factor(random_));
}

duration document_sync::BackoffDelay(int failures) {
  const int doublings = std::clamp(failures - 1, 0, kMaxBackoffDoublings);
  const duration full =
      std::min(config_.backoff_max, config_.backoff_min * (1 << doublings));
  return WithJitter(full);
}

void document_sync::AddWake(actions& out) const {
  std::optional<time_point> at;
  const auto keep_earliest = [&at](const std::optional<time_point>& candidate) {
    if (candidate.has_value() && (!at.has_value() || *candidate < *at)) {
      at = candidate;
    }
  };
  for (const document_state& state : documents_ | std::views::values) {
    keep_earliest(NextStoreCall(state));
    if (state.open_request.has_value()) {
      keep_earliest(state.open_request->deadline);
    }
  }
  if (at.has_value()) {
    out.emplace_back(wake{*at});
  }
}

std::vector<document_digest> document_sync::Digests() const {
  std::vector<document_digest> digests;
  for (const auto& [id, state] : documents_) {
    if (state.status.in_force != revision()) {
      digests.push_back({.id = id, .in_force = state.status.in_force});
    }
  }
  return digests;
}

const document_status* document_sync::StatusOf(const document_id& id) const {
  const auto found = documents_.find(id);
  return found == documents_.end() ? nullptr : &found->second.status;
}

}  // namespace trefoilmill
