/// A request's way through request_run once it is let in: sends, outcomes and
/// retries.
#include "trefoilmill/request/request_run.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "request_timing.h"

namespace trefoilmill {
namespace {

/// Classifies an outcome for the statistics of the endpoint.
send_outcome ClassifyOutcome(const attempt_outcome& outcome) {
  struct visitor {
    send_outcome operator()(const endpoint_replied& r) const {
      const bool success = r.response.status / 100 == 2 && !r.stamp.empty();
      return success ? send_outcome::kSucceeded : send_outcome::kFailed;
    }
    send_outcome operator()(const endpoint_refused&) const {
      return send_outcome::kNotExecuted;
    }
    send_outcome operator()(const reply_lost& l) const {
      return l.reason == reason_code::kDeadlineExceeded
                 ? send_outcome::kTimedOut
                 : send_outcome::kFailed;
    }
  };
  return std::visit(visitor{}, outcome);
}

/// Returns why an attempt without a good reply failed.
reason_code FailureReason(const attempt_outcome& outcome) {
  struct visitor {
    reason_code operator()(const endpoint_replied&) const {
      return reason_code::kEndpointError;
    }
    reason_code operator()(const endpoint_refused& r) const { return r.reason; }
    reason_code operator()(const reply_lost& l) const { return l.reason; }
  };
  return std::visit(visitor{}, outcome);
}

}  // namespace

request_run::request_run(std::shared_ptr<const route_table> table,
                         const route& r,
                         std::vector<service_id> services,
                         time_point arrived,
                         time_point deadline,
                         std::optional<request_identity> identity,
                         request_owner owner,
                         const earlier_attempts& earlier)
    : table_(std::move(table)),
      route_(&r),
      identity_(identity),
      owner_(std::move(owner.id)),
      priority_{.organisation = owner.priority, .route = r.priority},
      arrived_(arrived),
      answer_deadline_(
          std::min(deadline - kAnswerDeliveryMargin, arrived + r.timeout)),
      objective_deadline_(arrived + r.objective - kCallerNetworkTime) {
  for (service_id& service : services) {
    shards_.emplace_back().service = std::move(service);
  }
  for (const service_attempts& sent : earlier) {
    const auto found =
        std::ranges::find(shards_, sent.service, &shard::service);
    if (found == shards_.end()) {
      other_attempts_.push_back(sent);
    } else {
      found->tried_elsewhere = sent.endpoints;
    }
  }
  counts_.shards = shards_.size();
}

bool request_run::in_flight() const {
  return std::ranges::any_of(
      shards_, [](const shard& s) { return !s.in_flight.empty(); });
}

void request_run::Dispatch(time_point now,
                           shared_request_state& shared,
                           std::size_t index,
                           actions& out) {
  shard& s = shards_[index];
  const auto selection =
      SelectEndpoint(now, shared, s, ExpectedLatency(shared, *route_),
                     TimeLeft(now), endpoint_selector::purpose::kFirst);
  if (const auto* selected =
          std::get_if<endpoint_selector::selected>(&selection)) {
    SendTo(now, shared, index, *selected, out);
    return;
  }
  if (std::holds_alternative<endpoint_selector::no_capacity>(selection)) {
    s.awaiting_capacity = true;
    out.emplace_back(await_capacity{.shard = index,
                                    .service = s.service,
                                    .objective_deadline = objective_deadline_,
                                    .over_share = IsOverShare(now, shared)});
    return;
  }
  FailShard(now, shared, s, ObstacleOf(selection));
  ++counts_.without_endpoint;
  counts_.last_failure = reason_code::kNoReplica;
}

bool request_run::HasEarlierAttempts() const {
  return !other_attempts_.empty() ||
         std::ranges::any_of(shards_, [](const shard& s) {
           return !s.tried_elsewhere.empty();
         });
}

void request_run::CountFirstSend(time_point now,
                                 shared_request_state& shared,
                                 const shard& s) {
  if (!s.in_flight.empty() && s.tried_elsewhere.empty()) {
    shared.extra_sends.OnFirstSend(now, s.service);
  }
}

void request_run::FailShard(time_point now,
                            shared_request_state& shared,
                            shard& s,
                            resend_obstacle obstacle) {
  s.failed = true;
  s.obstacle = obstacle;
  s.callers_return_at =
      shared.selector.CallersMayReturnAt(now, shared.registry, s.service);
}

void request_run::SendTo(time_point now,
                         shared_request_state& shared,
                         std::size_t index,
                         const endpoint_selector::selected& selected,
                         actions& out) {
  shard& s = shards_[index];
  const endpoint_id& endpoint = selected.endpoint;
  const attempt_id id(++shared.last_attempt_id);
  s.tried_endpoints.push_back(endpoint);
  s.in_flight.push_back(
      {.id = id,
       .endpoint = endpoint,
       .started_ms = selected.started_ms,
       .sent = now,
       .oldest_at_endpoint = shared.selector.OnSend(now, endpoint, id),
       .sent_alone = IsCautious()});
  s.awaiting_capacity = false;
  s.obstacle = resend_obstacle::kNone;
  ++counts_.sends;
  out.emplace_back(send{.attempt = id,
                        .shard = index,
                        .endpoint = endpoint,
                        .deadline = answer_deadline_});
}

request_run::actions request_run::OnOutcome(time_point now,
                                            shared_request_state& shared,
                                            attempt_id id,
                                            attempt_outcome outcome) {
  actions out;
  const auto matching_shard =
      std::ranges::find_if(shards_, [&](const shard& s) {
        return std::ranges::find(s.in_flight, id, &attempt::id) !=
               s.in_flight.end();
      });
  if (matching_shard == shards_.end()) {
    return out;
  }
  shard& s = *matching_shard;
  const auto ended = std::ranges::find(s.in_flight, id, &attempt::id);
  const attempt done = std::move(*ended);
  s.in_flight.erase(ended);
  const send_outcome send_result = ClassifyOutcome(outcome);
  shared.selector.OnSendFinished(now, done.endpoint, id,
                                 ExpectedLatency(shared, *route_), send_result);
  RecordVersionAnswer(now, shared, done, outcome);
  if (const auto* refused = std::get_if<endpoint_refused>(&outcome);
      refused != nullptr && refused->reason == reason_code::kWrongInstance) {
    shared.registry.MarkAddressReused(now, done.endpoint);
  }
  if (const auto* lost = std::get_if<reply_lost>(&outcome)) {
    RecordLoss(now, shared, done, lost->reason);
  }
  if (send_result == send_outcome::kSucceeded) {
    shared.latencies[route_->id].Record(now - done.sent);
    RecordReply(now, shared);
  }
  if (finished_ || !s.pending()) {
    return out;
  }
  if (send_result == send_outcome::kSucceeded) {
    s.reply = std::move(std::get<endpoint_replied>(outcome));
    const bool was_cautious = IsCautious();
    ++counts_.answered;
    ReleaseHeld(now, shared, out);
    if (was_cautious) {
      HedgeLateShards(now, shared, out);
    }
    FinishIfDue(now, out);
  } else {
    counts_.last_failure = FailureReason(outcome);
    if (send_result != send_outcome::kNotExecuted) {
      s.worst_verdict = verdict::kMayHaveRun;
    }
    if (auto* replied = std::get_if<endpoint_replied>(&outcome)) {
      s.worst_verdict = verdict::kRan;
      last_error_reply_ = std::move(*replied);
    }
    RetryOrFail(now, shared,
                static_cast<std::size_t>(
                    std::distance(shards_.begin(), matching_shard)),
                out);
    FinishIfDue(now, out);
    RecordFailure(now, shared);
  }
  ScheduleWake(now, shared, out);
  return out;
}

void request_run::RecordVersionAnswer(time_point now,
                                      shared_request_state& shared,
                                      const attempt& done,
                                      const attempt_outcome& outcome) const {
  const auto* lost = std::get_if<reply_lost>(&outcome);
  const bool timed_out =
      lost != nullptr && lost->reason == reason_code::kDeadlineExceeded;
  // Broken connections tell of hosts and links rather than of the software.
  if (!timed_out && !std::holds_alternative<endpoint_replied>(outcome)) {
    return;
  }
  shared.rollouts.OnAnswer(
      now, shared.registry,
      {.route = route_->id,
       .endpoint = done.endpoint,
       .sent = done.sent,
       .expected = ExpectedLatency(shared, *route_),
       .failed = ClassifyOutcome(outcome) == send_outcome::kFailed});
}

void request_run::RetryOrFail(time_point now,
                              shared_request_state& shared,
                              std::size_t index,
                              actions& out) {
  if (!shards_[index].in_flight.empty()) {
    return;
  }
  if (IsCautious()) {
    Hold(now, shared, index, out);
    return;
  }
  Retry(now, shared, index, out);
}

void request_run::Retry(time_point now,
                        shared_request_state& shared,
                        std::size_t index,
                        actions& out) {
  shard& s = shards_[index];
  if (MustStop(now, shared)) {
    FailShard(now, shared, s, resend_obstacle::kEndpointsEnded);
    return;
  }
  if (!CanRetry(s) || answer_deadline_ - now < kMinTimeToSend) {
    FailShard(now, shared, s, resend_obstacle::kAttemptLimit);
    return;
  }
  if (!shared.extra_sends.TrySpend(now, s.service)) {
    ++counts_.budget_refusals;
    FailShard(now, shared, s, resend_obstacle::kBudget);
    return;
  }
  ++counts_.retries;
  Dispatch(now, shared, index, out);
}

request_run::actions request_run::OnCapacity(time_point now,
                                             shared_request_state& shared,
                                             std::size_t index) {
  actions out;
  shard& s = shards_[index];
  if (finished_ || !s.awaiting_capacity) {
    return out;
  }
  const bool is_first_send = s.tried_endpoints.empty();
  Dispatch(now, shared, index, out);
  if (is_first_send) {
    CountFirstSend(now, shared, s);
  }
  if (IsCautious()) {
    SendNextHeld(now, shared, out);
  }
  FinishIfDue(now, out);
  ScheduleWake(now, shared, out);
  return out;
}

request_run::actions request_run::Tick(time_point now,
                                       shared_request_state& shared) {
  actions out;
  if (finished_) {
    return out;
  }
  if (deferred_until_.has_value()) {
    return ContinueDeferred(now, shared);
  }
  HedgeLateShards(now, shared, out);
  WarnOfSilence(now, shared);
  FinishIfDue(now, out);
  ScheduleWake(now, shared, out);
  return out;
}

void request_run::ScheduleWake(time_point now,
                               const shared_request_state& shared,
                               actions& out) const {
  if (finished_) {
    return;
  }
  time_point next = answer_deadline_;
  const auto consider = [&](time_point at) {
    if (at > now) {
      next = std::min(next, at);
    }
  };
  if (counts_.sends == 0) {
    consider(CapacityDeadline());
  }
  consider(objective_deadline_);
  consider(objective_deadline_ + route_->objective);
  const duration delay = HedgeDelay(shared);
  for (const shard& s : shards_) {
    if (MayHedge(now, s)) {
      consider(HedgeTime(s, delay));
    }
    for (const attempt& a : s.in_flight) {
      if (counts_.answered == 0 && !a.unanswered) {
        consider(a.sent + delay);
      }
    }
  }
  if (const auto warning = NextWarning(shared)) {
    consider(warning->at);
  }
  out.emplace_back(wake{next});
}

}  // namespace trefoilmill
