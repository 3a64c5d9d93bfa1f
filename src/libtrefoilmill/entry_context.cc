#include "trefoilmill/entry_context.h"

#include <utility>

namespace trefoilmill {
namespace {

/// Capacities of the token buckets for hedges and retries, in tokens. One token
/// pays for one hedge or retry.
constexpr double kHedgeBurstTokens = 10;
constexpr double kRetryBurstTokens = 20;

}  // namespace

entry_context entry_context::Create(
    std::shared_ptr<const deployment> config,
    std::shared_ptr<const snapshot_catalog> catalog,
    routing route,
    std::uint64_t seed) {
  entry_context context{
      .config = std::move(config),
      .catalog = std::move(catalog),
      .route = std::move(route),
      .endpoints = {},
      .latencies = {},
      .owners = {},
      .hedge_budget = token_budget(0, kHedgeBurstTokens),
      .retry_budget = token_budget(0, kRetryBurstTokens),
      .random = std::mt19937_64(seed),
      .counters = {},
  };
  if (context.config)
    context.Configure(context.config);
  return context;
}

void entry_context::Configure(std::shared_ptr<const deployment> new_config) {
  config = std::move(new_config);
  endpoints.Configure(*config);
  hedge_budget.set_share(config->scheduling.hedge_budget);
  retry_budget.set_share(config->scheduling.retry_budget);
}

}  // namespace trefoilmill
