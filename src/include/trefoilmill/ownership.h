/// Assigns endpoints to owner hosts and tracks when a host can rely on being
/// the only owner. See docs/design/ownership.md for the safety argument.
#ifndef TREFOILMILL_OWNERSHIP_H_
#define TREFOILMILL_OWNERSHIP_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/membership.h"
#include "trefoilmill/ownership_standing.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// The owner of every endpoint in one membership view. Equal views produce
/// equal maps on every host, regardless of the order of hosts and endpoints.
class ownership_map {
 public:
  /// Creates an empty map.
  ownership_map() = default;

  /// Assigns endpoints by rendezvous hashing with bounded loads among the live
  /// hosts of the endpoint's own availability zone. Endpoints of one service in
  /// one zone share an owner where the bound allows. A zone without live hosts
  /// is served by the next zone, in the deployment's order, that has one.
  /// `live` are the hosts that accept new work. Endpoints and hosts of the
  /// zones in `zones_out` are excluded.
  static ownership_map Build(const std::vector<host_record>& live,
                             const std::set<zone_id>& zones_out,
                             const deployment& config);

  /// Returns nullopt if the endpoint is unknown, its zone is out, or no host is
  /// live.
  std::optional<host_id> OwnerOf(const endpoint_id& endpoint) const;
  /// Returns the endpoints owned by `host`, ordered by id.
  std::vector<endpoint_id> EndpointsOf(const host_id& host) const;
  /// Maps each endpoint to its owner.
  const std::map<endpoint_id, host_id>& owners() const { return owners_; }

 private:
  std::map<endpoint_id, host_id> owners_;
};

/// Time limits that keep two hosts from being certain owners of one endpoint.
/// See docs/design/ownership.md.
struct ownership_timing {
  /// Longest interval between two heartbeats that does not restart the quiet
  /// periods.
  duration max_heartbeat_gap;
  /// Upper bound on how long two hosts that both hear a majority may have
  /// different views.
  duration view_convergence;
  /// How long a host must own an endpoint without interruption before its
  /// ownership is certain: `view_convergence` plus the longest request
  /// deadline, after which the requests of a previous owner have ended.
  duration quiet_period;
};

/// Derives the ownership time limits from the membership settings and the
/// longest request deadline.
ownership_timing OwnershipTiming(duration max_deadline,
                                 const membership_config& config);

/// Tracks one host's ownership of every endpoint.
///
/// Ownership of an endpoint is certain while the host hears from more than half
/// of the voters, has owned the endpoint without interruption for the quiet
/// period, and its event loop sends heartbeats without gaps.
class ownership_tracker {
 public:
  /// Starts without a map and voters: no endpoint is owned.
  ownership_tracker(time_point now,
                    host_id self,
                    const ownership_timing& timing);

  /// @name Events
  /// @{
  /// Sets the owners in the current view.
  void SetOwners(time_point now, const ownership_map& map);
  /// Sets the voters: the hosts in the platform's list, except leaving hosts
  /// and hosts of zones that are out. A majority of the previous voter set is
  /// required as well for one quiet period. If hosts that are still listed lost
  /// their vote because of `zones_out`, that majority must be heard throughout
  /// the period before the previous set is dropped.
  void SetVoters(time_point now,
                 const std::vector<host_record>& listed,
                 const std::set<zone_id>& zones_out);
  /// Records that the event loop runs and which hosts answered recently. Must
  /// be called at least twice within `max_heartbeat_gap`.
  void Heartbeat(time_point now, const probe_results& heard);
  /// Records that `host` is leaving and will never again have requests in
  /// flight (member_state::kReleased). The next owner of an endpoint that
  /// `host` certainly owned waits for `view_convergence` only.
  void MarkReleased(const host_id& host);
  /// Restarts all quiet periods, for example because other hosts declared this
  /// host dead and may have reassigned its endpoints.
  void RestartQuietPeriods(time_point now);
  /// Applies changed settings.
  void SetTiming(const ownership_timing& timing) { timing_ = timing; }
  /// @}

  /// Returns the ownership of `endpoint` at `now`. Must be queried right before
  /// each send, because the result becomes stale as time passes.
  ownership_standing StandingOf(time_point now,
                                const endpoint_id& endpoint) const;
  /// Whether more than half of every voter set still required was heard at the
  /// last heartbeat.
  bool HasMajority() const { return has_majority_; }
  /// When the quiet periods were last restarted.
  time_point stable_since() const { return stable_since_; }

 private:
  /// The owner of an endpoint in this host's view.
  struct assignment {
    /// nullopt while the endpoint is not in the map, for example because its
    /// zone is out.
    std::optional<host_id> owner;
    /// When the owner last changed in this host's view.
    time_point since;
    /// Whether the previous assignment had lasted for the quiet period, so that
    /// `predecessor` was the only owner.
    bool predecessor_certain = false;
    /// The previous owner; nullopt if there was none.
    std::optional<host_id> predecessor;
  };
  /// Hosts of which a majority must be heard. A replaced set remains required
  /// until it expires.
  struct voter_set {
    std::set<host_id> voters;
    /// When another set replaced this one; nullopt for the current set.
    std::optional<time_point> replaced_at;
    /// Whether hosts that are still listed lost their vote when this set was
    /// replaced. If so, a majority of it must be heard throughout a quiet
    /// period before it expires.
    bool needs_majority = false;
  };

  /// Starts a new assignment if the owner changed.
  void SetOwner(time_point now,
                const endpoint_id& endpoint,
                const std::optional<host_id>& owner);
  /// Makes `next` the current voter set.
  void ReplaceVoters(time_point now, voter_set next);
  /// Whether a majority of a replaced set is no longer required.
  bool IsExpired(time_point now, const voter_set& set) const;
  /// Whether more than half of every required voter set is heard.
  bool HearsMajority(const probe_results& heard) const;
  /// How long `current` has lasted without a restart of the quiet periods.
  duration UninterruptedTime(time_point now, const assignment& current) const;
  /// Whether the previous owner certainly has no requests in flight.
  bool PredecessorReleased(const assignment& current) const;

  host_id self_;
  ownership_timing timing_;
  std::map<endpoint_id, assignment> assignments_;
  std::set<host_id> released_hosts_;
  std::set<host_id> listed_hosts_;
  /// Required voter sets; the last one is current.
  std::vector<voter_set> voter_sets_;
  time_point stable_since_;
  time_point last_heartbeat_;
  bool has_majority_ = false;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_OWNERSHIP_H_
