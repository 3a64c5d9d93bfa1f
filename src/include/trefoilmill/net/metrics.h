/// The process's metrics, by prometheus-cpp. Every metric has its one line in
/// metrics_table.cc, with its unit, its labels and a help text.
#ifndef TREFOILMILL_NET_METRICS_H_
#define TREFOILMILL_NET_METRICS_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilmill/time.h"

namespace trefoilmill {

/// Names a metric; metrics_table.cc has the details, docs/METRICS.md the list.
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
  kEndpointsInFlight,
  kEndpointsQueued,
  kConnectionsOpen,
  kConnectionsOpened,
  kConnectionFailures,
  kHosts,
  kOwnershipChanges,
  kPeerMessages,
  kPeerBytes,
  kDocumentRevision,
  kDocumentsRejected,
  kStoreCalls,
  kClaims,
  kZonesOut,
  kReady,
  kLeaving,
  kTimelineDropped,
  kLoopDelay,
  kCallerRequests,
  kCallerRequestDuration,
  kEndpointSends,
  kSendBudgetRefusals,
  kEndpointsKnown,
  kConfigurationVersion,
  kLogLinesDropped,
};

enum class metric_kind { kCounter, kGauge, kHistogram };

/// One line of the table.
struct metric_info {
  metric id;
  metric_kind kind;
  /// Full name with its unit, such as "trefoilmill_query_duration_seconds".
  std::string name;
  std::string help;
  /// Names of labels, in the order in which values are given.
  std::vector<std::string> labels;
  /// Upper bounds of a histogram's buckets.
  std::vector<double> buckets;
};

/// All metrics, in the order of the enumeration.
const std::vector<metric_info>& MetricsTable();

/// Values of a process's metrics. For one thread.
class metrics {
 public:
  /// Values of labels, as many as the metric has.
  using label_values = std::vector<std::string_view>;

  static std::unique_ptr<metrics> Create();
  ~metrics();

  /// Adds to a counter.
  void Count(metric id, const label_values& labels = {}, double by = 1);
  /// Sets a gauge.
  void Set(metric id, double value, const label_values& labels = {});
  /// Adds an observation to a histogram, in the unit of its name.
  void Observe(metric id, double value, const label_values& labels = {});
  /// Adds a time to a histogram of seconds.
  void Observe(metric id, duration value, const label_values& labels = {});

  /// Prometheus's text format.
  std::string Text() const;

 private:
  struct impl;
  explicit metrics(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

/// The `Content-Type` of Text().
inline constexpr const char* kMetricsContentType =
    "text/plain; version=0.0.4; charset=utf-8";

}  // namespace trefoilmill

#endif  // TREFOILMILL_NET_METRICS_H_
