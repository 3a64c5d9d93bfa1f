/// Implementation of query_run: planning, reply handling, retries, hedging and
/// completion of one query.
#ifndef TREFOILMILL_QUERY_STATE_H_
#define TREFOILMILL_QUERY_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "query_sender.h"
#include "query_shards.h"
#include "trefoilmill/caller_query.h"
#include "trefoilmill/entry_context.h"
#include "trefoilmill/query_run.h"

namespace trefoilmill {

/// The public functions are those of query_run.
class query_run::state {
 public:
  state(time_point now, caller_query query, entry_context& context);

  query_actions Start(time_point now);
  query_actions OnReplies(time_point now, std::vector<shard_reply> replies);
  query_actions OnHedgeStarted(time_point now, attempt_id attempt);
  query_actions OnHostLost(time_point now, const host_id& host);
  query_actions Cancel(time_point now);
  query_actions Tick(time_point now);

  bool finished() const { return finished_; }
  const caller_query& query() const { return query_; }
  const std::vector<service_id>& overloaded_services() const {
    return overloaded_services_;
  }

 private:
  // Planning.

  /// Pins a snapshot that is not in `unavailable_versions_`. Returns false if
  /// there is none.
  bool Plan(time_point now);
  /// Abandons the plan and pins another snapshot. Returns false, and changes at
  /// most `unavailable_versions_`, if that is not permitted or there is none.
  bool Replan(time_point now, query_actions& actions);
  bool CanReplan(time_point now) const;
  /// Marks waiting shards as missing if no usable replica has the version.
  void MarkShardsWithoutVersion(time_point now);
  /// Cancels and ends all outstanding attempts.
  void CancelOutstanding(time_point now, query_sender& sender);

  // Replies.

  void HandleReply(time_point now, shard_reply reply, query_sender& sender);
  void HandleAnswer(time_point now,
                    shard_progress& shard,
                    shard_reply reply,
                    query_sender& sender);
  void HandleFailure(time_point now,
                     shard_progress& shard,
                     const shard_reply& reply);
  void ScheduleRetry(time_point now,
                     shard_progress& shard,
                     const shard_reply& reply);
  /// After all replicas were tried: schedules another round over all of them,
  /// or marks the shard as missing if the deadline comes first.
  void StartRetryRound(time_point now,
                       shard_progress& shard,
                       std::optional<duration> retry_after);
  /// Updates the endpoint and latency statistics and the hedge budget.
  void RecordReply(time_point now,
                   const shard_attempt& attempt,
                   const shard_reply& reply);

  // Sending.

  void SendDueShards(time_point now, query_sender& sender);
  void SendShard(time_point now, std::size_t index, query_sender& sender);
  void HandleNoReplica(time_point now, shard_progress& shard);
  void HedgeDueShards(time_point now, query_sender& sender);
  void HedgeShard(time_point now, std::size_t index, query_sender& sender);
  bool TryHedge(std::size_t index, attempt_id original, query_sender& sender);
  /// Sends a retry to another replica if the owner of `original` has been
  /// silent since it was sent.
  bool TryResendForSilentOwner(std::size_t index,
                               attempt_id original,
                               query_sender& sender);
  /// Delay before a hedge; nullopt if hedging is off or no latency is known.
  std::optional<duration> HedgeDelay(time_point now, const service_id& service);

  // Completion.

  /// Runs at the end of each event: replans and sends what is due, then adds
  /// the final action or the next wake_query_at.
  query_actions Advance(time_point now, query_actions actions);
  bool ShouldFinish(time_point now) const;
  bool CoverageSuffices() const;
  time_point NextWake() const;
  void Finish(time_point now, query_actions& actions);
  void Refuse(time_point now, failure error, query_actions& actions);
  query_sender MakeSender(time_point now);

  caller_query query_;
  entry_context& context_;
  time_point started_;
  time_point deadline_;
  /// Set for answer_policy::kLatencyFirst.
  std::optional<time_point> latency_target_;
  /// Configuration at the start of the query.
  std::shared_ptr<const deployment> config_;
  /// Keeps the layout alive that `shards_` refers to.
  std::shared_ptr<const snapshot_catalog> catalog_;
  query_shards shards_;
  /// Hedge delays by service, computed once per plan.
  std::map<service_id, std::optional<duration>> hedge_delays_;
  /// Versions of abandoned plans.
  std::set<snapshot_version> unavailable_versions_;
  /// Combined verdict of the abandoned plans.
  verdict prior_verdict_ = verdict::kNotRun;
  bool replanned_ = false;
  /// Set while handling replies if no usable replica of a shard has the
  /// version.
  bool version_unavailable_ = false;
  bool finished_ = false;
  std::vector<service_id> overloaded_services_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_QUERY_STATE_H_
