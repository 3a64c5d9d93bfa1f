/// Definitions of all metrics, grouped by the part that reports them.
#include "trefoilmill/net/metrics.h"

namespace trefoilmill {
namespace {

using enum metric_kind;

/// Histogram buckets for durations, in seconds: 0.5 ms to 10 s.
const std::vector<double>& DurationBuckets() {
  static const std::vector<double> bounds = {
      0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05,
      0.075,  0.1,   0.15,  0.2,   0.3,   0.5,    0.75, 1,     2,    5,    10};
  return bounds;
}

/// Histogram buckets for the ratio of shards answered, 0 to 1.
const std::vector<double>& CoverageBuckets() {
  static const std::vector<double> bounds = {0.5,  0.75, 0.9,   0.95,
                                             0.98, 0.99, 0.999, 1};
  return bounds;
}

/// Callers' queries and the sub-requests sent for them.
std::vector<metric_info> QueryMetrics() {
  return {
      {metric::kQueries,
       kCounter,
       "trefoilmill_queries_total",
       "Callers' queries that ended, by outcome: whole, partial or refused.",
       {"outcome"},
       {}},
      {metric::kRefusals,
       kCounter,
       "trefoilmill_refusals_total",
       "Refusals of well-formed queries, by reason and by whether the query "
       "may "
       "have run.",
       {"reason", "verdict"},
       {}},
      {metric::kQueryDuration,
       kHistogram,
       "trefoilmill_query_duration_seconds",
       "From a query's arrival to its answer or refusal, in seconds.",
       {"outcome"},
       DurationBuckets()},
      {metric::kQueryCoverage,
       kHistogram,
       "trefoilmill_query_coverage_ratio",
       "Shards answered of shards asked, 0 to 1, over answers to callers.",
       {},
       CoverageBuckets()},
      {metric::kQueriesInProgress,
       kGauge,
       "trefoilmill_queries_in_progress",
       "Queries that this host holds as their entry.",
       {},
       {}},
      {metric::kAttempts,
       kCounter,
       "trefoilmill_attempts_total",
       "Sub-requests that this entry sent, by kind: first, retry or hedge.",
       {"kind"},
       {}},
      {metric::kMissingShards,
       kCounter,
       "trefoilmill_missing_shards_total",
       "Shards that answers to callers did not cover, by reason.",
       {"reason"},
       {}},
      {metric::kHedgesStarted,
       kCounter,
       "trefoilmill_hedges_started_total",
       "Hedges of this entry that an owner handed to an endpoint; the others "
       "cost the endpoints nothing.",
       {},
       {}},
  };
}

/// Endpoints owned by this host, their queues and connections.
std::vector<metric_info> EndpointMetrics() {
  return {
      {metric::kEndpointReplies,
       kCounter,
       "trefoilmill_endpoint_replies_total",
       "Sub-requests to endpoints that ended, by service and kind of reply.",
       {"service", "reply"},
       {}},
      {metric::kEndpointServiceTime,
       kHistogram,
       "trefoilmill_endpoint_service_time_seconds",
       "From hand-over to the socket to the endpoint's answer, in seconds.",
       {"service"},
       DurationBuckets()},
      {metric::kEndpointQueueTime,
       kHistogram,
       "trefoilmill_endpoint_queue_time_seconds",
       "Time that sub-requests waited at their owner, in seconds.",
       {"service"},
       DurationBuckets()},
      {metric::kEndpointsOwned,
       kGauge,
       "trefoilmill_endpoints_owned",
       "Endpoints that this host owns, by how sure it is: certain or "
       "uncertain.",
       {"standing"},
       {}},
      {metric::kEndpointsCold,
       kGauge,
       "trefoilmill_endpoints_cold",
       "Endpoints owned here that are in a cold start.",
       {},
       {}},
      {metric::kEndpointRequestsInFlight,
       kGauge,
       "trefoilmill_endpoint_requests",
       "Requests in flight to endpoints owned here.",
       {},
       {}},
      {metric::kEndpointQueueLength,
       kGauge,
       "trefoilmill_endpoint_queue",
       "Sub-requests that wait here for endpoints.",
       {},
       {}},
      {metric::kOpenConnections,
       kGauge,
       "trefoilmill_endpoint_connections",
       "Open connections to endpoints.",
       {},
       {}},
      {metric::kConnectionsOpened,
       kCounter,
       "trefoilmill_endpoint_connections_opened_total",
       "Connections to endpoints that were opened.",
       {},
       {}},
      {metric::kConnectionFailures,
       kCounter,
       "trefoilmill_endpoint_connection_failures_total",
       "Connections to endpoints that failed, by how: refused or reset.",
       {"how"},
       {}},
      {metric::kForeignResponses,
       kCounter,
       "trefoilmill_endpoint_foreign_responses_total",
       "Responses of endpoints that do not echo their request's ID.",
       {},
       {}},
  };
}

/// Hosts, peer connections, documents, the platform's store and the host's
/// state.
std::vector<metric_info> FleetMetrics() {
  return {
      {metric::kHosts,
       kGauge,
       "trefoilmill_hosts",
       "Hosts that this one knows of, by state.",
       {"state"},
       {}},
      {metric::kOwnershipChanges,
       kCounter,
       "trefoilmill_ownership_changes_total",
       "Endpoints whose owner changed in this host's view.",
       {},
       {}},
      {metric::kPeerMessages,
       kCounter,
       "trefoilmill_peer_messages_total",
       "Messages between daemons, by use: control or query, and direction: "
       "sent or received.",
       {"use", "direction"},
       {}},
      {metric::kPeerBytes,
       kCounter,
       "trefoilmill_peer_bytes_total",
       "Bytes between hosts, by use (control, query, copies or patches) and "
       "direction.",
       {"use", "direction"},
       {}},
      {metric::kDocumentRevision,
       kGauge,
       "trefoilmill_document_revision",
       "Revision in force here, by document.",
       {"document"},
       {}},
      {metric::kDocumentsRejected,
       kCounter,
       "trefoilmill_documents_rejected_total",
       "Revisions that were refused as invalid, by document.",
       {"document"},
       {}},
      {metric::kStoreCalls,
       kCounter,
       "trefoilmill_store_calls_total",
       "Calls to the platform's store, by kind and outcome.",
       {"call", "outcome"},
       {}},
      {metric::kIdempotencyKeyClaims,
       kCounter,
       "trefoilmill_claims_total",
       "Idempotency keys that were to be claimed, by outcome.",
       {"outcome"},
       {}},
      {metric::kZoneOut,
       kGauge,
       "trefoilmill_zone_out",
       "1 if operators have taken the availability zone out, else 0.",
       {"zone"},
       {}},
      {metric::kReady,
       kGauge,
       "trefoilmill_ready",
       "1 if this host answers queries, else 0.",
       {},
       {}},
      {metric::kLeaving,
       kGauge,
       "trefoilmill_leaving",
       "1 if this host was told to stop, else 0.",
       {},
       {}},
      {metric::kTimelineEventsDropped,
       kCounter,
       "trefoilmill_timeline_dropped_total",
       "Events that gave way to newer ones in the time line.",
       {},
       {}},
      {metric::kLoopDelay,
       kHistogram,
       "trefoilmill_loop_delay_seconds",
       "How late timers of the event loop ran, in seconds.",
       {},
       DurationBuckets()},
  };
}

/// Callers' requests, endpoints, configuration and log of an entry process.
std::vector<metric_info> EntryMetrics() {
  return {
      {metric::kCallerRequests,
       kCounter,
       "trefoilmill_caller_requests_total",
       "Callers' requests that ended, by outcome: whole, partial, relayed, "
       "refused, failed or gone (the caller left).",
       {"outcome"},
       {}},
      {metric::kOrganisationRequests,
       kCounter,
       "trefoilmill_organisation_requests_total",
       "Requests that ended, by the caller's organisation and outcome. Only "
       "large organisations are told apart; the rest are counted as other.",
       {"organisation", "outcome"},
       {}},
      {metric::kRejectedRequests,
       kCounter,
       "trefoilmill_rejected_requests_total",
       "Requests that were malformed or too large and reached no handler, by "
       "the address that they came to and the status of the response.",
       {"address", "status"},
       {}},
      {metric::kConnectionBytes,
       kGauge,
       "trefoilmill_connection_bytes",
       "Memory that all connections hold: what was received and not handled, "
       "requests in progress, and what was not sent.",
       {},
       {}},
      {metric::kInboundConnections,
       kGauge,
       "trefoilmill_inbound_connections",
       "Connections that this host has accepted, at all of its addresses.",
       {},
       {}},
      {metric::kConnectionsClosed,
       kCounter,
       "trefoilmill_connections_closed_total",
       "Connections closed because all together held too much memory or too "
       "many descriptors.",
       {},
       {}},
      {metric::kAcceptFailures,
       kCounter,
       "trefoilmill_accept_failures_total",
       "Times that a connection could not be accepted for want of a "
       "descriptor, by address.",
       {"address"},
       {}},
      {metric::kCallerRequestDuration,
       kHistogram,
       "trefoilmill_caller_request_duration_seconds",
       "From a caller's request to its answer, in seconds, by outcome.",
       {"outcome"},
       DurationBuckets()},
      {metric::kAnswersLost,
       kCounter,
       "trefoilmill_answers_lost_total",
       "Answers whose connection closed before they were written.",
       {},
       {}},
      {metric::kEndpointSends,
       kCounter,
       "trefoilmill_endpoint_sends_total",
       "Sub-requests handed to endpoints, by purpose: first or extra (hedges "
       "and retries).",
       {"purpose"},
       {}},
      {metric::kCrossZoneBytes,
       kCounter,
       "trefoilmill_cross_zone_bytes_total",
       "Bytes exchanged with endpoints of other availability zones, by what "
       "they are: request or reply.",
       {"what"},
       {}},
      {metric::kLimitedEndpointSends,
       kCounter,
       "trefoilmill_limited_endpoint_sends_total",
       "Sub-requests handed to endpoints that state a request limit, by "
       "purpose: first or extra (hedges and retries).",
       {"purpose"},
       {}},
      {metric::kSendBudgetRefusals,
       kCounter,
       "trefoilmill_send_budget_refusals_total",
       "Hedges and retries that the shared budget did not allow.",
       {},
       {}},
      {metric::kCutOff,
       kGauge,
       "trefoilmill_cut_off",
       "1 while this host reaches no endpoint.",
       {},
       {}},
      {metric::kForwardedRequests,
       kCounter,
       "trefoilmill_forwarded_requests_total",
       "Callers' requests passed on to other hosts, by outcome: answered, "
       "failed, not_taken (served here) or gone (the caller left); declined: "
       "passed on to this host, which is cut off, too.",
       {"outcome"},
       {}},
      {metric::kQuarantinedRequests,
       kGauge,
       "trefoilmill_quarantined_requests",
       "Requests that are sent to no endpoint, as endpoints ended under them.",
       {},
       {}},
      {metric::kRolloutStage,
       kGauge,
       "trefoilmill_rollout_stage",
       "Stage of a service's roll-out: 0 waiting, 1 trial, 2 ramp, 3 cutover, "
       "4 rejected.",
       {"service"},
       {}},
      {metric::kRolloutSends,
       kGauge,
       "trefoilmill_rollout_sends",
       "First sends of this process to a service during its roll-out, by "
       "version: new, or any.",
       {"service", "version"},
       {}},
      {metric::kEndpointsKnown,
       kGauge,
       "trefoilmill_endpoints_known",
       "Endpoints that the platform announces or did so a moment ago.",
       {},
       {}},
      {metric::kConfigurationVersion,
       kGauge,
       "trefoilmill_configuration_version",
       "Version of the configuration in force.",
       {},
       {}},
      {metric::kLogLinesDropped,
       kGauge,
       "trefoilmill_log_lines_dropped",
       "Log lines lost because nobody read standard output.",
       {},
       {}},
  };
}

std::vector<metric_info> MakeTable() {
  std::vector<metric_info> table = QueryMetrics();
  for (const auto& group :
       {EndpointMetrics(), FleetMetrics(), EntryMetrics()}) {
    table.insert(table.end(), group.begin(), group.end());
  }
  return table;
}

}  // namespace

const std::vector<metric_info>& MetricsTable() {
  static const std::vector<metric_info> table = MakeTable();
  return table;
}

}  // namespace trefoilmill
