/// Copies of the platform's objects between hosts, over HTTP: a host serves
/// what it has, and fetches the kinds of which a peer has a newer revision.
/// This is how a host that misses a feed, or cannot reach the store, catches
/// up.
#ifndef TREFOILMILL_ENTRY_PEER_COPIES_H_
#define TREFOILMILL_ENTRY_PEER_COPIES_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "trefoilmill/entry_settings.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill_entry/fleet_membership.h"
#include "trefoilmill_entry/request_forwarder.h"
#include "trefoilmill_entry/store_sync.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// Used on the event loop's thread only.
class peer_copies {
 public:
  /// A revision of one kind of object, and a host that has it.
  struct fed_revision {
    revision at;
    socket_address source;
  };

  /// Called with a request that another host passed on.
  using forwarded_callback =
      std::function<void(http_request, const http_responder&, forwarded_mark)>;

  /// Binds the TCP port of `settings.peers`; fails if that is not possible.
  /// `on_forwarded` gets callers' requests that other hosts pass on.
  static result<std::unique_ptr<peer_copies>> Listen(
      event_loop& loop,
      const entry_settings& settings,
      store_sync& store,
      const fleet_membership& fleet,
      telemetry& process_telemetry,
      forwarded_callback on_forwarded);

  /// The server for other hosts' requests.
  http_server& server() { return *server_; }
  /// Starts to compare this host's revisions with those of its peers.
  void Start();
  /// A feed stated the revision of a kind that its sender has. The sender is
  /// asked first if this host does not get there by itself.
  void OnFed(object_kind kind, fed_revision latest);

 private:
  peer_copies(event_loop& loop,
              const entry_settings& settings,
              store_sync& store,
              const fleet_membership& fleet,
              telemetry& process_telemetry);

  /// A request for a copy.
  struct fetch {
    socket_address source;
    time_point began;
  };

  /// Serves the copy of one kind.
  void OnRequest(const http_request& request, const http_responder& responder);
  /// Logs a copy that its receiver gave up before it was written whole.
  void WatchDelivery(object_kind kind,
                     const std::string& receiver,
                     const http_responder& responder);
  /// Fetches the kinds of which a peer has had a newer revision for some time.
  void FetchNewerCopies();
  void FetchIfBehind(object_kind kind);
  /// The peers to fetch a kind from; empty if none is ahead of this host.
  std::vector<socket_address> PeersAhead(object_kind kind) const;
  void FetchCopy(object_kind kind, const socket_address& from);
  /// Applies a fetched copy, or logs why there is none.
  void OnFetched(object_kind kind,
                 const fetch& asked,
                 const http_result& exchange);

  event_loop& loop_;
  store_sync& store_;
  const fleet_membership& fleet_;
  telemetry& telemetry_;
  /// What the latest feed of each kind stated.
  std::map<object_kind, fed_revision> latest_feeds_;
  /// Since when a peer has been ahead of this host, or when a copy was last
  /// requested.
  std::map<object_kind, time_point> behind_since_;
  http_client client_;
  std::unique_ptr<http_server> server_;
  timer check_timer_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_PEER_COPIES_H_
