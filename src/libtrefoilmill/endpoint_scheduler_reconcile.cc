/// Reconciliation in endpoint_scheduler: derives the actions to take from the
/// state alone, after each event.
#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "endpoint_scheduler_impl.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

/// How long a reply is awaited beyond the deadline: the slot stays occupied
/// until the endpoint replies.
constexpr duration kReplyGrace = milliseconds(500);
/// Timeout of cancellations and health checks.
constexpr duration kControlTimeout = milliseconds(500);
/// How long after its timeout an exchange is aborted if the caller reported
/// nothing about it.
constexpr duration kReportGrace = milliseconds(500);

}  // namespace

scheduler_actions endpoint_scheduler::impl::Reconcile(time_point now) {
  RemoveExpired(now);
  AbortOverdueExchanges(now);
  FinishPastDeadline(now);
  RefuseQueued(now);
  CloseExcessConnections(now);
  SendCancels(now);
  if (ramp.rise_due(now)) {
    SendHealthCheck(now);
  }
  Dispatch(now);
  SendHealthCheck(now);
  OpenConnections(now);
  ScheduleWake(now);
  previous_slot_allowance = SlotAllowance();
  counters.cold_starts = ramp.cold_starts();
  return std::exchange(actions, {});
}

void endpoint_scheduler::impl::RemoveExpired(time_point now) {
  pool.ExpireClosed(now);
  std::erase_if(orphaned_attempts, [now](const orphaned_attempt& item) {
    return item.expires_at <= now;
  });
}

void endpoint_scheduler::impl::AbortOverdueExchanges(time_point now) {
  while (const pooled_connection* overdue = pool.FindOverdue(now)) {
    const connection_id connection = overdue->id;
    actions.emplace_back(close_connection{.connection = connection});
    ConnectionClosed(now, connection);
  }
}

void endpoint_scheduler::impl::FinishPastDeadline(time_point now) {
  for (auto& [attempt, running] : in_flight) {
    if (running.outcome_reported || running.task.deadline > now) {
      continue;
    }
    running.outcome_reported = true;
    running.cancel_requested = true;
    RecordDeadlineExceeded(now, running);
    shard_reply reply;
    reply.attempt = attempt;
    reply.outcome =
        running.confirmed_not_run ? verdict::kNotRun : verdict::kMayHaveRun;
    reply.reason = reason_code::kDeadlineExceeded;
    reply.service_time = now - running.sent_at;
    Finish(running.task, std::move(reply));
  }
}

void endpoint_scheduler::impl::RefuseQueued(time_point now) {
  if (queue.empty()) {
    return;
  }
  const auto refusal = RefusalReason();
  if (refusal.has_value()) {
    FinishAll(queue.RemoveAll(), *refusal, RetryAfter(now, *refusal));
    return;
  }
  const auto unmeetable =
      queue.RemoveWithDeadlineBy(now + latency.lower_estimate(now));
  counters.refused_deadline += unmeetable.size();
  FinishAll(unmeetable, reason_code::kDeadlineUnmeetable);
  if (SlotAllowance() < previous_slot_allowance) {
    RefuseUnmeetable(now);
  }
}

void endpoint_scheduler::impl::RefuseUnmeetable(time_point now) {
  int tasks_before = 0;
  for (const attempt_id attempt : queue.Attempts()) {
    const duration needed = QueueDelay(now, tasks_before) + latency.mean(now);
    if (now + needed < queue.Find(attempt)->deadline) {
      ++tasks_before;
      continue;
    }
    ++counters.refused_deadline;
    FinishNotRun(*queue.Remove(attempt), reason_code::kDeadlineUnmeetable);
  }
}

void endpoint_scheduler::impl::CloseExcessConnections(time_point now) {
  const auto any = [](const pooled_connection&) { return true; };
  const auto unverified = [this](const pooled_connection& candidate) {
    return !IsVerified(candidate);
  };
  while (pool.size() > ConnectionsToKeep(now) &&
         CloseIdleConnection(now, any)) {
  }
  while (UnverifiedConnections() > UnverifiedConnectionAllowance() &&
         CloseIdleConnection(now, unverified)) {
  }
  while (pool.size() > ConnectionAllowance() ||
         UnverifiedConnections() > UnverifiedConnectionAllowance()) {
    const connection_id opening = pool.FindOpening();
    if (opening.value() == 0) {
      return;
    }
    Close(now, opening);
  }
}

bool endpoint_scheduler::impl::CloseIdleConnection(
    time_point now,
    const std::function<bool(const pooled_connection&)>& wanted) {
  const pooled_connection* idle = pool.FindIdle(wanted);
  if (idle == nullptr) {
    return false;
  }
  Close(now, idle->id);
  return true;
}

void endpoint_scheduler::impl::SendCancels(time_point now) {
  const auto any = [](const pooled_connection&) { return true; };
  const auto send = [&](attempt_id attempt) {
    pooled_connection* idle = pool.FindIdle(any);
    if (idle == nullptr) {
      return false;
    }
    idle->used_for = connection_use::kCancel;
    idle->exchange_deadline = now + kControlTimeout + kReportGrace;
    idle->attempt = attempt;
    actions.emplace_back(send_cancel{.connection = idle->id,
                                     .attempt = attempt,
                                     .timeout = kControlTimeout});
    return true;
  };
  for (orphaned_attempt& item : orphaned_attempts) {
    if (!item.cancel_in_progress && item.next_cancel_at <= now) {
      item.cancel_in_progress = send(item.attempt);
    }
  }
  for (auto& [attempt, running] : in_flight) {
    if (running.cancel_requested && !running.cancel_sent) {
      running.cancel_sent = send(attempt);
    }
  }
}

void endpoint_scheduler::impl::SendHealthCheck(time_point now) {
  const bool due = now >= next_health_check || ramp.rise_due(now);
  const bool checking = pool.Count(connection_use::kHealth) > 0;
  const auto wanted = [&](const pooled_connection& candidate) {
    const bool needs_verification =
        !candidate.checked && !IsVerified(candidate);
    return needs_verification || (due && !checking);
  };
  pooled_connection* idle = pool.FindIdle(wanted);
  if (idle == nullptr) {
    return;
  }
  idle->used_for = connection_use::kHealth;
  idle->exchange_deadline = now + kControlTimeout + kReportGrace;
  idle->checked = true;
  actions.emplace_back(
      check_health{.connection = idle->id, .timeout = kControlTimeout});
}

void endpoint_scheduler::impl::Dispatch(time_point now) {
  const auto usable = [this](const pooled_connection& candidate) {
    return CanSendSearchOn(candidate);
  };
  while (!queue.empty() && now >= backoff_until &&
         OccupiedSlots() < SlotAllowance()) {
    pooled_connection* idle = pool.FindIdle(usable);
    if (idle == nullptr) {
      return;
    }
    shard_task task = *queue.PopFirst();
    const duration remaining = task.deadline - now;
    idle->used_for = connection_use::kSearch;
    idle->exchange_deadline = now + remaining + kReplyGrace + kReportGrace;
    idle->attempt = task.attempt;
    ++counters.sent;
    actions.emplace_back(send_request{.connection = idle->id,
                                      .attempt = task.attempt,
                                      .remaining = remaining,
                                      .timeout = remaining + kReplyGrace});
    if (task.is_hedge()) {
      actions.emplace_back(
          hedge_started{.request = task.request, .attempt = task.attempt});
    }
    const attempt_id attempt = task.attempt;
    in_flight.emplace(attempt, in_flight_request{.task = std::move(task),
                                                 .sent_at = now,
                                                 .epoch = ramp.epoch()});
  }
}

void endpoint_scheduler::impl::OpenConnections(time_point now) {
  while (CanOpenConnection(now)) {
    contacted = true;
    actions.emplace_back(open_connection{.connection = pool.AddOpening()});
  }
}

void endpoint_scheduler::impl::ScheduleWake(time_point now) {
  std::optional<time_point> next = pool.next_close_expiry();
  const auto consider = [&](time_point at) {
    if (at > now && (!next.has_value() || at < *next)) {
      next = at;
    }
  };
  for (const auto& [attempt, running] : in_flight) {
    if (!running.outcome_reported) {
      consider(running.task.deadline);
    }
  }
  for (const orphaned_attempt& item : orphaned_attempts) {
    consider(item.next_cancel_at);
    consider(item.expires_at);
  }
  const auto overdue = pool.next_exchange_deadline();
  if (overdue.has_value()) {
    consider(*overdue);
  }
  const auto earliest = queue.earliest_deadline();
  if (earliest.has_value()) {
    consider(*earliest - latency.lower_estimate(now));
    consider(*earliest);
    consider(backoff_until);
  }
  if (standing != ownership_standing::kNotOwner) {
    consider(reconnect_at);
    consider(next_health_check);
  }
  if (ramp.has_enough_successes()) {
    consider(ramp.next_rise_at());
  }
  if (next.has_value() && next != scheduled_wake) {
    scheduled_wake = next;
    actions.emplace_back(wake_at{.at = *next});
  }
}

void endpoint_scheduler::impl::Finish(const shard_task& task,
                                      shard_reply reply) {
  actions.emplace_back(
      finish_task{.request = task.request, .reply = std::move(reply)});
}

void endpoint_scheduler::impl::FinishNotRun(
    const shard_task& task,
    reason_code reason,
    std::optional<duration> retry_after) {
  shard_reply reply;
  reply.attempt = task.attempt;
  reply.outcome = verdict::kNotRun;
  reply.reason = reason;
  reply.retry_after = retry_after;
  Finish(task, std::move(reply));
}

void endpoint_scheduler::impl::FinishAll(const std::vector<shard_task>& tasks,
                                         reason_code reason,
                                         std::optional<duration> retry_after) {
  std::ranges::for_each(tasks, [&](const shard_task& task) {
    FinishNotRun(task, reason, retry_after);
  });
}

std::optional<duration> endpoint_scheduler::impl::RetryAfter(
    time_point now,
    reason_code reason) const {
  if (reason != reason_code::kConnectionRefused) {
    return std::nullopt;
  }
  return std::max(duration::zero(), reconnect_at - now);
}

void endpoint_scheduler::impl::Close(time_point now, connection_id connection) {
  pool.Close(now, connection);
  actions.emplace_back(close_connection{.connection = connection});
}

bool endpoint_scheduler::impl::DeadlineUnmeetable(
    time_point now,
    const shard_task& task) const {
  const duration wait = QueueDelay(now, queue.CountAheadOf(task));
  const duration latency_needed =
      wait > duration::zero() ? latency.mean(now) : latency.lower_estimate(now);
  return now + wait + latency_needed >= task.deadline;
}

duration endpoint_scheduler::impl::QueueDelay(time_point now,
                                              int tasks_before) const {
  const int slots =
      std::max(1, ramp.suspect() ? ramp.allowed_slots_once_confirmed()
                                 : SlotAllowance());
  const int excess = OccupiedSlots() + tasks_before + 1 - slots;
  return excess <= 0 ? duration::zero() : latency.mean(now) * excess / slots;
}

}  // namespace trefoilmill
