/// Selects the endpoint for a sub-request, based on the platform's
/// announcements and on this host's own observations of each endpoint: latency
/// and failure rate, the number of requests in flight, and the age of the
/// oldest of them.
///
/// The selection has to handle five kinds of trouble: an endpoint that pauses,
/// answering nothing for a fraction of a second while requests wait; a
/// straggler, which is several times slower for seconds; a grey failure, in
/// which an endpoint fails part of its requests while it reports to be healthy;
/// an endpoint that states a request limit; and an endpoint that has become
/// unreachable.
#ifndef TREFOILMILL_PROCESS_ENDPOINT_SELECTOR_H_
#define TREFOILMILL_PROCESS_ENDPOINT_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/process/endpoint_crashes.h"
#include "trefoilmill/process/endpoint_reach.h"
#include "trefoilmill/process/endpoint_registry.h"
#include "trefoilmill/process/request_limits.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Result of a send, as evidence of the endpoint's health.
enum class send_outcome {
  kSucceeded,    ///< A valid reply arrived.
  kNotExecuted,  ///< The endpoint refused the request without running it.
  kFailed,       ///< An error reply, a broken connection or a malformed reply.
  kTimedOut,     ///< No reply arrived before the request was abandoned.
};

/// Report on an unhealthy endpoint that one host sends to the others.
struct endpoint_health_report {
  endpoint_id endpoint;
  /// Latency relative to the expected one, in thousandths of a power of two.
  std::int32_t slowdown_milli = 0;
  /// Fraction of sends that failed, in thousandths.
  std::int32_t failure_rate_milli = 0;
};

/// Selects endpoints at random, weighted by a cost that is computed from the
/// health and the load of each endpoint.
class endpoint_selector {
 public:
  /// @name Results of Select()
  /// @{

  /// The endpoint to send to.
  struct selected {
    endpoint_id endpoint;
    /// Start time of its instance, see endpoint_record.
    std::uint64_t started_ms = 0;
  };
  /// There are usable endpoints, but none with an idle connection or, for a
  /// hedge, none of sufficiently low cost and without a request limit.
  struct no_capacity {};
  /// No endpoint of the service is usable at present, apart from those that
  /// were excluded.
  struct no_usable_endpoint {
    /// At least one would be, but for the request limit that it states.
    bool limited = false;
  };
  using selection = std::variant<selected, no_capacity, no_usable_endpoint>;
  /// @}

  /// Kind of send for which an endpoint is selected.
  enum class purpose {
    kFirst,  ///< First send of a sub-request, or a retry after a failure.
    kHedge,  ///< Hedge; useful only if the endpoint is likely to answer soon.
  };

  /// `zone` is the availability zone of this host; `rng` draws the endpoints.
  endpoint_selector(zone_id zone, std::mt19937_64 rng);

  /// The availability zone of this host.
  const zone_id& zone() const { return zone_; }

  /// @name State of zones and connections
  /// @{

  /// Sets the availability zones whose endpoints get no requests.
  void SetZonesOutOfService(std::set<zone_id> zones) {
    zones_out_ = std::move(zones);
  }
  /// Sets how many hosts of this zone choose endpoints for callers, this one
  /// included. What this host has in flight at an endpoint stands for what each
  /// of them probably has there: they choose at the same moment, and what they
  /// could report would be out of date.
  void SetChoosingHosts(std::size_t hosts);
  /// Sets endpoints that get no requests, whatever their zone.
  void SetWithheld(std::set<endpoint_id> endpoints) {
    withheld_ = std::move(endpoints);
  }
  /// Discards all statistics of an endpoint.
  void Forget(const endpoint_id& id) {
    stats_.erase(id);
    limits_.Forget(id);
    reach_.Forget(id);
  }
  /// The request limits that endpoints state.
  request_limits& limits() { return limits_; }
  /// Whether this host reaches the endpoints.
  endpoint_reach& reach() { return reach_; }
  const endpoint_reach& reach() const { return reach_; }
  /// Which endpoints have ended with requests in flight.
  endpoint_crashes& crashes() { return crashes_; }
  /// Sets the number of idle connections to an endpoint. An endpoint is usable
  /// only after this was called for it.
  void SetIdleConnections(const endpoint_id& id, int idle_connections);
  /// A connection attempt failed. The endpoint gets no requests for a backoff
  /// time, which doubles with each further failure.
  void OnConnectFailed(time_point now, const endpoint_id& id);
  /// A connection that was to show whether the endpoint is reached was refused.
  void OnProbeRefused(time_point now, const endpoint_id& id);
  /// A connection was established; ends the backoff.
  void OnConnected(const endpoint_id& id);
  /// The endpoint refused a request and wants none for `pause`. The time is
  /// prolonged at random, so that hosts do not all return at once.
  void OnPauseRequested(time_point now, const endpoint_id& id, duration pause);
  /// @}

  /// Selects one of the service's endpoints that are not in `excluded`.
  /// `expected` is the expected latency of the sub-request. Cold endpoints are
  /// used only if no warm one is available, and endpoints from which no reply
  /// is to be expected within `time_left` only if there is no other, free or
  /// not.
  selection Select(time_point now,
                   const endpoint_registry& registry,
                   const service_id& service,
                   const std::vector<endpoint_id>& excluded,
                   duration expected,
                   duration time_left,
                   purpose send_purpose);

  /// When callers may return to a service of which no endpoint is usable now:
  /// the first pause that an endpoint asked for has then ended at all hosts, as
  /// callers may ask any of them. It is later by a random time, so that callers
  /// do not all return at once. Unset if no endpoint asked for a pause, or if
  /// one is usable now.
  std::optional<time_point> CallersMayReturnAt(
      time_point now,
      const endpoint_registry& registry,
      const service_id& service);

  /// Latency to expect of a sub-request to the service's best endpoint, of
  /// which `waiting` others wait for a connection; nullopt if none is usable.
  std::optional<duration> PredictLatency(time_point now,
                                         const endpoint_registry& registry,
                                         const service_id& service,
                                         duration expected,
                                         std::size_t waiting) const;

  /// Whether the endpoint may be asked for a sign of life: nothing but failed
  /// connections speaks against its use, and its load is not limited.
  bool MayProbe(time_point now, const endpoint_registry::entry& entry) const;

  /// The endpoints that a host which may be cut off may ask for a sign of life.
  /// If too few are unrestricted, they include endpoints that drain, that state
  /// a limit of which this host has a part left, and that asked for a pause, of
  /// which each is asked once a pause. Without these a host would not find out
  /// that it reaches the endpoints again while all are restricted.
  std::vector<endpoint_id> ProbeCandidates(
      time_point now,
      const endpoint_registry& registry) const;
  /// The endpoint is asked: this counts towards its limit and its pause.
  void OnProbe(time_point now, const endpoint_id& id);

  /// Whether this host has a connection to a usable endpoint of the service.
  bool HasConnectionTo(time_point now,
                       const endpoint_registry& registry,
                       const service_id& service) const;

  /// A sub-request is late enough to be hedged. Counting it as slow now detects
  /// a slow endpoint before its reply arrives.
  void OnSendLate(time_point now,
                  const endpoint_id& id,
                  attempt_id attempt,
                  duration expected);
  /// Takes in another host's report on an endpoint, which is used in addition
  /// to this host's own observations. Ignored if the endpoint is unknown.
  void OnPeerReport(time_point now, const endpoint_health_report& report);
  /// Reports on the endpoints that this host itself recently observed to be
  /// unhealthy. Reports received from other hosts are not included.
  std::vector<endpoint_health_report> UnhealthyEndpoints(time_point now) const;

  /// A sub-request was assigned to the endpoint and is now in flight. Returns
  /// when the oldest one that the endpoint has was sent.
  time_point OnSend(time_point now, const endpoint_id& id, attempt_id attempt);
  /// Whether an endpoint that had a request since `oldest` was late with it at
  /// `now`.
  static bool IsLate(time_point now, time_point oldest, duration expected);
  /// Takes back OnSend(): the send was planned but not carried out.
  void CancelSend(const endpoint_id& id, attempt_id attempt);
  /// When the oldest one in flight was sent; nullopt if there is none.
  std::optional<time_point> OldestInFlight(const endpoint_id& id) const;
  /// Number of sends to the endpoint that have not ended.
  std::size_t InFlight(const endpoint_id& id) const;
  /// A send ended, and is no longer in flight. Updates the endpoint's
  /// statistics according to the outcome. Ignored if the attempt is unknown.
  void OnSendFinished(time_point now,
                      const endpoint_id& id,
                      attempt_id attempt,
                      duration expected,
                      send_outcome outcome);

 private:
  /// Exponentially weighted average that decays towards zero, the value of a
  /// healthy endpoint, while there are no new samples.
  struct decaying_average {
    /// Average at `updated_at`.
    double average = 0;
    time_point updated_at;
    double Value(time_point now, duration half_life) const;
    void Update(time_point now,
                double sample,
                double weight,
                duration half_life);
  };
  /// Statistics of one endpoint. A slowdown is the latency relative to the
  /// expected one, as a power of two: averaged like this, a single pause
  /// changes little, whereas an endpoint that stays slow shows its real
  /// latency.
  struct endpoint_stats {
    int idle_connections = 0;
    /// Start time of each send in flight, oldest first.
    std::map<attempt_id, time_point> in_flight;
    decaying_average slowdown;
    /// Fraction of sends that failed.
    decaying_average failure_rate;
    /// The same, as reported by other hosts.
    decaying_average reported_slowdown;
    decaying_average reported_failure_rate;
    /// Backoff after failed connection attempts.
    time_point backoff_until;
    duration backoff{};
    /// End of the pause that the endpoint asked for, as this host prolonged it.
    time_point paused_until;
    /// It was probed in its latest pause.
    bool probed_in_pause = false;
    /// When the pause has ended however far a host prolonged it.
    time_point paused_anywhere_until;
    /// Length of the pause, as the endpoint asked for it.
    duration pause{};
  };

  /// Endpoints of a group are used only if there is none of a group before it.
  enum class candidate_group { kWarm, kCold };
  /// An endpoint that a sub-request may be sent to.
  struct candidate {
    endpoint_id id;
    std::uint64_t started_ms = 0;
    /// Weight in the random selection.
    double weight = 0;
    /// Whether a reply is to be expected in time.
    bool timely = true;
    candidate_group group = candidate_group::kWarm;
  };

  static candidate_group GroupOf(time_point now,
                                 const endpoint_registry::entry& entry);
  /// Draws one of `candidates`, which must not be empty.
  selected Draw(std::vector<candidate> candidates);
  /// Whether the endpoint may get a request now.
  bool IsUsable(time_point now, const endpoint_registry::entry& entry) const;
  /// The same, whatever request limit it states.
  bool IsUsableButForLimit(time_point now,
                           const endpoint_registry::entry& entry) const;
  /// Whether it may be probed if too few unrestricted endpoints are left.
  bool MayProbeRestricted(time_point now,
                          const endpoint_registry::entry& entry) const;
  /// Whether only the pause that the endpoint asked for prevents its use.
  bool IsOnlyPaused(time_point now,
                    const endpoint_registry::entry& entry) const;
  /// Whether a connection to the endpoint is open, idle or busy.
  static bool HasConnection(const endpoint_stats& stats) {
    return stats.idle_connections > 0 || !stats.in_flight.empty();
  }
  /// Latency to expect, relative to the expected one of a healthy endpoint.
  static double LatencyRatio(time_point now,
                             const endpoint_stats& stats,
                             duration expected);
  /// Relative cost of one more request to the endpoint: about 1 for a healthy,
  /// idle endpoint in this host's zone.
  double CostOf(time_point now,
                const endpoint_registry::entry& entry,
                const endpoint_stats& stats,
                duration expected) const;

  zone_id zone_;
  std::mt19937_64 rng_;
  std::set<zone_id> zones_out_;
  std::set<endpoint_id> withheld_;
  std::unordered_map<endpoint_id, endpoint_stats> stats_;
  double in_flight_cost_ = 0;
  request_limits limits_;
  endpoint_reach reach_;
  endpoint_crashes crashes_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_ENDPOINT_SELECTOR_H_
