/// State shared by all queries of the entry role, which receives callers'
/// queries: the current configuration and the statistics on endpoints, owners
/// and latencies. Lives as long as the process.
#ifndef TREFOILMILL_ENTRY_CONTEXT_H_
#define TREFOILMILL_ENTRY_CONTEXT_H_

#include <cstdint>
#include <memory>
#include <random>

#include "trefoilmill/deployment.h"
#include "trefoilmill/endpoint_table.h"
#include "trefoilmill/owner_activity.h"
#include "trefoilmill/routing.h"
#include "trefoilmill/service_latency_estimator.h"
#include "trefoilmill/snapshot.h"
#include "trefoilmill/token_budget.h"

namespace trefoilmill {

/// Event counts over all queries since the process started, for the metrics.
struct entry_counters {
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
  std::uint64_t hedges_started = 0;
  /// Hedges that answered before the attempt they hedged.
  std::uint64_t hedges_won = 0;
  /// Retries that the retry budget denied, and hedges that were due but not
  /// sent, whether for lack of budget or of a suitable replica. Each recheck
  /// counts again.
  std::uint64_t budget_denied = 0;
  /// Sub-requests sent to a second replica on the retry budget because the
  /// first owner had been silent since the sub-request was sent.
  std::uint64_t silent_owner_resends = 0;
  /// Replies to attempts that do not exist or belong to an earlier plan.
  std::uint64_t unknown_replies = 0;
  /// Replies to attempts of the current plan that had already ended.
  std::uint64_t duplicate_replies = 0;
  /// Queries moved to another index version after theirs became unavailable.
  std::uint64_t replans = 0;
};

/// Shared state of the entry role. When a new revision takes effect, the daemon
/// calls Configure() for the deployment and assigns `catalog`.
struct entry_context {
  /// Creates a context without statistics; `config` may be null until the first
  /// Configure(). `seed` must differ between hosts, as attempt ids and all
  /// other random choices derive from it.
  static entry_context Create(std::shared_ptr<const deployment> config,
                              std::shared_ptr<const snapshot_catalog> catalog,
                              routing route,
                              std::uint64_t seed);

  /// Applies a new deployment, which must not be null, and keeps the
  /// statistics.
  void Configure(std::shared_ptr<const deployment> new_config);

  std::shared_ptr<const deployment> config;
  std::shared_ptr<const snapshot_catalog> catalog;
  /// Maps endpoints to the hosts that own them.
  routing route;
  endpoint_table endpoints;
  service_latency_estimator latencies;
  owner_activity owners;
  token_budget hedge_budget;
  token_budget retry_budget;
  std::mt19937_64 random;
  entry_counters counters;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_ENTRY_CONTEXT_H_
