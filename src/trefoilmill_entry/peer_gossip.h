/// Communication with the other hosts: membership, changes that hosts which
/// watch the store forward, reports on endpoints in trouble, and copies of
/// objects where a peer's are newer than this host's.
#ifndef TREFOILMILL_ENTRY_PEER_GOSSIP_H_
#define TREFOILMILL_ENTRY_PEER_GOSSIP_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "trefoilmill/entry_settings.h"
#include "trefoilmill/membership.h"
#include "trefoilmill/net/datagram_socket.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/process/store_watcher_role.h"
#include "trefoilmill_entry/store_sync.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// Uses UDP datagrams for all but copies, which are served and fetched over
/// HTTP. Used on the event loop's thread only.
class peer_gossip {
 public:
  struct callbacks {
    /// The list of hosts or the state of one has changed.
    std::function<void()> on_hosts_changed;
    /// A peer reported that an endpoint is leaving.
    std::function<void(const host_id& from, const endpoint_departure&)>
        on_departure;
  };

  /// Binds the UDP and the TCP port of `settings.peers`. Fails if membership
  /// rejects its settings or a port cannot be bound.
  static result<std::unique_ptr<peer_gossip>> Create(
      event_loop& loop,
      const entry_settings& settings,
      store_sync& store,
      endpoint_selector& endpoint_placement,
      telemetry& process_telemetry,
      callbacks on_event,
      std::mt19937_64 random);
  ~peer_gossip();

  /// Sets the hosts that announced themselves in the store.
  void SetListedHosts(std::vector<host_record> hosts);
  /// Tells the other hosts which revisions this host has in force.
  void PublishDigests();
  /// Forwards changes that the store reported to the hosts of the zone, if this
  /// host watches the store. Changes follow revision `from`.
  void ForwardStoreChanges(object_kind kind,
                           revision from,
                           const object_changes& changes);
  /// Tells the other hosts that an endpoint is leaving.
  void ReportDeparture(const endpoint_departure& departure);
  /// Announces that this host takes no new work.
  void AnnounceLeaving();
  /// Announces that this host stops now.
  void AnnounceStop();

  /// The hosts named to callers, chosen from those that are alive and have a
  /// configuration in force.
  std::vector<host_record> EntryHosts() const;
  /// Hosts that may be sending to endpoints, including those known to be dead.
  std::vector<host_record> KnownHosts() const;
  /// This host's own record.
  const host_record& self() const { return self_; }

 private:
  peer_gossip(event_loop& loop,
              const entry_settings& settings,
              store_sync& store,
              endpoint_selector& endpoint_placement,
              telemetry& process_telemetry,
              callbacks on_event,
              host_record self,
              membership members);

  void RunActions(const membership::actions& actions);
  void RunAction(const membership::send& action);
  void RunAction(const membership::connect& action);
  void RunAction(const membership::member_changed& action);
  void RunAction(const membership::declared_dead& action);
  void RunAction(const membership::wake& action);
  void OnDatagram(const socket_address& from, const std::string& bytes);
  void RecordAddresses(const peer_message& message);
  void OnCopyRequest(const http_request& request,
                     const http_responder& responder);
  /// Sends a hello to the seeds, repeatedly until another host is known.
  void SendHelloToSeeds();
  void OnStoreFeed(const host_id& from, const store_feed& feed);
  /// Decides whether this host watches the store. If so, tells the zone what
  /// this host has in force.
  void RunHeartbeat();
  bool is_watching() const { return watching_.value_or(false); }
  /// Sends to all reachable hosts of the zone; in a small fleet, of all zones.
  void Broadcast(const peer_message& message);
  void SendFrame(const host_record& host, const std::string& frame);
  /// Reports endpoints in trouble, and those that are leaving, to the hosts
  /// named to callers.
  void SendTroubleReports();
  std::vector<document_digest> Digests() const;
  /// Fetches copies of the kinds of which a peer has a newer revision.
  void FetchNewerCopies();
  void FetchCopy(object_kind kind, const socket_address& from);

  event_loop& loop_;
  store_sync& store_;
  endpoint_selector& placement_;
  telemetry& telemetry_;
  callbacks callbacks_;
  host_record self_;
  std::vector<socket_address> seeds_;
  membership membership_;
  std::map<host_id, socket_address> addresses_by_id_;
  std::map<socket_address, host_id> ids_by_address_;
  store_watcher_role watch_duty_;
  /// Whether this host watches the store; unset until the first heartbeat.
  std::optional<bool> watching_;
  int heartbeats_ = 0;
  /// Endpoints known to be leaving, and how often to report each again.
  std::vector<std::pair<endpoint_departure, int>> departures_;
  /// The revision in the latest feed of each kind, and the sender's address.
  std::map<object_kind, std::pair<revision, socket_address>> latest_feeds_;
  /// Since when a peer has been ahead of this host, or when a copy was last
  /// requested.
  std::map<object_kind, time_point> behind_since_;
  http_client copy_client_;
  std::unique_ptr<datagram_socket> socket_;
  std::unique_ptr<http_server> copy_server_;
  timer membership_timer_;
  timer hello_timer_;
  timer copy_check_timer_;
  timer heartbeat_timer_;
  timer report_timer_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_PEER_GOSSIP_H_
