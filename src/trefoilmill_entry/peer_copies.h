/// Copies of the platform's objects between hosts, over HTTP: a host serves
/// what it has, and fetches what it lacks of the kinds of which a peer has a
/// newer revision. This is how a host that misses a feed or a patch, or cannot
/// reach the store, catches up.
#ifndef TREFOILMILL_ENTRY_PEER_COPIES_H_
#define TREFOILMILL_ENTRY_PEER_COPIES_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "trefoilmill/entry_settings.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/version/copy_fetch_plan.h"
#include "trefoilmill_entry/fleet_membership.h"
#include "trefoilmill_entry/object_parts.h"
#include "trefoilmill_entry/part_server.h"
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
      forwarded_callback on_forwarded,
      std::mt19937_64 random);

  /// The server for other hosts' requests.
  http_server& server() { return *server_; }
  /// Starts to compare this host's revisions with those of its peers.
  void Start();
  /// A feed stated the revision of a kind that its sender has.
  void OnFed(object_kind kind, const fed_revision& latest);

 private:
  /// What is fetched of one kind.
  struct fetched_kind {
    copy_fetch_plan plan;
    /// The revisions that feeds stated, by their senders.
    std::map<socket_address, revision> fed;
    /// What pages have brought so far, on top of what this host had. Later
    /// fetches go on from it, whichever peer and revision they are of.
    std::optional<object_parts> partial;
  };
  /// A request for a copy.
  struct fetch {
    object_kind kind = object_kind::kConfiguration;
    socket_address source;
    time_point began;
  };

  peer_copies(event_loop& loop,
              const entry_settings& settings,
              store_sync& store,
              const fleet_membership& fleet,
              telemetry& process_telemetry,
              std::mt19937_64 random);

  /// Serves parts or the copy of one kind.
  void OnRequest(const http_request& request, const http_responder& responder);
  /// Logs a reply that its receiver gave up before it was written whole.
  void WatchDelivery(object_kind kind,
                     const std::string& receiver,
                     const http_responder& responder);
  /// Fetches the kinds of which a peer has had a newer revision for some time.
  void FetchNewerCopies();
  void FetchIfBehind(object_kind kind);
  /// The peers to fetch a kind from; empty if none is ahead of this host.
  std::vector<socket_address> PeersAhead(object_kind kind) const;
  void FetchParts(const fetch& asked);
  /// Fetches all objects, from a host of an earlier version.
  void FetchWhole(const fetch& asked);
  void OnPartsReply(const fetch& asked, const http_result& exchange);
  void OnPage(const fetch& asked, const parts_page& page);
  void OnWholeReply(const fetch& asked, const http_result& exchange);
  void LogFailed(const fetch& asked, std::string_view why) const;
  void LogReceived(const fetch& asked, std::size_t bytes) const;

  event_loop& loop_;
  store_sync& store_;
  const fleet_membership& fleet_;
  telemetry& telemetry_;
  std::map<object_kind, fetched_kind> fetched_kinds_;
  part_server parts_;
  http_client client_;
  std::unique_ptr<http_server> server_;
  timer check_timer_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_PEER_COPIES_H_
