#include "trefoilmill_entry/store_feeds.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

#include "trefoilmill/wire/log_messages.h"
#include "trefoilmill/wire/part_codec.h"
#include "trefoilmill_entry/object_digests.h"
#include "trefoilmill_entry/object_parts.h"

namespace trefoilmill::entry {
namespace {

/// How often a host reviews whether to watch the store and, if it does, tells
/// its zone.
constexpr duration kHeartbeatInterval = std::chrono::milliseconds(500);
/// Heartbeats between two calls that list the hosts.
constexpr int kHeartbeatsPerRelist = 40;
/// Largest total content of the changes in one datagram, in bytes.
constexpr std::size_t kMaxFeedContentBytes = 16384;
/// Most removed parts of a patch that is sent in a datagram, of 9 bytes each.
constexpr std::size_t kMaxPatchRemovals = 500;
/// Most added text of a patch that is worth compressing to see whether it fits
/// into a datagram, in bytes.
constexpr std::size_t kMaxPatchTextBytes = 16 * kMaxFeedContentBytes;

/// The changes in the form in which feeds carry them.
std::vector<fed_object> FedObjects(const object_changes& changes) {
  std::vector<fed_object> fed;
  std::ranges::transform(changes.events, std::back_inserter(fed),
                         [](const object_event& event) {
                           return fed_object{.name = event.object.name,
                                             .at = event.object.at,
                                             .content = event.object.content,
                                             .deleted = event.deleted};
                         });
  return fed;
}

/// The changes that a feed carries, which lead to revision `as_of`. Hosts of
/// earlier versions send configurations whole.
object_changes ChangesOf(const store_feed& feed,
                         object_kind kind,
                         revision as_of) {
  object_changes changes{.events = {}, .as_of = as_of};
  for (const fed_object& object : feed.changes) {
    stored_object fed{
        .name = object.name, .at = object.at, .content = object.content};
    if (!object.deleted) {
      SplitContent(kind, fed);
    }
    changes.events.push_back(
        {.object = std::move(fed), .deleted = object.deleted});
  }
  return changes;
}

/// What turns the parts of one object into those of another.
object_patch PatchBetween(const stored_object& before,
                          const stored_object& after) {
  part_set::difference difference =
      part_set::Difference(*before.parts, *after.parts);
  return {.name = after.name,
          .at = after.at,
          .base_digest = before.parts->digest(),
          .digest = after.parts->digest(),
          .removed = std::move(difference.removed),
          .added = std::move(difference.added)};
}

std::size_t TextBytes(const std::vector<shared_part>& parts) {
  std::size_t bytes = 0;
  for (const shared_part& p : parts) {
    bytes += p->text().size();
  }
  return bytes;
}

std::size_t ContentBytes(const object_changes& changes) {
  std::size_t bytes = 0;
  for (const object_event& event : changes.events) {
    bytes += event.object.content.size();
  }
  return bytes;
}

}  // namespace

store_feeds::store_feeds(event_loop& loop,
                         store_sync& store,
                         const fleet_membership& fleet,
                         peer_datagrams& datagrams,
                         peer_copies& copies,
                         telemetry& process_telemetry)
    : loop_(loop),
      store_(store),
      fleet_(fleet),
      datagrams_(datagrams),
      copies_(copies),
      telemetry_(process_telemetry),
      watch_duty_(fleet.self().id, {}, loop.Now()) {}

void store_feeds::Start() {
  heartbeat_timer_ =
      loop_.RunEvery(kHeartbeatInterval, [this] { RunHeartbeat(); });
}

void store_feeds::RunHeartbeat() {
  ReviewWatching();
  if (!is_watching()) {
    return;
  }
  Broadcast({.fresh = store_.is_fresh(), .documents = DigestsOf(store_)});
  if (watch_duty_.is_designated() &&
      ++heartbeats_ % kHeartbeatsPerRelist == 0) {
    store_.RelistHosts();
  }
}

void store_feeds::ReviewWatching() {
  std::vector<host_id> zone_hosts;
  std::set<zone_id> zones;
  for (const auto& [id, m] : fleet_.members()) {
    if (!IsAlive(m)) {
      continue;
    }
    zones.insert(m.host.zone);
    if (m.host.zone == fleet_.self().zone) {
      zone_hosts.push_back(id);
    }
  }
  watch_duty_.SetZoneHosts(zone_hosts, zones.size());
  const bool must_watch = watch_duty_.ShouldWatch(loop_.Now());
  if (must_watch != watching_) {
    watching_ = must_watch;
    telemetry_.log->Info(
        must_watch ? log_message::kWatchingStore : log_message::kLeavingStore,
        {.inputs = {
             {"zone_hosts", static_cast<std::int64_t>(zone_hosts.size())}}});
  }
  store_.SetWatching(must_watch);
}

void store_feeds::ForwardChanges(object_kind kind,
                                 const store_sync::store_changes& reported) {
  if (!is_watching()) {
    return;
  }
  BroadcastPatches(kind, reported);
  store_feed feed{
      .fresh = true, .documents = DigestsOf(store_), .from = reported.from};
  // Changes too large for a datagram are left out, and so are objects that are
  // split into parts: the digests make the other hosts fetch what they lack.
  const bool is_whole = std::ranges::none_of(
      reported.changes.events,
      [](const object_event& e) { return e.object.parts != nullptr; });
  if (is_whole && ContentBytes(reported.changes) <= kMaxFeedContentBytes) {
    feed.kind = DocumentIdOf(kind);
    feed.changes = FedObjects(reported.changes);
  }
  Broadcast(feed);
}

void store_feeds::BroadcastPatches(object_kind kind,
                                   const store_sync::store_changes& reported) {
  for (const stored_object& before : reported.replaced) {
    const auto& objects = store_.Follower(kind).objects();
    const auto after = objects.find(before.name);
    if (after == objects.end() || after->second.parts == nullptr) {
      continue;
    }
    object_patch patch = PatchBetween(before, after->second);
    if (patch.removed.size() > kMaxPatchRemovals ||
        TextBytes(patch.added) > kMaxPatchTextBytes) {
      continue;
    }
    object_patch_message message{.kind = DocumentIdOf(kind),
                                 .name = patch.name,
                                 .at = patch.at,
                                 .base_digest = patch.base_digest,
                                 .digest = patch.digest,
                                 .removed = std::move(patch.removed),
                                 .added = EncodeParts(patch.added)};
    if (message.added.size() <= kMaxFeedContentBytes) {
      const auto receivers = fleet_.NearbyHosts();
      telemetry_.meter->Increment(
          metric::kPeerBytes, {"patches", "out"},
          static_cast<double>(message.added.size() * receivers.size()));
      datagrams_.SendToAll(receivers, message);
    }
  }
}

void store_feeds::OnPatch(const host_id& from,
                          const object_patch_message& message) {
  const auto kind = KindOf(message.kind);
  auto added = DecodeParts(message.added);
  if (!kind.has_value() || !added.has_value()) {
    telemetry_.log->Warning("malformed patch from a peer ignored",
                            {.peer = from, .document = message.kind});
    return;
  }
  const bool applied =
      store_.ApplyPeerPatch(*kind, {.name = message.name,
                                    .at = message.at,
                                    .base_digest = message.base_digest,
                                    .digest = message.digest,
                                    .removed = message.removed,
                                    .added = std::move(added.value())});
  telemetry_.log->Info(
      applied ? "patch from a peer applied"
              : "patch from a peer is not for the version in force; ignored",
      {.peer = from,
       .document = message.kind,
       .at = message.at,
       .inputs = {{"bytes", static_cast<std::int64_t>(message.added.size())}}});
}

void store_feeds::Broadcast(const store_feed& feed) {
  datagrams_.SendToAll(fleet_.NearbyHosts(), feed);
}

void store_feeds::OnFeed(const host_id& from, const store_feed& feed) {
  if (feed.fresh) {
    watch_duty_.OnStoreFeed(loop_.Now());
  }
  for (const document_digest& digest : feed.documents) {
    store_.ObserveEra(digest.in_force.era());
  }
  for (const object_kind kind : kObjectKinds) {
    ApplyFeed(from, feed, kind);
  }
}

void store_feeds::ApplyFeed(const host_id& from,
                            const store_feed& feed,
                            object_kind kind) {
  const auto in_force = FindRevision(feed.documents, kind);
  if (!in_force.has_value()) {
    return;
  }
  if (feed.kind == DocumentIdOf(kind)) {
    store_.ApplyPeerChanges(kind, feed.from, ChangesOf(feed, kind, *in_force));
  }
  copies_.OnFed(kind,
                {.at = *in_force,
                 .source = datagrams_.addresses().AddressOf(from).value()});
}

}  // namespace trefoilmill::entry
