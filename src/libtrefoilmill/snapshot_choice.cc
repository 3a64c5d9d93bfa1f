#include "trefoilmill/snapshot_choice.h"

#include <algorithm>
#include <optional>
#include <ranges>

#include "trefoilmill/replica_choice.h"

namespace trefoilmill {
namespace {

/// Counts the shards of `services` in `layout` and those with a usable replica.
/// Returns nullopt if the version lacks a requested service, because the
/// coverage of a response from it would be overstated, or if there are no
/// shards.
std::optional<snapshot_selection> EvaluateCoverage(
    time_point now,
    const snapshot_layout& layout,
    std::span<const service_id> services,
    const endpoint_table& endpoints) {
  snapshot_selection selection{.layout = &layout};
  for (const service_id& service : services) {
    const auto found = layout.services.find(service);
    if (found == layout.services.end())
      return std::nullopt;
    const auto& shards = found->second.shards;
    selection.total_shards += shards.size();
    selection.servable_shards +=
        std::ranges::count_if(shards, [&](const auto& shard) {
          return HasUsableReplica(now, endpoints, shard.replicas);
        });
  }
  if (selection.total_shards == 0)
    return std::nullopt;
  return selection;
}

/// Compares the fractions of servable shards by cross-multiplication.
bool HasGreaterCoverage(const snapshot_selection& a,
                        const snapshot_selection& b) {
  return a.servable_shards * b.total_shards >
         b.servable_shards * a.total_shards;
}

}  // namespace

result<snapshot_selection> ChooseSnapshot(
    time_point now,
    const snapshot_catalog& catalog,
    std::span<const service_id> services,
    const std::set<snapshot_version>& unavailable,
    const endpoint_table& endpoints) {
  std::optional<snapshot_selection> best;
  for (const snapshot_layout& layout : catalog.versions | std::views::reverse) {
    if (unavailable.contains(layout.version))
      continue;
    const auto selection = EvaluateCoverage(now, layout, services, endpoints);
    if (!selection)
      continue;
    if (selection->servable_shards == selection->total_shards)
      return *selection;
    if (!best || HasGreaterCoverage(*selection, *best))
      best = selection;
  }
  if (best)
    return *best;
  return failure{.outcome = verdict::kNotRun,
                 .reason = reason_code::kNoSnapshot,
                 .detail = "no index version contains all requested services",
                 .retry_after = std::nullopt};
}

}  // namespace trefoilmill
