/// When request_run answers, and with what.
#include <algorithm>
#include <ranges>
#include <utility>

#include "request_timing.h"
#include "trefoilmill/request/request_run.h"

namespace trefoilmill {
namespace {

/// A request that gets no free connection within the objective divided by this
/// divisor is refused, so that its caller can still be served in time.
constexpr int kCapacityWaitDivisor = 5;
/// Retry delay for callers after endpoints refused a request due to load.
constexpr duration kShedRetryAfter = std::chrono::milliseconds(100);

}  // namespace

double request_run::Coverage() const {
  return static_cast<double>(counts_.answered) /
         static_cast<double>(shards_.size());
}

double request_run::AttainableCoverage() const {
  const auto failed =
      std::ranges::count_if(shards_, [](const shard& s) { return s.failed; });
  return 1.0 -
         static_cast<double>(failed) / static_cast<double>(shards_.size());
}

duration request_run::TimeLeft(time_point now) const {
  return now < objective_deadline_ ? objective_deadline_ - now
                                   : answer_deadline_ - now;
}

// Nobody can be told that a request which other hosts have sent did not run, so
// that refusing it early helps no caller.
time_point request_run::CapacityDeadline() const {
  if (HasEarlierAttempts()) {
    return answer_deadline_;
  }
  return arrived_ + route_->objective / kCapacityWaitDivisor;
}

void request_run::FinishIfDue(time_point now, actions& out) {
  if (finished_) {
    return;
  }
  if (const auto* gather = std::get_if<gather_target>(&route_->target)) {
    FinishGatherIfDue(now, *gather, out);
  } else {
    FinishRelayIfDue(now, out);
  }
  if (!finished_ && now >= answer_deadline_) {
    const reason_code reason = limited_by_stop_
                                   ? reason_code::kShuttingDown
                                   : reason_code::kDeadlineExceeded;
    if (counts_.last_failure == reason_code::kNone) {
      counts_.last_failure = reason;
    }
    Fail(now, reason, out);
  }
  if (!finished_ && counts_.sends == 0 && now >= CapacityDeadline()) {
    Fail(now, reason_code::kOverloaded, out);
  }
}

void request_run::FinishGatherIfDue(time_point now,
                                    const gather_target& target,
                                    actions& out) {
  if (AttainableCoverage() < target.min_coverage || AttainableCoverage() <= 0) {
    Fail(now,
         counts_.last_failure == reason_code::kNone
             ? reason_code::kCoverageTooLow
             : counts_.last_failure,
         out);
    return;
  }
  const bool complete =
      std::ranges::none_of(shards_, [](const shard& s) { return s.pending(); });
  const bool sufficient =
      counts_.answered > 0 && Coverage() >= target.min_coverage;
  // Once the objective is missed, a complete answer is preferred: the request
  // waits for it up to the length of the objective again.
  const time_point full_answer_deadline =
      objective_deadline_ + route_->objective;
  const bool after_objective =
      now < full_answer_deadline && now >= objective_deadline_;
  const bool at_objective =
      after_objective && now - objective_deadline_ < kCallerNetworkTime;
  const bool due =
      at_objective || now >= full_answer_deadline || now >= answer_deadline_;
  if (complete || (sufficient && due)) {
    Finish(MergeReplies(target), out);
  }
}

void request_run::FinishRelayIfDue(time_point now, actions& out) {
  shard& only = shards_.front();
  if (only.reply.has_value()) {
    Finish(relayed_answer{.response = std::move(only.reply->response),
                          .stamp = std::move(only.reply->stamp)},
           out);
    return;
  }
  if (only.failed) {
    Fail(now, counts_.last_failure, out);
  }
}

gathered_answer request_run::MergeReplies(const gather_target& target) const {
  gathered_answer answer;
  std::vector<const std::string*> parts;
  for (const shard& s : shards_) {
    if (!s.reply.has_value()) {
      ++answer.missing;
      continue;
    }
    answer.stamps.push_back(s.reply->stamp);
    parts.push_back(&s.reply->response.body);
  }
  answer.records = MergeRecords(parts, target.top_k);
  return answer;
}

void request_run::Fail(time_point now, reason_code reason, actions& out) {
  const bool may_have_run = std::ranges::any_of(shards_, [](const shard& s) {
    return s.reply.has_value() || !s.in_flight.empty() ||
           s.worst_verdict != verdict::kNotRun;
  });
  // Sends that are only planned cannot have run.
  if (planning_ || !may_have_run) {
    Finish(refused_answer{.reason = reason,
                          .retry_after = RetryAfter(now, reason)},
           out);
    return;
  }
  const bool is_relay = std::holds_alternative<relay_target>(route_->target);
  // A caller would send the request again, which may run only once.
  const bool is_false_promise = last_error_reply_.has_value() &&
                                last_error_reply_->promises_not_run &&
                                route_->retry != retry_rule::kIdempotent;
  if (is_relay && last_error_reply_.has_value() && !is_false_promise &&
      !last_error_reply_->stamp.empty()) {
    Finish(relayed_answer{.response = std::move(last_error_reply_->response),
                          .stamp = std::move(last_error_reply_->stamp)},
           out);
    return;
  }
  Finish(failed_answer{.reason = reason}, out);
}

duration request_run::RetryAfter(time_point now, reason_code reason) const {
  if (reason == reason_code::kShuttingDown) {
    // Other hosts can serve the request at once.
    return duration::zero();
  }
  std::optional<time_point> return_at;
  for (const shard& s : shards_) {
    if (s.failed && s.callers_return_at.has_value()) {
      return_at = std::max(return_at.value_or(now), *s.callers_return_at);
    }
  }
  if (return_at.has_value()) {
    return std::max(*return_at - now, kShedRetryAfter);
  }
  return reason == reason_code::kShed ? kShedRetryAfter : kDefaultRetryAfter;
}

void request_run::Finish(caller_answer answer, actions& out) {
  finished_ = true;
  out.emplace_back(finish{std::move(answer)});
}

}  // namespace trefoilmill
