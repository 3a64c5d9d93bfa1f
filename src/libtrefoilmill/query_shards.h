/// Per-shard progress and outstanding attempts of one query under one plan, the
/// pinned snapshot layout. Bookkeeping only: query_run makes the decisions.
#ifndef TREFOILMILL_QUERY_SHARDS_H_
#define TREFOILMILL_QUERY_SHARDS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/replica_choice.h"
#include "trefoilmill/snapshot.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// One outstanding attempt: a shard's sub-request sent to one replica.
struct shard_attempt {
  /// Index into query_shards::shards().
  std::size_t shard = 0;
  endpoint_id endpoint;
  host_id owner;
  time_point sent_at;
  attempt_kind kind = attempt_kind::kFirstAttempt;
  /// For a hedge or concurrent retry: whether its owner has passed it to the
  /// endpoint.
  bool started = false;
};

/// Progress of one shard.
enum class shard_phase {
  kWaiting,   ///< No attempt is outstanding; to be sent at `next_try`.
  kSent,      ///< At least one attempt is outstanding.
  kAnswered,  ///< Final.
  kMissing,   ///< No answer, and no further attempt. Final.
};

/// One shard of the plan.
struct shard_progress {
  shard_ref ref;
  /// Replicas of the shard; owned by the snapshot catalog.
  const shard_layout* layout = nullptr;
  shard_phase phase = shard_phase::kWaiting;
  /// Replicas tried in this round; a new round starts when all were tried.
  std::vector<endpoint_id> tried;
  /// Replicas that reported not to have the index version any more.
  std::set<endpoint_id> without_version;
  std::vector<attempt_id> outstanding;
  /// Attempts sent so far in all rounds, including hedges.
  int attempts = 0;
  /// Whether the outstanding attempt has a hedge or a concurrent retry.
  bool hedged = false;
  /// Combined over all failed attempts; kRan once answered.
  verdict outcome = verdict::kNotRun;
  /// Verdict of the last failed attempt.
  verdict last_outcome = verdict::kNotRun;
  /// Reason of the last failed attempt, or why the shard is missing.
  reason_code reason = reason_code::kNone;
  /// Set once answered.
  std::optional<std::string> payload;
  /// When to send the next attempt, in phase kWaiting.
  time_point next_try;
  /// When to consider a hedge; nullopt without a known hedge delay.
  std::optional<time_point> hedge_at;

  bool done() const {
    return phase == shard_phase::kAnswered || phase == shard_phase::kMissing;
  }
};

/// All shards of the requested services in one snapshot layout, with their
/// attempts.
class query_shards {
 public:
  query_shards() = default;
  /// `layout` must outlive this object and contain all `services`.
  query_shards(const snapshot_layout& layout,
               std::span<const service_id> services);

  snapshot_version version() const { return version_; }
  std::vector<shard_progress>& shards() { return shards_; }
  const std::vector<shard_progress>& shards() const { return shards_; }
  /// Number of answered shards.
  std::size_t answered() const { return answered_; }
  /// Whether every shard is answered or missing.
  bool done() const { return done_ == shards_.size(); }

  /// Adds an outstanding attempt and marks its replica as tried.
  void AddAttempt(attempt_id id, shard_attempt attempt);
  /// The outstanding attempt `id`; nullptr if there is none.
  shard_attempt* FindAttempt(attempt_id id);
  const shard_attempt* FindAttempt(attempt_id id) const;
  /// Whether attempt `id` was sent under this plan and has ended.
  bool HasEnded(attempt_id id) const { return ended_.contains(id); }
  /// Removes and returns an attempt, which must be outstanding.
  shard_attempt EndAttempt(attempt_id id);
  /// Ids of the attempts that are outstanding at `host`, in ascending order.
  std::vector<attempt_id> OutstandingAt(const host_id& host) const;
  /// Ids of all outstanding attempts by owner, in ascending order.
  std::map<host_id, std::vector<attempt_id>> OutstandingByOwner() const;
  bool HasOutstanding() const { return !attempts_.empty(); }

  /// Sets the final phase kAnswered.
  void MarkAnswered(shard_progress& shard, std::string payload);
  /// Sets the final phase kMissing.
  void MarkMissing(shard_progress& shard, reason_code reason);

 private:
  snapshot_version version_;
  std::vector<shard_progress> shards_;
  std::unordered_map<attempt_id, shard_attempt> attempts_;
  std::set<attempt_id> ended_;
  std::size_t answered_ = 0;
  std::size_t done_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_QUERY_SHARDS_H_
