/// One organisation's deployment: what operators declare, after the template
/// and the parameters were put together and checked. See
/// docs/CONFIGURATION.md for the JSON form and the defaults.
#ifndef TREFOILMILL_DEPLOYMENT_H_
#define TREFOILMILL_DEPLOYMENT_H_

#include <map>
#include <set>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// What one endpoint bears.
struct endpoint_limits {
  /// Requests that run at once on a warm endpoint.
  int slots = 4;
  /// Open connections, over all hosts together.
  int connections = 50;
  /// What setting up a connection costs.
  duration connection_cost = std::chrono::milliseconds(1);
  /// Requests in flight that a cold endpoint bears.
  int cold_slots = 1;
  /// Connections that a cold endpoint bears.
  int cold_connections = 2;
  /// Successes in a row, within the deadline, before a cold endpoint's
  /// allowance rises by one slot.
  int warmup_successes = 8;
  /// Least time between two rises of a cold endpoint's allowance.
  duration warmup_step = std::chrono::milliseconds(250);

  friend bool operator==(const endpoint_limits&,
                         const endpoint_limits&) = default;
};

/// A back end.
struct endpoint_config {
  endpoint_id id;
  zone_id zone;
  service_id service;
  socket_address address;
  friend bool operator==(const endpoint_config&,
                         const endpoint_config&) = default;
};

/// How a query trades coverage for latency.
enum class answer_policy {
  kCoverageFirst,  ///< Use the whole deadline for the last shards.
  kLatencyFirst,   ///< Answer at the target with true coverage.
};

/// A group of endpoints that hold the same kind of data.
struct service_config {
  service_id id;
  endpoint_limits limits;
  std::vector<endpoint_config> endpoints;
  /// Share of admission under overload, relative to other services.
  int weight = 1;
  friend bool operator==(const service_config&,
                         const service_config&) = default;
};

/// Defaults and bounds for queries.
struct query_config {
  answer_policy policy = answer_policy::kCoverageFirst;
  /// Deadline of a query that names none.
  duration default_deadline = std::chrono::milliseconds(1000);
  /// Longest deadline a caller may ask for.
  duration max_deadline = std::chrono::milliseconds(10000);
  /// When a latency-first query answers with what it has.
  duration latency_target = std::chrono::milliseconds(250);
  /// Least coverage of an answer, as a share of shards.
  double min_coverage = 0.0;
  /// Largest request body a caller may send, in bytes.
  std::size_t max_body_bytes = 65536;
  friend bool operator==(const query_config&, const query_config&) = default;
};

/// How the system schedules, hedges and retries.
struct scheduling_config {
  /// Who connects to endpoints.
  enum class routing {
    kOwner,   ///< One host per endpoint; the others forward to it.
    kDirect,  ///< Every host connects, with a static share (the baseline).
  };
  routing mode = routing::kOwner;
  bool hedging = true;
  /// Hedges may add this share of first tries.
  double hedge_budget = 0.05;
  /// Retries may add this share of first tries.
  double retry_budget = 0.10;
  /// Quantile of latency after which a shard is hedged.
  double hedge_quantile = 0.95;
  /// An owner holds a query's finished shards back for the others until this
  /// quantile of its latency; 0 sends each at once.
  double reply_hold_quantile = 0.5;
  /// Queries one host holds at once before it refuses.
  int max_queries = 2000;
  /// Requests that wait at the owner for one endpoint, at most.
  int max_queue_per_endpoint = 64;
  /// Share of a service's endpoints that may be ejected as stragglers.
  double max_ejected_share = 0.34;
  /// Claims of idempotency keys a second, per host.
  int max_claims_per_second = 40;
  /// How long a claimed idempotency key is remembered.
  duration claim_ttl = std::chrono::hours(24);
  friend bool operator==(const scheduling_config&,
                         const scheduling_config&) = default;
};

/// Failure detection and take-over between hosts.
struct membership_config {
  duration probe_interval = std::chrono::milliseconds(1000);
  duration probe_timeout = std::chrono::milliseconds(300);
  /// How long a suspect may refute before it counts as dead.
  duration suspicion_timeout = std::chrono::milliseconds(1500);
  int indirect_probes = 3;
  /// Hosts described in one message when a whole table is sent.
  int table_chunk = 128;
  /// Bound of clock-rate and scheduling error over the quiet period.
  duration clock_slack = std::chrono::milliseconds(200);
  friend bool operator==(const membership_config&,
                         const membership_config&) = default;
};

/// Callers' entry list.
struct entries_config {
  /// How long a caller may keep the list.
  duration ttl = std::chrono::milliseconds(5000);
  /// Addresses in one list.
  int count = 3;
  friend bool operator==(const entries_config&,
                         const entries_config&) = default;
};

/// Everything that operators declare for one organisation, but for the zones'
/// states.
struct deployment {
  organisation_id organisation;
  std::vector<zone_id> zones;
  std::map<service_id, service_config> services;
  query_config query;
  scheduling_config scheduling;
  membership_config membership;
  entries_config entries;
  friend bool operator==(const deployment&, const deployment&) = default;
};

/// The document "zones": the availability zones operators have taken out.
struct zone_states {
  std::set<zone_id> out;
  friend bool operator==(const zone_states&, const zone_states&) = default;
};

/// One line of the platform's host list.
struct host_record {
  enum class state { kLive, kLeaving };
  host_id id;
  zone_id zone;
  /// Where other daemons connect.
  socket_address peer;
  /// Where callers connect.
  socket_address callers;
  /// Where operators connect.
  socket_address administration;
  state status = state::kLive;
  /// Processor time it may use, in thousandths of a core; 0 if not known.
  int millicores = 0;
  friend bool operator==(const host_record&, const host_record&) = default;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_DEPLOYMENT_H_
