/// A caller's query and what it is answered with. See docs/PROTOCOLS.md for
/// the JSON forms.
#ifndef TREFOILMILL_CALLER_QUERY_H_
#define TREFOILMILL_CALLER_QUERY_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// Lowest and highest priority of a query; under overload higher goes first.
inline constexpr int kLowestPriority = 0;
inline constexpr int kHighestPriority = 9;
inline constexpr int kDefaultPriority = 5;

/// A well-formed query, with the deployment's defaults filled in.
struct caller_query {
  /// Chosen by the caller; the daemon makes one when absent.
  std::optional<request_id> request;
  /// Ask every service; `services` is then empty.
  bool all_services = false;
  /// Services to ask; none twice.
  std::vector<service_id> services;
  /// Opaque; passed on to endpoints.
  std::string body;
  /// Time the caller gives, from the query's arrival.
  duration deadline{};
  answer_policy policy = answer_policy::kCoverageFirst;
  /// Least share of shards; below it the answer is a refusal.
  double min_coverage = 0.0;
  /// False: each shard runs at most once; `key` is then set.
  bool idempotent = true;
  std::optional<idempotency_key> key;
  int priority = kDefaultPriority;
  /// Who asks, for fair shares; the peer's IP number if it gave no name.
  caller_id caller;
};

/// One shard's part of an answer.
struct shard_result {
  shard_ref shard;
  std::string payload;
  friend bool operator==(const shard_result&, const shard_result&) = default;
};

/// A shard that the answer does not cover, and why.
struct missing_shard {
  shard_ref shard;
  reason_code reason = reason_code::kNone;
  verdict outcome = verdict::kNotRun;
  friend bool operator==(const missing_shard&, const missing_shard&) = default;
};

/// The answer to one query, all from one snapshot.
struct query_answer {
  request_id request;
  snapshot_version snapshot;
  /// Shards that were asked; equals results and missing together.
  std::size_t total = 0;
  std::vector<shard_result> results;
  std::vector<missing_shard> missing;
  /// From the query's arrival to this answer.
  duration elapsed{};
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_CALLER_QUERY_H_
