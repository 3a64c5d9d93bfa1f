/// State that all requests of one process share: the registered endpoints,
/// their observed health, the budget for extra sends and the measured
/// latencies.
#ifndef TREFOILMILL_PROCESS_SHARED_REQUEST_STATE_H_
#define TREFOILMILL_PROCESS_SHARED_REQUEST_STATE_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "trefoilmill/process/capacity_queue.h"
#include "trefoilmill/process/deadline_admission.h"
#include "trefoilmill/process/endpoint_registry.h"
#include "trefoilmill/process/endpoint_responses.h"
#include "trefoilmill/process/endpoint_selector.h"
#include "trefoilmill/process/extra_send_budget.h"
#include "trefoilmill/process/fair_shares.h"
#include "trefoilmill/process/latency_histogram.h"
#include "trefoilmill/process/organisation_quotas.h"
#include "trefoilmill/process/request_quarantine.h"
#include "trefoilmill/process/response_silences.h"
#include "trefoilmill/process/rollout_table.h"
#include "trefoilmill/version/routing_config.h"

namespace trefoilmill {

/// State that all requests of one process share.
struct shared_request_state {
  endpoint_registry registry;
  endpoint_selector selector;
  extra_send_budget extra_sends;
  /// Latencies of sub-requests, from send to reply. Kept per route, because the
  /// amount of work differs between routes but hardly between the shards of
  /// one.
  std::unordered_map<route_id, latency_histogram> latencies;
  deadline_admission admission;
  /// Sub-requests that wait for a free connection.
  capacity_queue waiting;
  /// The longest time that a caller of each route was willing to wait.
  std::unordered_map<route_id, duration> longest_waits;
  /// Set while the process stops: when every request has its answer at the
  /// latest.
  std::optional<time_point> answer_by;
  /// When endpoints responded last.
  endpoint_responses responses{};
  /// When none responded.
  response_silences silences{};
  /// Requests under which endpoints have ended.
  request_quarantine quarantine{};
  /// Quotas of organisations.
  organisation_quotas quotas{};
  /// Shares of organisations in what endpoints can run.
  fair_shares shares{};
  /// Roll-outs of new versions of services' software.
  rollout_table rollouts;
  /// The most recently assigned attempt id.
  std::uint64_t last_attempt_id = 0;
};

/// Expected latency of a route's sub-requests: the median of the recent samples
/// or, as long as there are too few samples, a fraction of the route's latency
/// objective. At least 1 ms.
duration ExpectedLatency(const shared_request_state& shared, const route& r);

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_SHARED_REQUEST_STATE_H_
