/// Event handlers of endpoint_scheduler: update its state, its warm-up ramp and
/// its latency estimate.
#include <algorithm>
#include <chrono>
#include <utility>

#include "endpoint_scheduler_impl.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Consecutive failures (shed requests, resets, failed connection attempts)
/// after which the endpoint is assumed to have restarted cold.
constexpr int kColdAfterFailures = 4;
/// Consecutive replies slower than kSlowReplyFactor times the baseline latency
/// after which the endpoint is assumed to have restarted cold.
constexpr int kColdAfterSlowReplies = 4;
constexpr int kSlowReplyFactor = 8;
/// While mean latency exceeds the baseline by this factor, the allowance of a
/// cold endpoint is not raised.
constexpr double kWarmLatencyFactor = 1.5;
/// Limit of that, from the cold start on: the endpoint may have become slower
/// permanently.
constexpr duration kMaxSlowRampHold = seconds(30);
/// Minimum time between two cold starts that are assumed because of latency.
constexpr duration kMinLatencyColdStartInterval = seconds(5);
/// Pause in sending after consecutive failures. The endpoint's retry_after is
/// clamped to this range.
constexpr duration kMinFailureBackoff = milliseconds(2);
constexpr duration kMaxFailureBackoff = milliseconds(200);
/// Delay before connecting again; doubles with each failure in a row.
constexpr duration kMinReconnectDelay = milliseconds(25);
constexpr duration kMaxReconnectDelay = seconds(1);
constexpr int kMaxReconnectDoublings = 6;
/// Longest time that an orphaned attempt occupies its slot.
constexpr duration kMaxOrphanedSlotHold = seconds(2);
/// Minimum delay between two cancellations of an orphaned attempt.
constexpr duration kMinCancelRetryDelay = milliseconds(20);
/// Interval of health checks when nothing else triggers one.
constexpr duration kHealthInterval = seconds(1);

/// Whether this kind of reply proves that the attempt did not run.
bool ConfirmsNotRun(reply_kind kind) {
  switch (kind) {
    case reply_kind::kShed:
    case reply_kind::kDraining:
    case reply_kind::kCancelled:
    case reply_kind::kDeadlineExceeded:
    case reply_kind::kVersionGone:
    case reply_kind::kNotSent:
      return true;
    default:
      return false;
  }
}

reason_code ReasonForReply(reply_kind kind) {
  switch (kind) {
    case reply_kind::kAnswer:
      return reason_code::kNone;
    case reply_kind::kShed:
      return reason_code::kShed;
    case reply_kind::kDraining:
      return reason_code::kDraining;
    case reply_kind::kCancelled:
      return reason_code::kCancelled;
    case reply_kind::kDeadlineExceeded:
    case reply_kind::kTimeout:
      return reason_code::kDeadlineExceeded;
    case reply_kind::kVersionGone:
      return reason_code::kVersionGone;
    case reply_kind::kError:
      return reason_code::kEndpointError;
    case reply_kind::kMalformed:
      return reason_code::kMalformedReply;
    case reply_kind::kMismatch:
      return reason_code::kWrongVersion;
    case reply_kind::kReset:
      return reason_code::kConnectionReset;
    case reply_kind::kNotSent:
      return reason_code::kConnectionRefused;
  }
  return reason_code::kNone;
}

/// Whether the exchange ended without a reply although the endpoint may be
/// running the attempt.
bool EndedWithoutReply(reply_kind kind) {
  return kind == reply_kind::kReset || kind == reply_kind::kTimeout;
}

}  // namespace

void endpoint_scheduler::impl::Submit(time_point now, shard_task task) {
  if (in_flight.contains(task.attempt) || queue.Find(task.attempt) != nullptr) {
    return;
  }
  const auto refusal = RefusalReason();
  if (refusal.has_value()) {
    FinishNotRun(task, *refusal, RetryAfter(now, *refusal));
    return;
  }
  if (task.is_hedge() && !ramp.warm()) {
    FinishNotRun(task, reason_code::kColdLimit);
    return;
  }
  if (DeadlineUnmeetable(now, task)) {
    ++counters.refused_deadline;
    FinishNotRun(task, reason_code::kDeadlineUnmeetable);
    return;
  }
  const auto queued = static_cast<int>(queue.size());
  const bool sent_at_once = queue.empty() && OccupiedSlots() < SlotAllowance();
  if (queued < options.max_queue || sent_at_once) {
    queue.Push(std::move(task));
    return;
  }
  ++counters.refused_queue_full;
  const duration retry_after = QueueDelay(now, queued);
  if (queue.last().priority >= task.priority) {
    FinishNotRun(task, reason_code::kOverloaded, retry_after);
    return;
  }
  const attempt_id evicted = queue.last().attempt;
  FinishNotRun(*queue.Remove(evicted), reason_code::kOverloaded, retry_after);
  queue.Push(std::move(task));
}

void endpoint_scheduler::impl::Cancel(attempt_id attempt, cancel_scope scope) {
  const auto queued = queue.Remove(attempt);
  if (queued.has_value()) {
    FinishNotRun(*queued, reason_code::kCancelled);
    return;
  }
  if (scope == cancel_scope::kQueuedOnly) {
    return;
  }
  const auto running = in_flight.find(attempt);
  if (running != in_flight.end()) {
    running->second.cancel_requested = true;
  }
}

void endpoint_scheduler::impl::ConnectionFailed(time_point now,
                                                connection_id connection) {
  if (pool.Find(connection) == nullptr) {
    return;
  }
  // The peer may have accepted the connection, so it still counts as held for a
  // while.
  pool.Close(now, connection);
  const int doublings =
      std::min(consecutive_connect_failures, kMaxReconnectDoublings);
  const duration delay = kMinReconnectDelay * (1 << doublings);
  reconnect_at = now + std::min(delay, kMaxReconnectDelay);
  ++consecutive_connect_failures;
  ++counters.connection_failures;
  ramp.MarkSuspect();
  CountFailure(now, std::nullopt);
}

void endpoint_scheduler::impl::ConnectionClosed(time_point now,
                                                connection_id connection) {
  pooled_connection* closed = pool.Find(connection);
  if (closed == nullptr) {
    return;
  }
  switch (closed->used_for) {
    case connection_use::kOpening:
      ConnectionFailed(now, connection);
      return;
    case connection_use::kSearch:
      Replied(now, connection, {.kind = reply_kind::kReset});
      return;
    case connection_use::kCancel:
      CancelReplied(now, *closed, cancel_reply::kFailed);
      return;
    case connection_use::kIdle:
    case connection_use::kHealth:
      ConnectionLost(connection);
      return;
  }
}

void endpoint_scheduler::impl::ConnectionLost(connection_id connection) {
  pool.OnClosedByEndpoint(connection);
  ++counters.connection_failures;
  ramp.MarkSuspect();
}

void endpoint_scheduler::impl::Replied(time_point now,
                                       connection_id connection,
                                       endpoint_reply reply) {
  const pooled_connection* used = pool.Find(connection);
  if (used == nullptr || used->used_for != connection_use::kSearch) {
    return;
  }
  const auto found = in_flight.find(used->attempt);
  const in_flight_request ended = std::move(found->second);
  in_flight.erase(found);
  ReleaseConnection(now, connection, reply);
  RecordReply(now, ended, reply);
  if (EndedWithoutReply(reply.kind) && !ended.confirmed_not_run) {
    HoldSlot(now, ended);
  }
  if (!ended.outcome_reported) {
    Finish(ended.task, MakeShardReply(now, ended, std::move(reply)));
  }
}

void endpoint_scheduler::impl::ReleaseConnection(time_point now,
                                                 connection_id connection,
                                                 const endpoint_reply& reply) {
  switch (reply.kind) {
    case reply_kind::kReset:
    case reply_kind::kNotSent:
      ConnectionLost(connection);
      return;
    case reply_kind::kTimeout:
      Close(now, connection);
      ramp.MarkSuspect();
      return;
    case reply_kind::kMalformed:
    case reply_kind::kMismatch:
      Close(now, connection);
      return;
    default:
      break;
  }
  pooled_connection* used = pool.Find(connection);
  used->used_for = connection_use::kIdle;
  if (!reply.instance.value().empty()) {
    used->instance = reply.instance;
  }
}

void endpoint_scheduler::impl::RecordReply(time_point now,
                                           const in_flight_request& ended,
                                           const endpoint_reply& reply) {
  if (!reply.instance.value().empty()) {
    ramp.ObserveInstance(now, reply.instance, ended.epoch);
  }
  switch (reply.kind) {
    case reply_kind::kAnswer:
      ++counters.answered;
      consecutive_failures = 0;
      if (now <= ended.task.deadline) {
        ramp.RecordSuccess(ended.epoch);
      }
      RecordLatency(now, now - ended.sent_at);
      return;
    case reply_kind::kShed:
      ++counters.shed;
      ramp.HalveAllowance(now, ended.sent_at);
      CountFailure(now, reply.retry_after);
      return;
    case reply_kind::kDraining:
      endpoint_draining = true;
      next_health_check = now + kHealthInterval;
      return;
    case reply_kind::kReset:
      CountFailure(now, std::nullopt);
      return;
    case reply_kind::kTimeout:
      ++counters.timeouts;
      return;
    default:
      return;
  }
}

duration endpoint_scheduler::impl::BaselineLatency() const {
  return replica_latency > duration::zero() ? replica_latency
                                            : latency.baseline();
}

bool endpoint_scheduler::impl::LatencyStillHigh(time_point now) const {
  const duration baseline = BaselineLatency();
  return baseline > duration::zero() &&
         ToMilliseconds(latency.mean()) >
             kWarmLatencyFactor * ToMilliseconds(baseline) &&
         now < ramp.cold_since() + kMaxSlowRampHold;
}

void endpoint_scheduler::impl::RecordLatency(time_point now, duration sample) {
  const duration baseline = BaselineLatency();
  latency.Observe(now, sample);
  const bool low_load = 2 * OccupiedSlots() <= limits.slots;
  const bool slow =
      baseline > duration::zero() && sample > kSlowReplyFactor * baseline;
  if (!low_load) {
    return;
  }
  consecutive_slow_replies = slow ? consecutive_slow_replies + 1 : 0;
  if (consecutive_slow_replies < kColdAfterSlowReplies ||
      now < next_latency_cold_start) {
    return;
  }
  consecutive_slow_replies = 0;
  next_latency_cold_start = now + kMinLatencyColdStartInterval;
  ramp.ResetToCold(now);
}

void endpoint_scheduler::impl::CountFailure(
    time_point now,
    std::optional<duration> retry_after) {
  ++consecutive_failures;
  if (consecutive_failures < 2) {
    return;
  }
  const duration pause = std::clamp(retry_after.value_or(kMinFailureBackoff),
                                    kMinFailureBackoff, kMaxFailureBackoff);
  backoff_until = std::max(backoff_until, now + pause);
  if (consecutive_failures == kColdAfterFailures) {
    ramp.ResetToCold(now);
  }
}

void endpoint_scheduler::impl::HoldSlot(time_point now,
                                        const in_flight_request& ended) {
  orphaned_attempts.push_back({.attempt = ended.task.attempt,
                               .next_cancel_at = now,
                               .expires_at = now + kMaxOrphanedSlotHold});
}

shard_reply endpoint_scheduler::impl::MakeShardReply(
    time_point now,
    const in_flight_request& ended,
    endpoint_reply reply) const {
  shard_reply outcome;
  outcome.attempt = ended.task.attempt;
  outcome.reason = ReasonForReply(reply.kind);
  outcome.retry_after = reply.retry_after;
  outcome.service_time = now - ended.sent_at;
  outcome.instance = reply.instance;
  if (reply.kind == reply_kind::kAnswer) {
    outcome.outcome = verdict::kRan;
    outcome.payload = std::move(reply.payload);
    return outcome;
  }
  const bool not_run = ConfirmsNotRun(reply.kind) || ended.confirmed_not_run;
  outcome.outcome = not_run ? verdict::kNotRun : verdict::kMayHaveRun;
  return outcome;
}

void endpoint_scheduler::impl::CancelReplied(time_point now,
                                             pooled_connection& connection,
                                             cancel_reply reply) {
  const attempt_id attempt = connection.attempt;
  const auto orphan =
      std::ranges::find(orphaned_attempts, attempt, &orphaned_attempt::attempt);
  if (orphan != orphaned_attempts.end()) {
    orphan->cancel_in_progress = false;
    orphan->next_cancel_at =
        now + std::max(latency.mean(), kMinCancelRetryDelay);
  }
  if (reply == cancel_reply::kFailed) {
    ConnectionLost(connection.id);
    return;
  }
  connection.used_for = connection_use::kIdle;
  const auto running = in_flight.find(attempt);
  if (running != in_flight.end() && reply == cancel_reply::kNotRun) {
    running->second.confirmed_not_run = true;
  }
  if (orphan != orphaned_attempts.end() && reply != cancel_reply::kRunning) {
    orphaned_attempts.erase(orphan);
  }
}

void endpoint_scheduler::impl::HealthReplied(time_point now,
                                             pooled_connection& connection,
                                             const health_report& report) {
  connection.used_for = connection_use::kIdle;
  connection.instance = report.instance;
  next_health_check = now + kHealthInterval;
  if (endpoint_draining && report.state != reported_state::kDraining) {
    endpoint_draining = false;
    ramp.ResetToCold(now);
  }
  const bool rise_was_due = ramp.rise_due(now);
  ApplyHealthReport(now, report);
  // The report itself may have reset the ramp.
  if (!rise_was_due || report.state != reported_state::kWarm ||
      !ramp.rise_due(now)) {
    return;
  }
  if (LatencyStillHigh(now)) {
    ramp.PostponeRise(now);
    return;
  }
  ramp.RaiseAllowance(now);
}

void endpoint_scheduler::impl::ApplyHealthReport(time_point now,
                                                 const health_report& report) {
  if (!report.instance.value().empty() && report.instance != ramp.instance()) {
    ramp.ObserveInstance(now, report.instance, ramp.epoch());
  }
  if (report.state == reported_state::kCold) {
    ramp.OnReportedCold(now);
  }
  if (report.state == reported_state::kDraining && !endpoint_draining) {
    endpoint_draining = true;
    next_health_check = now + kHealthInterval;
  }
}

void endpoint_scheduler::impl::RecordDeadlineExceeded(
    time_point now,
    const in_flight_request& overdue) {
  const duration time_limit = overdue.task.deadline - overdue.sent_at;
  if (time_limit >= 2 * latency.mean()) {
    ramp.HalveAllowance(now, overdue.sent_at);
  }
}

}  // namespace trefoilmill
