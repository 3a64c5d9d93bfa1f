/// Whether and when request_run lets a request in: admission, deferral, and the
/// stop of the process.
#include <algorithm>
#include <iterator>
#include <variant>

#include "request_timing.h"
#include "trefoilmill/request/request_run.h"

namespace trefoilmill {
namespace {

/// A caller whose time left is shorter than that of others by more than this
/// has been refused before.
constexpr duration kMinReturnDelay = std::chrono::milliseconds(60);
/// A returned caller's request that is not let in waits for this many
/// objectives at most: most callers do not come a third time, so that a late
/// answer is worth more to them than a second refusal.
constexpr int kMaxDeferralObjectives = 4;
/// How often a deferred request checks whether the load has fallen.
constexpr duration kDeferralInterval = std::chrono::milliseconds(25);
/// A stopping host takes a request if this multiple of its expected latency is
/// left: what it refuses, other hosts can serve, and what it takes too late may
/// run without an answer.
constexpr int kStopSafetyFactor = 2;

}  // namespace

request_run::actions request_run::Start(time_point now,
                                        shared_request_state& shared) {
  actions out;
  if (shared.answer_by.has_value()) {
    LimitAnswerDeadline(*shared.answer_by);
  }
  if (StopsTooSoon(now, shared)) {
    Finish(refused_answer{.reason = reason_code::kShuttingDown,
                          .retry_after = duration::zero()},
           out);
    return out;
  }
  if (answer_deadline_ - now < kMinTimeToSend) {
    Finish(refused_answer{.reason = reason_code::kDeadlineUnmeetable,
                          .retry_after = duration::zero()},
           out);
    return out;
  }
  deadline_admission::prospect prospect =
      Prospect(now, shared, objective_deadline_ - now);
  prospect.returned = HasReturned(now, shared);
  const auto retry_after = table_->has_organisations()
                               ? shared.admission.RetryAfterIfRefused(
                                     AdmittedFraction(now, shared, prospect))
                               : shared.admission.RetryAfterIfRefused(prospect);
  const time_point defer_until =
      std::min(now + kMaxDeferralObjectives * route_->objective,
               answer_deadline_ - route_->objective);
  if (retry_after.has_value() && prospect.returned && defer_until > now &&
      !IsOverShare(now, shared)) {
    deferred_until_ = defer_until;
    return ContinueDeferred(now, shared);
  }
  if (retry_after.has_value()) {
    Finish(refused_answer{.reason = reason_code::kOverloaded,
                          .retry_after = *retry_after},
           out);
    return out;
  }
  return SendAll(now, shared);
}

double request_run::AdmittedFraction(
    time_point now,
    shared_request_state& shared,
    const deadline_admission::prospect& expected) const {
  const bool is_urgent = priority_.IsMostUrgent();
  const auto shards = static_cast<duration::rep>(shards_.size());
  shared.shares.OnRequest(now, owner_, is_urgent,
                          shards * ExpectedLatency(shared, *route_));
  if (is_urgent) {
    // The objectives of urgent routes may be too short to tell whether
    // endpoints are short.
    return shared.shares.AdmittedFraction(now, owner_, is_urgent,
                                          shared.shares.RunnableFraction(now));
  }
  const double runnable = deadline_admission::RunnableFraction(expected);
  shared.shares.OnRunnableFraction(now, runnable);
  return shared.shares.AdmittedFraction(now, owner_, is_urgent, runnable);
}

bool request_run::IsOverShare(time_point now,
                              shared_request_state& shared) const {
  return table_->has_organisations() && shared.shares.IsOverShare(now, owner_);
}

bool request_run::StopsTooSoon(time_point now,
                               const shared_request_state& shared) const {
  if (!limited_by_stop_) {
    return false;
  }
  const duration left = answer_deadline_ - now;
  const auto latency =
      deadline_admission::LatencyForCoverage(Prospect(now, shared, left));
  return !latency.has_value() || *latency * kStopSafetyFactor > left;
}

void request_run::LimitAnswerDeadline(time_point answer_by) {
  if (answer_by >= answer_deadline_) {
    return;
  }
  answer_deadline_ = answer_by;
  limited_by_stop_ = true;
  if (deferred_until_.has_value()) {
    deferred_until_ = std::min(*deferred_until_, answer_by - route_->objective);
  }
}

request_run::actions request_run::OnStop(time_point now,
                                         shared_request_state& shared) {
  LimitAnswerDeadline(*shared.answer_by);
  return Tick(now, shared);
}

request_run::actions request_run::ContinueDeferred(
    time_point now,
    shared_request_state& shared) {
  actions out;
  const deadline_admission::prospect prospect =
      Prospect(now, shared, route_->objective - kCallerNetworkTime);
  // With too few usable shards it is refused at once: no fall of the load would
  // help.
  const bool is_answerable =
      deadline_admission::LatencyForCoverage(prospect).has_value();
  if (!is_answerable || deadline_admission::IsSafe(prospect)) {
    deferred_until_.reset();
    return SendAll(now, shared);
  }
  if (now >= *deferred_until_) {
    Finish(refused_answer{.reason = reason_code::kOverloaded,
                          .retry_after = kDefaultRetryAfter},
           out);
    return out;
  }
  out.emplace_back(wake{std::min(now + kDeferralInterval, *deferred_until_)});
  return out;
}

request_run::actions request_run::SendAll(time_point now,
                                          shared_request_state& shared) {
  actions out;
  caution_.SetSuspect(Standing(now, shared) != request_standing::kClear);
  for (const std::size_t index : CautiousOrder(now, shared)) {
    if (IsCautious() && (in_flight() || awaiting_capacity())) {
      shards_[index].held = true;
    } else {
      Dispatch(now, shared, index, out);
    }
  }
  planning_ = true;
  FinishIfDue(now, out);
  planning_ = false;
  if (finished_) {
    CancelPlannedSends(shared, out);
    return out;
  }
  for (const shard& s : shards_) {
    CountFirstSend(now, shared, s);
  }
  ScheduleWake(now, shared, out);
  return out;
}

bool request_run::HasReturned(time_point now,
                              shared_request_state& shared) const {
  duration& longest = shared.longest_waits[route_->id];
  const duration wait = answer_deadline_ - now;
  longest = std::max(longest, wait);
  return wait < longest - kMinReturnDelay;
}

deadline_admission::prospect request_run::Prospect(
    time_point now,
    const shared_request_state& shared,
    duration time_left) const {
  const duration expected = ExpectedLatency(shared, *route_);
  deadline_admission::prospect prospect{.shard_latencies = {},
                                        .min_coverage = 1,
                                        .time_left = time_left,
                                        .priority = priority_};
  if (const auto* gather = std::get_if<gather_target>(&route_->target)) {
    prospect.min_coverage = gather->min_coverage;
  }
  std::ranges::transform(shards_, std::back_inserter(prospect.shard_latencies),
                         [&](const shard& s) {
                           return shared.selector.PredictLatency(
                               now, shared.registry, s.service, expected,
                               shared.waiting.TimelyWaiters(now, s.service));
                         });
  return prospect;
}

// No send was carried out yet, so a request that cannot be answered does not
// reach any endpoint.
void request_run::CancelPlannedSends(shared_request_state& shared,
                                     actions& out) {
  std::erase_if(out, [&](const action& a) {
    const auto* planned = std::get_if<send>(&a);
    if (planned != nullptr) {
      shared.selector.CancelSend(planned->endpoint, planned->attempt);
    }
    return planned != nullptr;
  });
  for (shard& s : shards_) {
    s.in_flight.clear();
  }
  counts_.sends = 0;
}

}  // namespace trefoilmill
