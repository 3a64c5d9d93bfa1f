/// The other hosts: who is alive, what they have in force, and copies of that
/// when it is newer than what the store told this host.
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
#include "trefoilmill/process/watch_duty.h"
#include "trefoilmill_entry/store_sync.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

class peer_task {
 public:
  static result<std::unique_ptr<peer_task>> Create(
      event_loop& loop,
      const entry_settings& settings,
      store_task& store,
      placement& places,
      telemetry& trace,
      std::function<void()> on_hosts_changed,
      std::mt19937_64 random);
  ~peer_task();

  /// The hosts that announced themselves in the store.
  void SetListed(std::vector<host_record> hosts);
  /// Tells the others what this host has in force.
  void PublishDigests();
  /// Passes what the store told on to the hosts of the zone, while this host
  /// watches the store.
  void Feed(object_kind kind, revision from, const object_changes& changes);
  /// Tells the others that this host takes no new work.
  void Leave();
  /// Tells the others that this host ends now.
  void Stop();

  /// The hosts that callers are told of, out of those that are alive with a
  /// configuration in force.
  std::vector<host_record> EntryHosts() const;
  /// Hosts that may be sending to endpoints, known dead ones included.
  std::vector<host_record> KnownHosts() const;
  const host_record& self() const { return self_; }

 private:
  peer_task(event_loop& loop,
            const entry_settings& settings,
            store_task& store,
            placement& places,
            telemetry& trace,
            std::function<void()> on_hosts_changed,
            host_record self,
            membership members);

  void Apply(const membership::actions& actions);
  void Do(const membership::send& action);
  void Do(const membership::connect& action);
  void Do(const membership::changed& action);
  void Do(const membership::declared_dead& action);
  void Do(const membership::wake& action);
  void OnDatagram(const socket_address& from, const std::string& bytes);
  void LearnAddresses(const peer_message& message);
  void OnCopyRequest(const http_request& request, const http_responder& reply);
  void GreetSeeds();
  void OnFeed(const host_id& from, const store_feed& feed);
  /// Regular sign of a host that watches the store; also decides whether this
  /// host is to watch.
  void Beat();
  bool is_watching() const { return watching_.value_or(false); }
  void SendToZone(const peer_message& message);
  void SendTo(const host_record& host, const std::string& frame);
  /// Tells of endpoints that are not well.
  void Report();
  std::vector<document_digest> Digests() const;
  /// Fetches what some peer has and this host lacks.
  void CatchUp();
  void Fetch(object_kind kind, const socket_address& from);

  event_loop& loop_;
  store_task& store_;
  placement& places_;
  telemetry& trace_;
  std::function<void()> on_hosts_changed_;
  host_record self_;
  std::vector<socket_address> seeds_;
  membership members_;
  std::map<host_id, socket_address> addresses_;
  std::map<socket_address, host_id> ids_;
  watch_duty duty_;
  /// Whether this host watches the store; unset until the first beat.
  std::optional<bool> watching_;
  int beats_ = 0;
  /// What the zone's watchers have, and where.
  std::map<object_kind, std::pair<revision, socket_address>> fed_;
  /// Since when a peer was seen ahead of this host.
  std::map<object_kind, time_point> behind_since_;
  http_client client_;
  std::unique_ptr<datagram_socket> socket_;
  std::unique_ptr<http_server> copies_;
  timer wake_;
  timer greet_;
  timer catch_up_;
  timer beat_;
  timer report_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_PEER_GOSSIP_H_
