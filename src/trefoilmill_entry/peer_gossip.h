/// Communication with the other hosts. Connects the parts that do it, each with
/// one job:
///
/// * peer_datagrams: the socket, and who sends from which address;
/// * fleet_membership: which hosts there are and what they have in force;
/// * store_feeds: changes that hosts which watch the store forward;
/// * peer_copies: objects of which a peer has a newer revision;
/// * trouble_reports: endpoints that are slow, failing or leaving;
/// * quarantine_sync: requests under which endpoints have ended;
/// * quota_sync: permits of organisations' quotas;
/// * demand_sync: what organisations ask, while endpoints are short;
/// * rollout_sync: roll-outs of new versions of services' software.
#ifndef TREFOILMILL_ENTRY_PEER_GOSSIP_H_
#define TREFOILMILL_ENTRY_PEER_GOSSIP_H_

#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "trefoilmill/entry_settings.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill_entry/demand_sync.h"
#include "trefoilmill_entry/fleet_membership.h"
#include "trefoilmill_entry/peer_copies.h"
#include "trefoilmill_entry/peer_datagrams.h"
#include "trefoilmill_entry/quarantine_sync.h"
#include "trefoilmill_entry/quota_sync.h"
#include "trefoilmill_entry/request_forwarder.h"
#include "trefoilmill_entry/rollout_sync.h"
#include "trefoilmill_entry/store_feeds.h"
#include "trefoilmill_entry/store_sync.h"
#include "trefoilmill_entry/telemetry.h"
#include "trefoilmill_entry/trouble_reports.h"

namespace trefoilmill::entry {

/// Uses UDP datagrams for all but copies, which are served and fetched over
/// HTTP. Used on the event loop's thread only.
class peer_gossip {
 public:
  struct callbacks {
    /// The list of hosts or the state of one has changed.
    std::function<void()> on_hosts_changed;
    /// A peer reported that an endpoint is leaving.
    trouble_reports::departure_callback on_departure;
    /// Another host passes a caller's request on to this one.
    peer_copies::forwarded_callback on_forwarded;
    /// Other hosts replied to requests for permits.
    std::function<void()> on_permits_lent;
  };

  /// Binds the UDP and the TCP port of `settings.peers`. Fails if membership
  /// rejects its settings or a port cannot be bound.
  static result<std::unique_ptr<peer_gossip>> Create(
      event_loop& loop,
      const entry_settings& settings,
      store_sync& store,
      shared_request_state& shared_state,
      telemetry& process_telemetry,
      callbacks on_event,
      std::mt19937_64 random);
  ~peer_gossip();

  /// Sets the hosts that announced themselves in the store.
  void SetListedHosts(std::vector<host_record> hosts);
  /// Tells the other hosts which revisions this host has in force.
  void PublishDigests();
  /// Forwards changes that the store reported to the hosts of the zone, if this
  /// host watches the store.
  void ForwardStoreChanges(object_kind kind,
                           const store_sync::store_changes& changes);
  /// Tells the other hosts that an endpoint is leaving.
  void ReportDeparture(const endpoint_departure& departure);
  /// Tells other hosts under which requests endpoints were found to have ended.
  void ShareQuarantineNews();
  /// The same soon, together with what else there is by then.
  void ScheduleQuarantineNews();
  /// The part that carries permits of quotas.
  quota_sync& quotas() { return *quotas_; }
  /// The stored orders of roll-outs have changed.
  void OnRolloutOrdersChanged();
  /// To be called several times a second.
  void RunHousekeeping();
  /// Announces that this host takes no new work.
  void AnnounceLeaving();
  /// Announces that this host stops now.
  void AnnounceStop();

  /// The hosts named to callers, chosen from those that are alive and have a
  /// configuration in force.
  std::vector<host_record> EntryHosts() const;
  /// The hosts among which shares are divided: those named to callers, and
  /// those that are not because they do not reach the endpoints.
  std::vector<host_record> SharingHosts() const;
  /// Access to the other hosts for requests that are passed on.
  forwarding_peers ForwardingPeers();
  /// Hosts that may be sending to endpoints, including those known to be dead.
  std::vector<host_record> KnownHosts() const;
  /// The server for other hosts' requests.
  http_server& server();
  /// This host's own record.
  const host_record& self() const { return fleet_->self(); }

 private:
  struct dispatcher;

  peer_gossip(const event_loop& loop, const store_sync& store);
  /// Starts the timers of all parts and looks for other hosts.
  void Start();
  void OnMessage(const host_id& from, const peer_message& message);

  const event_loop& loop_;
  const store_sync& store_;
  std::unique_ptr<peer_datagrams> datagrams_;
  std::unique_ptr<fleet_membership> fleet_;
  std::unique_ptr<peer_copies> copies_;
  std::unique_ptr<store_feeds> feeds_;
  std::unique_ptr<trouble_reports> troubles_;
  std::unique_ptr<quarantine_sync> quarantine_;
  std::unique_ptr<quota_sync> quotas_;
  std::unique_ptr<demand_sync> demands_;
  std::unique_ptr<rollout_sync> rollouts_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_PEER_GOSSIP_H_
