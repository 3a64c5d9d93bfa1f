/// This host's membership in the fleet: carries out what `membership` decides,
/// with a datagram for each of its messages, and names the hosts that matter to
/// the other parts of the entry process.
#ifndef TREFOILMILL_ENTRY_FLEET_MEMBERSHIP_H_
#define TREFOILMILL_ENTRY_FLEET_MEMBERSHIP_H_

#include <cstddef>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "trefoilmill/entry_settings.h"
#include "trefoilmill/membership.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/process/cut_off_hosts.h"
#include "trefoilmill_entry/peer_datagrams.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// With at most this many receivers, feeds and reports also go to other zones.
inline constexpr std::size_t kMaxCrossZoneReceivers = 16;

/// Whether a member takes part in the fleet: it is alive, or suspected without
/// having been declared dead.
bool IsAlive(const member& m);

/// Whether a member can serve: it is alive and has a configuration in force.
bool IsServing(const member& m);

/// The membership of a host that knows no other yet. Fails if membership
/// rejects the settings.
result<membership> CreateMembership(const event_loop& loop,
                                    const entry_settings& settings,
                                    std::mt19937_64 random);

/// Used on the event loop's thread only.
class fleet_membership {
 public:
  /// `on_hosts_changed` is called when the list of hosts or the state of one
  /// has changed.
  fleet_membership(event_loop& loop,
                   const entry_settings& settings,
                   membership members,
                   peer_datagrams& datagrams,
                   telemetry& process_telemetry,
                   std::function<void()> on_hosts_changed);

  /// Starts to probe, and to look for other hosts at the seeds.
  void Start();
  /// Sets the hosts that announced themselves in the store.
  void SetListedHosts(std::vector<host_record> hosts);
  /// Tells the other hosts which revisions this host has in force.
  void PublishDigests(std::vector<document_digest> digests);
  /// Handles a message from a peer, and ignores types of other modules.
  void OnMessage(const host_id& from, const peer_message& message);
  /// Announces that this host takes no new work.
  void AnnounceLeaving();
  /// Announces that this host stops now.
  void AnnounceStop();

  /// This host's own record.
  const host_record& self() const { return self_; }
  /// All known hosts, including this one and dead ones.
  const std::map<host_id, member>& members() const {
    return membership_.members();
  }
  /// Which hosts do not reach the endpoints.
  cut_off_hosts& cut_off() { return cut_off_; }
  const cut_off_hosts& cut_off() const { return cut_off_; }

  /// The hosts named to callers, chosen from those that can serve and reach the
  /// endpoints or, if none does, from all that can serve.
  std::vector<host_record> EntryHosts() const;
  /// The hosts that would be named to callers if all reached the endpoints. A
  /// host that is cut off keeps its share of what all hosts have in common.
  std::vector<host_record> EntryHostsIfAllReach() const;
  /// The other hosts that callers' requests can be passed on to: those named to
  /// callers that reach the endpoints or, if there are none, those that do and
  /// are leaving.
  std::vector<host_record> ForwardingHosts() const;
  /// Hosts that may be sending to endpoints, including those known to be dead.
  std::vector<host_record> KnownHosts() const;
  /// The other hosts that this host's news concerns: those alive in its zone;
  /// in a small fleet, in all zones.
  std::vector<host_record> NearbyHosts() const;

 private:
  void RunActions(const membership::actions& actions);
  void RunAction(const membership::send& action);
  void RunAction(const membership::connect& action);
  void RunAction(const membership::member_changed& action);
  void RunAction(const membership::declared_dead& action);
  void RunAction(const membership::wake& action);
  /// Sends a hello to the seeds, repeatedly until another host is known.
  void SendHelloToSeeds();

  event_loop& loop_;
  peer_datagrams& datagrams_;
  telemetry& telemetry_;
  std::function<void()> on_hosts_changed_;
  host_record self_;
  std::vector<socket_address> seeds_;
  membership membership_;
  cut_off_hosts cut_off_;
  timer membership_timer_;
  timer hello_timer_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_FLEET_MEMBERSHIP_H_
