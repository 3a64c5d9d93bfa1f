/// Metrics of a process, exported in the Prometheus text format by
/// prometheus-cpp. Each metric is described by one entry in metrics_table.cc:
/// its name with the unit, its labels and its help text.
#ifndef TREFOILMILL_NET_METRICS_H_
#define TREFOILMILL_NET_METRICS_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilmill/time.h"

namespace trefoilmill {

/// Identifies a metric. metrics_table.cc defines each one; docs/METRICS.md
/// lists them for operators.
enum class metric {
  kQueries,
  kRefusals,
  kQueryDuration,
  kQueryCoverage,
  kQueriesInProgress,
  kAttempts,
  kMissingShards,
  kHedgesStarted,
  kEndpointReplies,
  kEndpointServiceTime,
  kEndpointQueueTime,
  kEndpointsOwned,
  kEndpointsCold,
  kEndpointRequestsInFlight,
  kEndpointQueueLength,
  kOpenConnections,
  kConnectionsOpened,
  kConnectionFailures,
  kForeignResponses,
  kHosts,
  kOwnershipChanges,
  kPeerMessages,
  kPeerBytes,
  kDocumentRevision,
  kDocumentsRejected,
  kStoreCalls,
  kIdempotencyKeyClaims,
  kZoneOut,
  kReady,
  kLeaving,
  kTimelineEventsDropped,
  kLoopDelay,
  kCallerRequests,
  kCallerRequestDuration,
  kOrganisationRequests,
  kRejectedRequests,
  kConnectionBytes,
  kInboundConnections,
  kConnectionsClosed,
  kAcceptFailures,
  kAnswersLost,
  kEndpointSends,
  kLimitedEndpointSends,
  kCrossZoneBytes,
  kSendBudgetRefusals,
  kEndpointsKnown,
  kCutOff,
  kForwardedRequests,
  kQuarantinedRequests,
  kRolloutStage,
  kRolloutSends,
  kConfigurationVersion,
  kLogLinesDropped,
};

/// Prometheus metric types in use.
enum class metric_kind { kCounter, kGauge, kHistogram };

/// Definition of one metric.
struct metric_info {
  metric id;
  metric_kind kind;
  /// Exported name including the unit, such as
  /// "trefoilmill_query_duration_seconds".
  std::string name;
  std::string help;
  /// Label names, in the order of metrics::label_values.
  std::vector<std::string> labels;
  /// Upper bounds of a histogram's buckets, ascending, in the unit of `name`;
  /// empty for other kinds.
  std::vector<double> buckets;
};

/// Definitions of all metrics, in the order of the enumeration.
const std::vector<metric_info>& MetricsTable();

/// Current values of a process's metrics. Not thread-safe. A call for a metric
/// of another kind has no effect.
class metrics {
 public:
  /// Label values in the order of metric_info::labels. Surplus values and
  /// labels without a value are omitted from the exported labels.
  using label_values = std::vector<std::string_view>;

  /// Registers all metrics. Counters and gauges without labels start at 0;
  /// other series appear with their first value.
  static std::unique_ptr<metrics> Create();
  ~metrics();

  /// Increments a counter by `by`, which must not be negative.
  void Increment(metric id, const label_values& labels = {}, double by = 1);
  /// Sets a gauge.
  void Set(metric id, double value, const label_values& labels = {});
  /// Records `value` in a histogram, in the unit of the metric's name.
  void Observe(metric id, double value, const label_values& labels = {});
  /// Records a duration in a histogram whose unit is seconds.
  void Observe(metric id, duration value, const label_values& labels = {});

  /// All metrics in the Prometheus text exposition format.
  std::string Serialize() const;

 private:
  struct impl;
  explicit metrics(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

/// `Content-Type` header of the output of metrics::Serialize().
inline constexpr const char* kMetricsContentType =
    "text/plain; version=0.0.4; charset=utf-8";

}  // namespace trefoilmill

#endif  // TREFOILMILL_NET_METRICS_H_
