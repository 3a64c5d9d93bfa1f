/// What a run observed: the callers' queries, the stand-ins' records, the
/// operators' acts and the configuration in force. All times are microseconds
/// of the system clock, which is one for all processes of a run.
#ifndef TREFOILMILL_LOAD_OBSERVATIONS_H_
#define TREFOILMILL_LOAD_OBSERVATIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

using wall_us = std::uint64_t;
constexpr wall_us kMicrosPerMilli = 1000;
constexpr wall_us kMicrosPerSecond = 1'000'000;

/// One shard's part of an answer.
struct shard_result {
  shard_ref shard;
  std::string payload;
};

/// One shard that an answer lacks.
struct shard_missing {
  shard_ref shard;
  verdict outcome = verdict::kNotRun;
  std::string reason;
};

struct answer {
  std::string request;
  snapshot_version snapshot;
  int answered = 0;
  int total = 0;
  bool whole = false;
  std::vector<shard_result> results;
  std::vector<shard_missing> missing;
};

struct refusal {
  verdict outcome = verdict::kNotRun;
  reason_code reason = reason_code::kNone;
  std::uint64_t retry_after_ms = 0;
};

/// How one sending of a query ended.
enum class try_end {
  kAnswered,
  kRefused,
  kNoConnection,  ///< Nothing was sent.
  kReset,         ///< Broken off after it was sent.
  kTimeout,
  kMalformed,
};

/// One sending of a query to one address. `body` is unique to it.
struct query_try {
  std::string body;
  std::string request;
  socket_address host;
  wall_us sent = 0;
  wall_us ended = 0;
  try_end end = try_end::kNoConnection;
  std::optional<answer> answered;
  std::optional<refusal> refused;
};

/// One query of a caller with all its tries.
struct query_row {
  std::uint64_t number = 0;
  wall_us intended = 0;
  bool idempotent = true;
  std::vector<query_try> tries;
};

/// From the query's intended time to the end of its last try.
inline double LatencyMs(const query_row& row) {
  const wall_us ended =
      row.tries.empty() ? row.intended : row.tries.back().ended;
  return static_cast<double>(ended - row.intended) / kMicrosPerMilli;
}

/// One line of a stand-in endpoint's records; see docs/PROTOCOLS.md.
struct endpoint_record {
  wall_us at = 0;
  endpoint_id endpoint;
  instance_id instance;
  zone_id zone;
  std::string event;
  std::string attempt;
  snapshot_version version;
  shard_ref shard;
  bool idempotent = true;
  std::string body;
};

/// A span of time during which new work must stop, or a planned stop.
enum class mark_kind {
  kZoneOut,
  kZoneBack,
  kEndpointDraining,
  kEndpointBack,
  kPlannedStop,  ///< A host was told to stop gracefully.
};

struct mark {
  wall_us at = 0;
  mark_kind kind = mark_kind::kZoneOut;
  /// Of zone marks, and of endpoint marks for a whole zone.
  std::optional<zone_id> zone;
  /// Of endpoint marks; unset with no zone means every endpoint.
  std::optional<endpoint_id> endpoint;
  /// Of planned stops: the callers' address.
  std::optional<socket_address> host;
};

/// The revision that a host reported to have in force.
struct config_observation {
  wall_us at = 0;
  socket_address host;
  std::uint64_t revision = 0;
};

/// A write of the configuration that was accepted.
struct config_acceptance {
  wall_us at = 0;
  std::uint64_t revision = 0;
};

/// Replicas of each shard, by version; empty if the run did not tell.
using shard_layouts =
    std::map<snapshot_version, std::map<shard_ref, std::vector<endpoint_id>>>;

struct run_observations {
  std::vector<query_row> queries;
  std::vector<endpoint_record> records;
  std::vector<mark> marks;
  std::vector<config_observation> config;
  std::vector<config_acceptance> accepted;
  shard_layouts layouts;
  /// Services that each query asks; empty for all.
  std::set<service_id> services;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_LOAD_OBSERVATIONS_H_
