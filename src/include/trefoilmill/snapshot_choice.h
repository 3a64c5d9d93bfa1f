/// Selects the index version that a query is pinned to.
#ifndef TREFOILMILL_SNAPSHOT_CHOICE_H_
#define TREFOILMILL_SNAPSHOT_CHOICE_H_

#include <cstddef>
#include <set>
#include <span>

#include "trefoilmill/endpoint_table.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/snapshot.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// A selected index version and its shard coverage.
struct snapshot_selection {
  /// Points into the catalog passed to ChooseSnapshot().
  const snapshot_layout* layout = nullptr;
  /// Number of shards of the requested services in the layout.
  std::size_t total_shards = 0;
  /// Number of those shards that have a usable replica.
  std::size_t servable_shards = 0;
};

/// Returns the newest version in which every shard of `services` has a usable
/// replica. If there is none, returns the version with the largest fraction of
/// such shards; the newest wins a tie. Skips versions in `unavailable` and
/// those that lack a requested service. Fails with kNoSnapshot if none remains.
result<snapshot_selection> ChooseSnapshot(
    time_point now,
    const snapshot_catalog& catalog,
    std::span<const service_id> services,
    const std::set<snapshot_version>& unavailable,
    const endpoint_table& endpoints);

}  // namespace trefoilmill

#endif  // TREFOILMILL_SNAPSHOT_CHOICE_H_
