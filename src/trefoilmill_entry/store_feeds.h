/// News of the platform's store between hosts. Only a few hosts of a zone watch
/// the store; they forward what it reports to the others, and tell them
/// regularly that they still reach it.
#ifndef TREFOILMILL_ENTRY_STORE_FEEDS_H_
#define TREFOILMILL_ENTRY_STORE_FEEDS_H_

#include <optional>

#include "trefoilmill/ids.h"
#include "trefoilmill/messages.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/process/store_watcher_role.h"
#include "trefoilmill_entry/fleet_membership.h"
#include "trefoilmill_entry/peer_copies.h"
#include "trefoilmill_entry/peer_datagrams.h"
#include "trefoilmill_entry/store_sync.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// Decides whether this host watches the store, forwards its changes and
/// applies forwarded ones. Used on the event loop's thread only.
class store_feeds {
 public:
  /// `copies` learns of revisions that other hosts have.
  store_feeds(event_loop& loop,
              store_sync& store,
              const fleet_membership& fleet,
              peer_datagrams& datagrams,
              peer_copies& copies,
              telemetry& process_telemetry);

  /// Starts the regular review and the regular feeds.
  void Start();
  /// Forwards changes that the store reported, if this host watches the store:
  /// whole objects, and only what differs of those that are split into parts.
  void ForwardChanges(object_kind kind,
                      const store_sync::store_changes& changes);
  /// Applies a feed from another host.
  void OnFeed(const host_id& from, const store_feed& feed);
  /// Applies a patch from another host.
  void OnPatch(const host_id& from, const object_patch_message& message);

 private:
  /// Decides whether this host watches the store. If so, tells the other hosts
  /// what this host has in force.
  void RunHeartbeat();
  /// Makes this host watch the store or leave it to its peers.
  void ReviewWatching();
  bool is_watching() const { return watching_.value_or(false); }
  /// Sends patches of the changed objects that are split into parts. What
  /// differs too much for a datagram is left to be fetched.
  void BroadcastPatches(object_kind kind,
                        const store_sync::store_changes& changes);
  /// Sends a feed to all hosts that it concerns.
  void Broadcast(const store_feed& feed);
  /// Applies what a feed says of one kind of object.
  void ApplyFeed(const host_id& from, const store_feed& feed, object_kind kind);

  event_loop& loop_;
  store_sync& store_;
  const fleet_membership& fleet_;
  peer_datagrams& datagrams_;
  peer_copies& copies_;
  telemetry& telemetry_;
  store_watcher_role watch_duty_;
  /// Whether this host watches the store; unset until the first heartbeat.
  std::optional<bool> watching_;
  int heartbeats_ = 0;
  timer heartbeat_timer_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_STORE_FEEDS_H_
