/// Batches the sub-requests and cancellations of one query into messages: all
/// sub-requests for one owner share one message.
#ifndef TREFOILMILL_QUERY_SENDER_H_
#define TREFOILMILL_QUERY_SENDER_H_

#include <map>
#include <optional>

#include "query_shards.h"
#include "trefoilmill/caller_query.h"
#include "trefoilmill/entry_context.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/query_run.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Time left until the query's deadline, minus a margin for the reply. An owner
/// or endpoint that lets a request expire after this time can still report
/// before the deadline that it did not run.
duration RemainingAfterReplyMargin(time_point now, time_point deadline);

/// Chooses replicas for sub-requests and collects the outgoing messages while
/// query_run handles one event. Shards are given by index into
/// query_shards::shards().
class query_sender {
 public:
  /// All referenced objects must outlive the sender.
  query_sender(time_point now,
               time_point deadline,
               const caller_query& query,
               entry_context& context,
               query_shards& shards);

  /// Sends shard `index` to a replica that was not tried in this round. Returns
  /// false if no such replica is usable and has an owner.
  bool Send(std::size_t index, attempt_kind kind);
  /// Sends a hedge of the outstanding attempt `original` to a warm replica with
  /// a free slot. Returns false if there is none.
  bool SendHedge(std::size_t index, attempt_id original);
  /// Sends a retry while attempt `original` is still outstanding. Unlike for
  /// a hedge, a cold replica may be chosen. Returns false as Send() does.
  bool SendConcurrentRetry(std::size_t index, attempt_id original);
  /// Requests cancellation of an outstanding attempt, or with `only_queued`
  /// only if it still queues at the owner. The attempt stays outstanding;
  /// unknown ids are ignored.
  void CancelAttempt(attempt_id attempt, bool only_queued);

  /// Returns the collected messages as actions and clears them.
  query_actions TakeActions();

 private:
  bool SendToReplica(std::size_t index,
                     attempt_kind kind,
                     std::optional<attempt_id> hedge_of);
  attempt_id NewAttemptId();
  shard_query_message& MessageFor(const host_id& owner);
  void CountAttempt(attempt_kind kind);

  time_point now_;
  time_point deadline_;
  const caller_query& query_;
  entry_context& context_;
  query_shards& shards_;
  std::map<host_id, shard_query_message> messages_;
  /// Keyed by owner and `only_queued`.
  std::map<std::pair<host_id, bool>, shard_cancel_message> cancels_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_QUERY_SENDER_H_
