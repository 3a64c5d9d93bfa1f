/// Index versions and their shard layouts, as published by the platform in the
/// "catalog" document. See docs/PROTOCOLS.md for its JSON format.
#ifndef TREFOILMILL_SNAPSHOT_H_
#define TREFOILMILL_SNAPSHOT_H_

#include <map>
#include <vector>

#include "trefoilmill/ids.h"

namespace trefoilmill {

/// The endpoints that serve one shard.
struct shard_layout {
  std::vector<endpoint_id> replicas;
};

/// The shards of one service in one index version, indexed by shard_id.
struct service_layout {
  std::vector<shard_layout> shards;
};

/// The layout of one index version for every service in it.
struct snapshot_layout {
  snapshot_version version;
  std::map<service_id, service_layout> services;
};

/// The index versions available to queries, in ascending order.
struct snapshot_catalog {
  std::vector<snapshot_layout> versions;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_SNAPSHOT_H_
