/// Internal state of endpoint_scheduler. Event handlers only update the state;
/// Reconcile() then derives all resulting actions from it.
#ifndef TREFOILMILL_ENDPOINT_SCHEDULER_IMPL_H_
#define TREFOILMILL_ENDPOINT_SCHEDULER_IMPL_H_

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "connection_pool.h"
#include "endpoint_latency_estimate.h"
#include "task_queue.h"
#include "trefoilmill/endpoint_scheduler.h"
#include "warmup_ramp.h"

namespace trefoilmill {

/// A task that was sent on a connection and whose exchange has not ended.
struct in_flight_request {
  shard_task task;
  time_point sent_at;
  /// warmup_ramp::epoch() when the request was sent.
  std::uint64_t epoch = 0;
  /// The task's outcome was already reported; the request still occupies a
  /// slot.
  bool outcome_reported = false;
  bool cancel_requested = false;
  bool cancel_sent = false;
  /// The endpoint confirmed that it will never run the request.
  bool confirmed_not_run = false;
};

/// An attempt whose exchange ended without a reply. The endpoint may still be
/// running it, so it occupies a slot until the endpoint replies to a
/// cancellation that it is not running the attempt, or until `expires_at`.
struct orphaned_attempt {
  attempt_id attempt;
  time_point next_cancel_at;
  time_point expires_at;
  /// A cancellation was sent and its reply is pending.
  bool cancel_in_progress = false;
};

struct endpoint_scheduler::impl {
  impl(endpoint_config endpoint,
       const endpoint_limits& configured_limits,
       const endpoint_scheduler_options& scheduler_options);

  /// @name Limits
  /// @{
  /// Why new tasks are refused; nullopt if they are accepted.
  std::optional<reason_code> RefusalReason() const;
  /// Maximum number of concurrent requests now.
  int SlotAllowance() const;
  /// Maximum number of connections now.
  int ConnectionAllowance() const;
  /// Number of connections to open up to now; at most ConnectionAllowance().
  int ConnectionTarget(time_point now) const;
  /// Whether requests may be sent while ownership is uncertain.
  bool MaySendWhileUncertain() const;
  /// Requests in flight plus orphaned attempts.
  int OccupiedSlots() const;
  /// Searches in progress on unverified connections.
  int UnverifiedSearches() const;
  /// Number of connections above which idle ones are closed.
  int ConnectionsToKeep(time_point now) const;
  /// Unverified connections, including those being opened.
  int UnverifiedConnections() const;
  /// Maximum number of unverified connections.
  int UnverifiedConnectionAllowance() const;
  /// Whether a search may be sent on this idle connection.
  bool CanSendSearchOn(const pooled_connection& candidate) const;
  /// Whether a reply on this connection came from the process (instance) that
  /// the warm-up ramp refers to.
  bool IsVerified(const pooled_connection& candidate) const;
  /// The last attempt to connect failed and no connection is open.
  bool Unreachable() const;
  /// Whether the limits and the reconnect delay permit a new connection.
  bool CanOpenConnection(time_point now) const;
  /// @}

  /// @name Events
  /// @{
  void Submit(time_point now, shard_task task);
  void Cancel(attempt_id attempt, cancel_scope scope);
  void ConnectionFailed(time_point now, connection_id connection);
  void Replied(time_point now, connection_id connection, endpoint_reply reply);
  void CancelReplied(time_point now,
                     pooled_connection& connection,
                     cancel_reply reply);
  void HealthReplied(time_point now,
                     pooled_connection& connection,
                     const health_report& report);
  /// Applies a health report from any source. Never raises the allowance.
  void ApplyHealthReport(time_point now, const health_report& report);
  /// The peer closed the connection. Also ends the exchange on it, if any.
  void ConnectionClosed(time_point now, connection_id connection);
  /// Removes a connection that was closed by the peer or broke, and marks the
  /// endpoint as suspect.
  void ConnectionLost(connection_id connection);
  /// @}

  /// @name Reconciliation
  /// @{
  /// Runs the steps below in a fixed order and returns the actions to take.
  scheduler_actions Reconcile(time_point now);
  void RemoveExpired(time_point now);
  /// Closes connections whose exchange was not reported on in time.
  void AbortOverdueExchanges(time_point now);
  /// Reports tasks in flight whose deadline has passed; they keep their slots.
  void FinishPastDeadline(time_point now);
  /// Refuses queued tasks that can no longer be sent or would miss their
  /// deadline.
  void RefuseQueued(time_point now);
  /// After the slot allowance fell: refuses queued tasks that would now miss
  /// their deadline.
  void RefuseUnmeetable(time_point now);
  void CloseExcessConnections(time_point now);
  void SendCancels(time_point now);
  /// Sends at most one health check, on an idle connection.
  void SendHealthCheck(time_point now);
  void Dispatch(time_point now);
  void OpenConnections(time_point now);
  void ScheduleWake(time_point now);
  /// @}

  /// @name Helpers of the event handlers and of Reconcile()
  /// @{
  void Finish(const shard_task& task, shard_reply reply);
  void FinishNotRun(const shard_task& task,
                    reason_code reason,
                    std::optional<duration> retry_after = std::nullopt);
  void FinishAll(const std::vector<shard_task>& tasks,
                 reason_code reason,
                 std::optional<duration> retry_after = std::nullopt);
  /// Time until the next attempt to connect if `reason` is
  /// kConnectionRefused; otherwise nullopt.
  std::optional<duration> RetryAfter(time_point now, reason_code reason) const;
  void Close(time_point now, connection_id connection);
  /// Closes one idle connection for which `wanted` is true; returns false if
  /// there is none.
  bool CloseIdleConnection(
      time_point now,
      const std::function<bool(const pooled_connection&)>& wanted);
  /// After an exchange: returns the connection to the idle ones, or closes or
  /// removes it, depending on the kind of reply.
  void ReleaseConnection(time_point now,
                         connection_id connection,
                         const endpoint_reply& reply);
  /// Updates the warm-up ramp, the counters and the latency estimate.
  void RecordReply(time_point now,
                   const in_flight_request& ended,
                   const endpoint_reply& reply);
  /// The deadline passed without a reply. Lowers the allowance unless the
  /// request was sent with less than twice the mean latency left.
  void RecordDeadlineExceeded(time_point now, const in_flight_request& overdue);
  /// Latency that replies are compared with: that of the endpoint's replicas
  /// or, if unknown, this endpoint's best; zero if both are unknown.
  duration BaselineLatency() const;
  /// Whether mean latency still exceeds the baseline by kWarmLatencyFactor, as
  /// it does on a cold endpoint; false after kMaxSlowRampHold.
  bool LatencyStillHigh(time_point now) const;
  void RecordLatency(time_point now, duration sample);
  /// Counts a shed request, a reset or a failed connection attempt. From the
  /// second in a row on, pauses sending for `retry_after` within limits.
  void CountFailure(time_point now, std::optional<duration> retry_after);
  /// Keeps the slot of a request that ended without a reply occupied.
  void HoldSlot(time_point now, const in_flight_request& ended);
  /// Whether the expected queue delay and latency exceed the task's deadline.
  bool DeadlineUnmeetable(time_point now, const shard_task& task) const;
  /// Expected wait of a task with `tasks_before` tasks queued ahead of it.
  duration QueueDelay(time_point now, int tasks_before) const;
  shard_reply MakeShardReply(time_point now,
                             const in_flight_request& ended,
                             endpoint_reply reply) const;
  /// @}

  endpoint_config config;
  /// Limits of the endpoint as configured, for all hosts together.
  endpoint_limits full_limits;
  /// This host's share of `full_limits`.
  endpoint_limits limits;
  endpoint_scheduler_options options;

  warmup_ramp ramp;
  task_queue queue;
  connection_pool pool;
  endpoint_latency_estimate latency;
  std::map<attempt_id, in_flight_request> in_flight;
  std::vector<orphaned_attempt> orphaned_attempts;

  ownership_standing standing = ownership_standing::kNotOwner;
  serving_state serving = serving_state::kInService;
  /// The endpoint reported that it is draining.
  bool endpoint_draining = false;
  /// Whether connections were opened since this host became owner.
  bool contacted = false;

  int consecutive_connect_failures = 0;
  /// Earliest time of the next attempt to connect after a failed one.
  time_point reconnect_at;
  /// Shed requests, resets and failed connection attempts since the last
  /// answer.
  int consecutive_failures = 0;
  /// No request is sent before this time, after consecutive failures.
  time_point backoff_until;
  int consecutive_slow_replies = 0;
  /// Earliest time at which slow replies may cause a cold start again.
  time_point next_latency_cold_start;
  /// Usual latency of the endpoint's replicas; zero if unknown.
  duration replica_latency{};
  time_point next_health_check;

  /// SlotAllowance() at the end of the last Reconcile().
  int previous_slot_allowance = 0;

  scheduler_counters counters;
  /// Time of the last wake_at action; nullopt after Tick().
  std::optional<time_point> scheduled_wake;
  /// Collected for the next return from Reconcile().
  scheduler_actions actions;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_ENDPOINT_SCHEDULER_IMPL_H_
