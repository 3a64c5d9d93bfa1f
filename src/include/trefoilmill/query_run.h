/// State machine that runs one caller's query: it plans the query on an index
/// snapshot, sends sub-requests to the owners of the chosen replicas, merges
/// their replies and ends with exactly one answer or refusal.
///
/// Does no I/O. The daemon creates one run per query, passes it events and
/// performs the actions that each event returns, in order:
///
///     result<query_run> run = query_run::Create(now, query, context);
///     Perform(run.value().Start(now));
///     ...
///     Perform(run.value().OnReplies(now, message.replies));
///
/// A run returns exactly one finish_answer or finish_refusal; after that
/// finished() is true and the run may be destroyed. The endpoint loads in a
/// shard_reply_message are not passed to the run: the daemon passes them to
/// context.endpoints, even if the run no longer exists.
#ifndef TREFOILMILL_QUERY_RUN_H_
#define TREFOILMILL_QUERY_RUN_H_

#include <memory>
#include <variant>
#include <vector>

#include "trefoilmill/caller_query.h"
#include "trefoilmill/entry_context.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/messages.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// @name Actions
/// @{
/// Send the message to the owner role of `owner`, which may be this host. If
/// no link can accept it, pass OnReplies() a shard_reply with verdict kNotRun
/// and reason kHostLost for each attempt.
struct send_shards {
  host_id owner;
  shard_query_message message;
};

/// Send the cancellation to the owner role of `owner`. It has no reply, and a
/// failure to send it needs no report.
struct cancel_shards {
  host_id owner;
  shard_cancel_message message;
};

/// Answer the caller. The last action of the run.
struct finish_answer {
  query_answer answer;
};

/// Refuse the caller's query. The last action of the run.
struct finish_refusal {
  failure error;
};

/// Call Tick() at `at`. Replaces any earlier wake_query_at of this run.
struct wake_query_at {
  time_point at;
};
/// @}

using query_action = std::variant<send_shards,
                                  cancel_shards,
                                  finish_answer,
                                  finish_refusal,
                                  wake_query_at>;
using query_actions = std::vector<query_action>;

/// One query in progress. The `context` given to Create() must outlive the run.
class query_run {
 public:
  /// Validates the query. Its idempotency key, if any, must already be claimed.
  /// All failures have verdict kNotRun; the reason is kNotReady without a
  /// configuration, kNoSnapshot if all services are requested and none is
  /// indexed, kBadRequest for a missing request id or for no or repeated
  /// services, kDeadlineExceeded, or kUnknownService.
  static result<query_run> Create(time_point now,
                                  caller_query query,
                                  entry_context& context);
  ~query_run();
  query_run(query_run&&) noexcept;
  query_run& operator=(query_run&&) noexcept;

  /// Pins a snapshot and sends the first attempt for each shard.
  query_actions Start(time_point now);
  /// Handles replies from an owner. Unknown and duplicate replies are counted
  /// and otherwise ignored.
  query_actions OnReplies(time_point now, std::vector<shard_reply> replies);
  /// The owner has passed hedge `attempt` to its endpoint.
  query_actions OnHedgeStarted(time_point now, attempt_id attempt);
  /// The link to `host` is lost: this query's outstanding attempts there fail
  /// with verdict kMayHaveRun.
  query_actions OnHostLost(time_point now, const host_id& host);
  /// The caller cancelled the query or closed its connection.
  query_actions Cancel(time_point now);
  /// Called at the time of the last wake_query_at; calls at other times are
  /// harmless.
  query_actions Tick(time_point now);

  /// Whether the run has returned its answer or refusal.
  bool finished() const;
  const caller_query& query() const;
  /// Services that lacked capacity for at least one shard, for
  /// admission::Release(). Empty until finished().
  std::vector<service_id> OverloadedServices() const;

 private:
  class state;
  explicit query_run(std::unique_ptr<state> run);
  std::unique_ptr<state> state_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_QUERY_RUN_H_
