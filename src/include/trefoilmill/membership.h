/// Group membership and failure detection between the daemons, based on SWIM.
///
/// In each probe interval a host pings a bounded number of peers, taken from a
/// random permutation of all reachable peers that is reshuffled when it is used
/// up. A peer that does not answer is probed indirectly through other hosts,
/// then marked suspect, then declared dead unless it refutes the suspicion with
/// a higher incarnation number. State changes are piggybacked on pings and
/// acks. The cost per host does not depend on the size of the fleet.
///
/// This module does no I/O: its user carries out the returned actions, keeps
/// the links between hosts, opens one on `connect` and may close idle ones. See
/// docs/design/membership.md.
#ifndef TREFOILMILL_MEMBERSHIP_H_
#define TREFOILMILL_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/messages.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// What this host knows about one member: another host or itself.
struct member {
  host_record host;
  incarnation life;
  member_state state = member_state::kDead;
  /// Version of the host's own report; increases within one incarnation.
  std::uint64_t report = 0;
  /// Document revisions in force on the host, by its latest known report.
  std::vector<document_digest> documents;
  /// Whether the host has been leaving at any time in this incarnation, also if
  /// it has become suspect since.
  bool leaving = false;
};

/// Results of this host's recent direct probes. Only a ping with its ack
/// counts: a received message does not show that the peer can be reached.
struct probe_results {
  host_id self;
  /// By peer, whether it answered its latest probe. Holds only peers probed
  /// within ProbeResultLifetime().
  std::map<host_id, bool> answered;
  /// Hosts on the platform's list that are not known as reachable members.
  std::set<host_id> unreachable;
};

/// A lower bound on the share of `hosts` that this host can reach, 0..1; 0 if
/// `hosts` is empty. It is the greater of two: the share that answered, with
/// this host counted as answering; and the lower confidence bound of the random
/// sample that was probed, for fleets too large to be probed completely within
/// ProbeResultLifetime().
double MinReachableShare(const probe_results& results,
                         const std::set<host_id>& hosts);

/// How long a probe result counts in `probe_results`. A host that is cut off
/// from the others detects it within this time.
duration ProbeResultLifetime(const membership_config& config);

/// Upper bound on the time from a host's failure until its peers declare it
/// dead.
duration FailureDetectionTime(const membership_config& config);

/// The interval between one host's reads of the platform's host list. Grows
/// with the fleet so that the read rate of all hosts together does not.
duration HostListInterval(std::size_t fleet_size);

/// One host's view of the fleet: a state machine that takes events and returns
/// actions.
class membership {
 public:
  /// @name Actions
  /// @{
  /// Send `message`, or drop it if there is no link to the host.
  struct send {
    host_id to;
    peer_message message;
  };
  /// Open a link unless there is one, then call LinkUp() or LinkLost().
  struct connect {
    host_record to;
  };
  /// A member's state or host record changed.
  struct member_changed {
    member now;
    /// Empty for a new member.
    std::optional<member_state> before;
  };
  /// Another host has declared this host dead, and this host has refuted it.
  /// Other hosts may have owned its endpoints meanwhile (see
  /// ownership_tracker::Restart()).
  struct declared_dead {};
  /// Call Tick() no later than `at`. Replaces earlier wake actions.
  struct wake {
    time_point at;
  };
  using action =
      std::variant<send, connect, member_changed, declared_dead, wake>;
  using actions = std::vector<action>;
  /// @}

  /// `incarnation_number` must exceed the incarnation of every earlier process
  /// of this host; the wall-clock time at start in microseconds does. Fails
  /// with kBadRequest if an interval or timeout of `config` is not positive or
  /// `self` has no id.
  static result<membership> Create(time_point now,
                                   host_record self,
                                   incarnation incarnation_number,
                                   const membership_config& config,
                                   std::mt19937_64 random);

  /// @name Events
  /// @{
  /// Handles the timers that are due. A gap of more than one probe interval
  /// since the last call counts as a pause of this process, and no peer is
  /// declared dead because of it.
  actions Tick(time_point now);
  /// Replaces the platform's host list.
  actions SetHostList(time_point now, std::vector<host_record> listed);
  /// Handles a message from a peer and ignores types of other modules. The
  /// document digests in pings must be passed to document_sync as well.
  actions Receive(time_point now,
                  const host_id& from,
                  const peer_message& message);
  /// A link was opened by either side. Returns the hello to send on it, in
  /// which the caller of this function fills in the organisation.
  actions LinkUp(time_point now, const host_id& peer);
  /// A link broke or could not be opened; a peer thought reachable is probed
  /// at once. For an idle link closed on purpose call LinkClosed() instead.
  actions LinkLost(time_point now, const host_id& peer);
  /// Either side closed an idle link on purpose.
  void LinkClosed(const host_id& peer) { links_.erase(peer); }
  /// Sets the document revisions in force on this host, which it reports to
  /// the other hosts.
  actions SetDocuments(time_point now, std::vector<document_digest> documents);
  /// Replaces the settings. Timers that are already set stay.
  void SetConfig(const membership_config& config);
  /// Announces that this host takes no new work from now on. Final.
  actions Leave(time_point now);
  /// Announces that this leaving host has no request in flight at any endpoint
  /// and will send none, so that the new owners need not wait for it.
  actions Release(time_point now);
  /// Announces that this host stops. Tick() does nothing afterwards.
  actions Stop(time_point now);
  /// @}

  /// @name View
  /// @{
  /// All known hosts, including this one and dead ones.
  const std::map<host_id, member>& members() const { return members_; }
  /// Hosts that take new work, ordered by id: alive or suspect, and not leaving
  /// by their own report or by the platform's list. Includes this host under
  /// the same conditions.
  std::vector<host_record> LiveHosts() const;
  /// Hosts that answer requests for their state: alive, suspect or leaving.
  std::vector<host_record> ReachableHosts() const;
  /// The platform's host list as last set.
  const std::vector<host_record>& host_list() const { return listed_; }
  /// The probe results that are still valid at `now`.
  probe_results ProbeResults(time_point now) const;
  /// How many reachable hosts, including this one, report `digest` or a later
  /// revision of the document as in force.
  std::size_t CountHostsInForce(const document_digest& digest) const;
  /// This host's own record, for hello and announce messages.
  member_update SelfUpdate() const;
  /// @}

 private:
  /// A probe that awaits its ack.
  struct probe {
    host_id target;
    /// When other peers are asked to probe the target.
    time_point indirect_at;
    /// When the probe fails.
    time_point fail_at;
    /// Whether the ping was sent; it waits for the link otherwise.
    bool pinged = false;
    /// Whether the direct probe has timed out or lost its link.
    bool indirect = false;
    /// The host that requested this probe, and its sequence number, which the
    /// forwarded ack carries.
    std::optional<host_id> on_behalf_of;
    std::uint64_t requester_sequence = 0;
  };
  /// The result of the latest direct probe of a peer.
  struct probe_outcome {
    time_point at;
    bool answered = false;
  };

  membership(time_point now,
             host_record self,
             incarnation incarnation_number,
             const membership_config& config,
             std::mt19937_64 random);

  void Handle(time_point now,
              const host_id& from,
              const hello_message& m,
              actions& out);
  void Handle(time_point now,
              const host_id& from,
              const ping_message& m,
              actions& out);
  void Handle(time_point now,
              const host_id& from,
              const ack_message& m,
              actions& out);
  void Handle(time_point now,
              const host_id& from,
              const ping_request_message& m,
              actions& out);
  void Handle(time_point now,
              const host_id& from,
              const announce_message& m,
              actions& out);

  /// Merges gossip of any host into the member table.
  void MergeUpdates(time_point now,
                    const std::vector<member_update>& updates,
                    actions& out);
  void MergeUpdate(time_point now, const member_update& update, actions& out);
  /// Takes over a newer report of the same incarnation.
  void MergeReport(const member_update& update);
  /// Raises the known document revisions of `from` to the ones it sent.
  void MergeDocuments(const host_id& from,
                      const std::vector<document_digest>& documents);
  /// Answers a claim about this host, with a higher incarnation if needed.
  void Refute(const member_update& claim, actions& out);
  /// Stores `next`, sets its timers and queues it for gossip.
  void ApplyUpdate(time_point now, const member_update& next, actions& out);
  /// Records a state that this host itself concluded for a peer.
  void SetMemberState(time_point now,
                      const host_id& id,
                      member_state state,
                      actions& out);
  /// Sends this host's record to a few random peers at once.
  void AnnounceSelf(actions& out);
  /// Changes and announces this host's state; it counts as leaving from now on.
  void SetOwnState(member_state state, actions& out);
  /// Sends all reachable members to a newly linked peer, in chunks.
  void SendTable(time_point now, const host_id& to, actions& out);
  void UpdateUnreachable(const host_id& id);

  void StartRound(time_point now, actions& out);
  void StartProbe(time_point now, const host_id& target, actions& out);
  void StartProbe(time_point now, probe p, actions& out);
  void SendPing(std::uint64_t sequence, probe& p, actions& out);
  void StartIndirectProbe(time_point now,
                          std::uint64_t sequence,
                          probe& p,
                          actions& out);
  void CheckProbes(time_point now, actions& out);
  void CheckSuspicions(time_point now, actions& out);
  /// Cancels own probes and restarts suspicion timeouts.
  void ResetTimersAfterPause(time_point now);
  /// Removes dead and stopped members that are not on the platform's list,
  /// after kDeadMemberRetention.
  void RemoveExpiredMembers(time_point now);
  void ShuffleProbeOrder();
  /// The next reachable peer in probe order, or this host if there is none.
  host_id NextTarget();
  /// At most `count` distinct reachable peers with a link, without `except`.
  std::vector<host_id> RandomPeers(std::size_t count, const host_id& except);
  std::size_t ProbesPerInterval() const;
  /// How many unreachable hosts to probe in this round.
  std::size_t UnreachableProbeCount();
  /// What `to` must be told so that it can refute it: its record here, unless
  /// that is alive. Empty if there is nothing to refute.
  std::vector<member_update> ClaimsToRefute(const host_id& to) const;
  /// The updates for the next message to `to`; counts their transmissions.
  std::vector<member_update> DequeueUpdates(const host_id& to);
  /// Queues a member's record for gossip to the whole fleet.
  void QueueUpdate(const host_id& id);
  /// Queues a member's record for a few more transmissions.
  void RequeueUpdate(const host_id& id);
  void AddWake(actions& out) const;
  /// From the member table or the host list; null if the host is on neither.
  const host_record* FindHostRecord(const host_id& id) const;

  host_id self_;
  membership_config config_;
  std::mt19937_64 random_;
  std::map<host_id, member> members_;
  std::vector<host_record> listed_;
  std::set<host_id> listed_ids_;
  /// Hosts on the platform's list that are not reachable members.
  std::set<host_id> unreachable_;
  /// Peers with an open link.
  std::set<host_id> links_;
  std::vector<document_digest> documents_;

  /// Probes awaiting an ack, by sequence number.
  std::map<std::uint64_t, probe> probes_;
  std::uint64_t next_sequence_ = 1;
  /// Random permutation of the reachable peers, and the next index in it.
  std::vector<host_id> probe_order_;
  std::size_t probe_position_ = 0;
  std::uint64_t rounds_started_ = 0;
  time_point next_round_;
  time_point last_tick_;
  /// Set only in fleets above kMaxSmallFleetSize.
  std::optional<time_point> last_table_sent_at_;

  /// Gossip queue: how many more times each changed member is transmitted.
  std::map<host_id, int> remaining_transmissions_;
  /// When each suspect is declared dead unless it refutes the suspicion.
  std::map<host_id, time_point> suspicions_;
  std::map<host_id, probe_outcome> probe_outcomes_;
  /// When each member that is not reachable died or stopped.
  std::map<host_id, time_point> unreachable_since_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_MEMBERSHIP_H_
