/// Per-endpoint state for replica selection at an entry: the load reports that
/// owners piggyback on replies, this host's own requests in flight, latency,
/// and outlier ejection.
#ifndef TREFOILMILL_ENDPOINT_TABLE_H_
#define TREFOILMILL_ENDPOINT_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/messages.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// Eligibility of an endpoint for selection.
enum class endpoint_eligibility {
  kPreferred,   ///< Warm, or cold with a free slot in its allowance.
  kLastResort,  ///< Cold without a free slot, ejected, on probation with a
                ///< request in flight, or backing off after a failure: chosen
                ///< only if no replica is kPreferred.
  kExcluded,    ///< Unknown, draining, or in an availability zone that was
                ///< taken out: never chosen.
};

/// State of an endpoint that its new owner starts from after a takeover.
struct takeover_hint {
  instance_id instance;
  /// Requests in flight that the previous owner allowed.
  int allowance = 0;
  bool cold = false;
};

/// State of one endpoint at this entry.
struct endpoint_state {
  zone_id zone;
  service_id service;
  endpoint_limits limits;
  /// The owner's last load report; nullopt before the first.
  std::optional<endpoint_load> load;
  /// When `load` was received.
  time_point load_received_at;
  /// Requests of this host in flight.
  int outstanding = 0;
  /// Exponentially weighted mean of the latency; 0 when unknown.
  duration latency{};
  /// Latency samples since the endpoint was added, was last ejected or changed
  /// its instance.
  int samples = 0;
  /// Time of the last latency sample.
  time_point last_sample_at;
  /// Consecutive failures that are attributed to the endpoint, such as refused
  /// connections.
  int consecutive_failures = 0;
  /// End of the exponential backoff after a failure.
  time_point backoff_until;
  /// Gets no new requests until then, unless a load report says earlier that it
  /// is not draining.
  time_point draining_until;
  /// End of the ejection as a latency outlier; probation follows.
  time_point ejected_until;
  /// Consecutive ejections; each one doubles the ejection time up to a maximum.
  int ejections = 0;
  /// Set from an ejection until enough answers are fast again. While set, the
  /// endpoint is kLastResort as long as it has a request of this host in
  /// flight.
  bool on_probation = false;
};

/// The state of all endpoints of the deployment. A change of the deployment
/// keeps the state of the endpoints that remain. Updates for an unknown
/// endpoint are ignored; no operation fails with an error.
class endpoint_table {
 public:
  /// Applies a deployment: adds, updates and removes endpoints.
  void Configure(const deployment& config);
  /// Sets the availability zones that operators have taken out.
  void SetZoneStates(zone_states zones);

  /// Applies an owner's load report. A changed instance clears the endpoint's
  /// latency and ejection state.
  void OnLoadReport(time_point now, const endpoint_load& load);
  /// Records that a sub-request was sent to the endpoint.
  void OnSent(const endpoint_id& endpoint);
  /// Records an answer, `service_time` after the owner handed the sub-request
  /// to the socket.
  void OnAnswered(time_point now,
                  const endpoint_id& endpoint,
                  duration service_time);
  /// Records that a sub-request ended without an answer.
  void OnFailed(time_point now, const endpoint_id& endpoint, reason_code why);
  /// Records that a sub-request was abandoned after `elapsed` without an
  /// answer, which is a lower bound of the endpoint's latency.
  void OnAbandoned(time_point now,
                   const endpoint_id& endpoint,
                   duration elapsed);

  /// Eligibility of the endpoint at `now`; kExcluded if it is unknown.
  endpoint_eligibility EligibilityOf(time_point now,
                                     const endpoint_id& endpoint) const;
  /// Whether the endpoint is kPreferred and was last reported warm, with a free
  /// slot: the condition for a hedge.
  bool HasFreeSlot(time_point now, const endpoint_id& endpoint) const;
  /// Selection score; lower is better. (in flight + queued + own outstanding +
  /// 1) / allowance, times the latency in ms; 0 if the endpoint is unknown.
  double Score(time_point now, const endpoint_id& endpoint) const;
  /// Whether a recent load report shows requests queued at the owner.
  bool HasQueuedRequests(time_point now, const endpoint_id& endpoint) const;
  /// Whether the endpoint is ejected at `now`.
  bool IsEjected(time_point now, const endpoint_id& endpoint) const;
  /// The last reported instance and allowance, for a host that becomes the
  /// owner; nullopt before the first load report.
  std::optional<takeover_hint> TakeoverHintFor(
      const endpoint_id& endpoint) const;
  /// Returns nullptr if the endpoint is not in the deployment. Valid until the
  /// next Configure().
  const endpoint_state* Find(const endpoint_id& endpoint) const;

 private:
  struct service_members {
    std::vector<endpoint_id> endpoints;
    /// Median of the known endpoint latencies; 0 if none is known.
    duration median_latency{};
    /// When `median_latency` was computed.
    std::optional<time_point> median_computed_at;
  };

  endpoint_eligibility EligibilityOf(time_point now,
                                     const endpoint_state& view) const;
  /// Adds a latency sample, which may end the probation or cause an ejection.
  void AddLatency(time_point now, endpoint_state& view, duration sample);
  /// Ejects the endpoint if its latency is an outlier and the limit on
  /// ejections allows it.
  void ConsiderEjection(time_point now, endpoint_state& view);
  /// Whether fewer endpoints of the service are ejected than
  /// `max_ejected_share` allows; any share above 0 allows at least one.
  bool EjectionAllowed(time_point now, const service_id& service) const;
  /// Median latency of the service's endpoints; 0 when unknown. Cached for
  /// large services, because computing it visits every endpoint.
  duration MedianLatency(time_point now, const service_id& service);

  std::map<endpoint_id, endpoint_state> endpoints_;
  std::map<service_id, service_members> services_;
  std::set<zone_id> zones_out_;
  double max_ejected_share_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_ENDPOINT_TABLE_H_
