#include "trefoilmill/request/request_run.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace trefoilmill {
namespace {

/// One way between a caller and a host, and how late a timer may fire.
constexpr duration kCallerWay = std::chrono::milliseconds(3);
constexpr duration kLateTimer = std::chrono::milliseconds(2);
/// What the objective counts besides the time at this host: a new connection,
/// the request's way and the answer's.
constexpr duration kCallerNetwork = 4 * kCallerWay + kLateTimer;
/// Time kept back before the caller's deadline for the answer's way.
constexpr duration kFinalMargin = std::chrono::milliseconds(12);
/// A sub-request is hedged once it takes longer than this quantile times this
/// factor. A quantile further out would grow with the very stragglers that
/// hedges are for.
constexpr double kHedgeQuantile = 0.75;
constexpr double kHedgeFactor = 1.5;
/// A hedge that could not be sent is tried again after this part of that time,
/// but not sooner than the least pause.
constexpr int kHedgePauseShare = 2;
constexpr duration kLeastHedgePause = std::chrono::milliseconds(5);
/// Part of the objective after which to hedge before latencies are known.
constexpr int kUnlearnedHedgeShare = 4;
/// Part of the saved-up extra sends that is kept for retries.
constexpr double kRetryReserve = 0.3;
/// A request for which no connection became free within this part of its
/// objective is refused, so that its caller can still be served in time.
constexpr int kWaitShare = 5;
/// A first send is not worth starting with less time left.
constexpr duration kLeastTimeLeft = std::chrono::milliseconds(2);

/// When a caller may come back after a shard had no usable endpoint.
constexpr duration kNoEndpointRetryAfter = std::chrono::milliseconds(400);
/// When a caller may come back after endpoints refused for load.
constexpr duration kShedRetryAfter = std::chrono::milliseconds(100);

send_end EndOf(const attempt_outcome& outcome) {
  struct visitor {
    send_end operator()(const endpoint_replied& r) const {
      const bool good = r.response.status / 100 == 2 && !r.stamp.empty();
      return good ? send_end::kAnswered : send_end::kFailed;
    }
    send_end operator()(const endpoint_refused&) const {
      return send_end::kNotExecuted;
    }
    send_end operator()(const reply_lost& l) const {
      return l.reason == reason_code::kDeadlineExceeded ? send_end::kUnanswered
                                                        : send_end::kFailed;
    }
  };
  return std::visit(visitor{}, outcome);
}

reason_code ReasonOf(const attempt_outcome& outcome) {
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
                         time_point deadline)
    : table_(std::move(table)),
      route_(&r),
      arrived_(arrived),
      final_(std::min(deadline - kFinalMargin, arrived + r.timeout)),
      objective_(arrived + r.objective - kCallerNetwork) {
  for (service_id& service : services) {
    shards_.emplace_back().service = std::move(service);
  }
  counts_.shards = shards_.size();
}

bool request_run::in_flight() const {
  return std::ranges::any_of(
      shards_, [](const shard& s) { return !s.in_flight.empty(); });
}

request_run::actions request_run::Start(time_point now, traffic& shared) {
  actions out;
  if (final_ - now < kLeastTimeLeft) {
    Finish(refused_answer{.reason = reason_code::kDeadlineUnmeetable,
                          .retry_after = duration::zero()},
           out);
    return out;
  }
  for (std::size_t index = 0; index < shards_.size(); ++index) {
    Place(now, shared, index, out);
  }
  starting_ = true;
  Settle(now, out);
  starting_ = false;
  if (finished_) {
    WithdrawPlanned(shared, out);
    return out;
  }
  for (const shard& s : shards_) {
    if (!s.in_flight.empty()) {
      shared.extra_sends.OnFirstSend(now, s.service);
    }
  }
  AddWake(now, shared, out);
  return out;
}

// Nothing was handed over yet: what cannot be answered is not started.
void request_run::WithdrawPlanned(traffic& shared, actions& out) {
  std::erase_if(out, [&](const action& a) {
    const auto* planned = std::get_if<send>(&a);
    if (planned != nullptr) {
      shared.places.Withdraw(planned->endpoint, planned->attempt);
    }
    return planned != nullptr;
  });
  for (shard& s : shards_) {
    s.in_flight.clear();
  }
  counts_.sends = 0;
}

void request_run::Place(time_point now,
                        traffic& shared,
                        std::size_t index,
                        actions& out) {
  shard& s = shards_[index];
  const auto choice = shared.places.Choose(
      now, shared.registry, s.service, s.tried, UsualLatency(shared, *route_),
      placement::purpose::kFirst);
  if (const auto* chosen = std::get_if<placement::chosen>(&choice)) {
    SendTo(now, shared, index, chosen->endpoint, out);
    return;
  }
  if (std::holds_alternative<placement::no_capacity>(choice)) {
    s.waiting = true;
    out.emplace_back(await_capacity{.shard = index, .service = s.service});
    return;
  }
  s.given_up = true;
  ++counts_.without_endpoint;
  counts_.last_failure = reason_code::kNoReplica;
}

void request_run::SendTo(time_point now,
                         traffic& shared,
                         std::size_t index,
                         const endpoint_id& endpoint,
                         actions& out) {
  shard& s = shards_[index];
  const attempt_id id(++shared.last_attempt);
  s.tried.push_back(endpoint);
  s.in_flight.push_back({.id = id, .endpoint = endpoint, .sent = now});
  s.waiting = false;
  ++counts_.sends;
  shared.places.OnSend(now, endpoint, id);
  out.emplace_back(send{
      .attempt = id, .shard = index, .endpoint = endpoint, .deadline = final_});
}

request_run::actions request_run::OnOutcome(time_point now,
                                            traffic& shared,
                                            attempt_id id,
                                            attempt_outcome outcome) {
  actions out;
  const auto held = std::ranges::find_if(shards_, [&](const shard& s) {
    return std::ranges::find(s.in_flight, id, &attempt::id) !=
           s.in_flight.end();
  });
  if (held == shards_.end()) {
    return out;
  }
  shard& s = *held;
  const auto found = std::ranges::find(s.in_flight, id, &attempt::id);
  const endpoint_id endpoint = found->endpoint;
  const time_point sent = found->sent;
  s.in_flight.erase(found);
  const send_end how = EndOf(outcome);
  shared.places.OnEnd(now, endpoint, id, UsualLatency(shared, *route_), how);
  if (const auto* refused = std::get_if<endpoint_refused>(&outcome);
      refused != nullptr && refused->reason == reason_code::kWrongInstance) {
    shared.registry.Displace(now, endpoint);
  }
  if (how == send_end::kAnswered) {
    shared.latencies[route_->id].Record(now - sent);
  }
  if (finished_ || !s.open()) {
    return out;
  }
  if (how == send_end::kAnswered) {
    s.reply = std::move(std::get<endpoint_replied>(outcome));
    ++counts_.answered;
    Settle(now, out);
  } else {
    counts_.last_failure = ReasonOf(outcome);
    if (how != send_end::kNotExecuted) {
      s.worst = verdict::kMayHaveRun;
    }
    if (auto* replied = std::get_if<endpoint_replied>(&outcome)) {
      s.worst = verdict::kRan;
      error_reply_ = std::move(*replied);
    }
    Retry(now, shared,
          static_cast<std::size_t>(std::distance(shards_.begin(), held)), out);
    Settle(now, out);
  }
  AddWake(now, shared, out);
  return out;
}

bool request_run::MayTryAgain(const shard& s) const {
  const auto limit = static_cast<std::size_t>(route_->max_endpoints);
  return s.tried.size() < limit &&
         (s.worst == verdict::kNotRun ||
          route_->repeats == repeat_rule::kIdempotent);
}

void request_run::Retry(time_point now,
                        traffic& shared,
                        std::size_t index,
                        actions& out) {
  shard& s = shards_[index];
  if (!s.in_flight.empty()) {
    return;
  }
  if (!MayTryAgain(s) || final_ - now < kLeastTimeLeft) {
    s.given_up = true;
    return;
  }
  if (!shared.extra_sends.TrySpend(now, s.service)) {
    ++counts_.budget_refusals;
    s.given_up = true;
    return;
  }
  ++counts_.retries;
  Place(now, shared, index, out);
}

request_run::actions request_run::OnCapacity(time_point now,
                                             traffic& shared,
                                             std::size_t index) {
  actions out;
  shard& s = shards_[index];
  if (finished_ || !s.waiting) {
    return out;
  }
  const bool first = s.tried.empty();
  Place(now, shared, index, out);
  if (first && !s.in_flight.empty()) {
    shared.extra_sends.OnFirstSend(now, s.service);
  }
  Settle(now, out);
  AddWake(now, shared, out);
  return out;
}

request_run::actions request_run::Tick(time_point now, traffic& shared) {
  actions out;
  if (finished_) {
    return out;
  }
  Hedge(now, shared, out);
  Settle(now, out);
  AddWake(now, shared, out);
  return out;
}

duration request_run::HedgeDelay(const traffic& shared) const {
  const auto found = shared.latencies.find(route_->id);
  if (found != shared.latencies.end()) {
    if (const auto learned = found->second.Quantile(kHedgeQuantile)) {
      return std::chrono::duration_cast<duration>(kHedgeFactor * *learned);
    }
  }
  return route_->objective / kUnlearnedHedgeShare;
}

bool request_run::NeedsEveryShard() const {
  const auto* gather = std::get_if<gather_target>(&route_->target);
  const double one = 1.0 / static_cast<double>(shards_.size());
  return gather != nullptr && ReachableCoverage() - one < gather->min_coverage;
}

bool request_run::MayHedge(const shard& s) const {
  return route_->repeats == repeat_rule::kIdempotent && s.open() &&
         !s.in_flight.empty() && MayTryAgain(s) &&
         (!s.hedged || NeedsEveryShard());
}

time_point request_run::HedgeTime(const shard& s, duration delay) {
  return s.hedge_again_at.value_or(s.in_flight.front().sent + delay);
}

void request_run::Hedge(time_point now, traffic& shared, actions& out) {
  const duration delay = HedgeDelay(shared);
  for (std::size_t index = 0; index < shards_.size(); ++index) {
    const shard& s = shards_[index];
    if (MayHedge(s) && HedgeTime(s, delay) <= now) {
      TryHedge(now, shared, index, out);
    }
  }
}

void request_run::TryHedge(time_point now,
                           traffic& shared,
                           std::size_t index,
                           actions& out) {
  shard& s = shards_[index];
  const duration usual = UsualLatency(shared, *route_);
  if (!s.hedge_again_at.has_value()) {
    const attempt& late = s.in_flight.front();
    shared.places.OnLate(now, late.endpoint, late.id, usual);
  }
  s.hedge_again_at =
      now + std::max(kLeastHedgePause, HedgeDelay(shared) / kHedgePauseShare);
  // Without this shard there is no answer: any endpoint is better than none.
  const auto why = NeedsEveryShard() ? placement::purpose::kFirst
                                     : placement::purpose::kHedge;
  const auto choice = shared.places.Choose(now, shared.registry, s.service,
                                           s.tried, usual, why);
  const auto* chosen = std::get_if<placement::chosen>(&choice);
  if (chosen == nullptr) {
    return;
  }
  const double reserve =
      kRetryReserve * std::max(0.0, shared.extra_sends.cap() - 1);
  if (!shared.extra_sends.TrySpend(now, s.service, reserve)) {
    ++counts_.budget_refusals;
    return;
  }
  s.hedged = true;
  ++counts_.hedges;
  SendTo(now, shared, index, chosen->endpoint, out);
}

double request_run::Coverage() const {
  return static_cast<double>(counts_.answered) /
         static_cast<double>(shards_.size());
}

double request_run::ReachableCoverage() const {
  const auto lost =
      std::ranges::count_if(shards_, [](const shard& s) { return s.given_up; });
  return 1.0 - static_cast<double>(lost) / static_cast<double>(shards_.size());
}

time_point request_run::WaitEnds() const {
  return arrived_ + route_->objective / kWaitShare;
}

void request_run::Settle(time_point now, actions& out) {
  if (finished_) {
    return;
  }
  if (const auto* gather = std::get_if<gather_target>(&route_->target)) {
    SettleGather(now, *gather, out);
  } else {
    SettleRelay(out);
  }
  if (!finished_ && now >= final_) {
    Fail(reason_code::kDeadlineExceeded, out);
  }
  if (!finished_ && counts_.sends == 0 && now >= WaitEnds()) {
    Fail(reason_code::kOverloaded, out);
  }
}

void request_run::SettleGather(time_point now,
                               const gather_target& target,
                               actions& out) {
  if (ReachableCoverage() < target.min_coverage || ReachableCoverage() <= 0) {
    Fail(counts_.last_failure == reason_code::kNone
             ? reason_code::kCoverageTooLow
             : counts_.last_failure,
         out);
    return;
  }
  const bool settled =
      std::ranges::none_of(shards_, [](const shard& s) { return s.open(); });
  const bool enough = counts_.answered > 0 && Coverage() >= target.min_coverage;
  // Past the objective a whole answer is worth waiting for about as long again.
  const time_point patience = objective_ + route_->objective;
  const bool in_time = now < patience && now >= objective_;
  const bool at_objective = in_time && now - objective_ < kCallerNetwork;
  const bool due = at_objective || now >= patience || now >= final_;
  if (settled || (enough && due)) {
    Finish(Gathered(target), out);
  }
}

void request_run::SettleRelay(actions& out) {
  shard& only = shards_.front();
  if (only.reply.has_value()) {
    Finish(relayed_answer{.response = std::move(only.reply->response),
                          .stamp = std::move(only.reply->stamp)},
           out);
    return;
  }
  if (only.given_up) {
    Fail(counts_.last_failure, out);
  }
}

gathered_answer request_run::Gathered(const gather_target& target) const {
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

void request_run::Fail(reason_code reason, actions& out) {
  const bool ran = std::ranges::any_of(shards_, [](const shard& s) {
    return s.reply.has_value() || !s.in_flight.empty() ||
           s.worst != verdict::kNotRun;
  });
  // At the start sends are planned but not made.
  if (starting_ || !ran) {
    const duration after =
        reason == reason_code::kShed ? kShedRetryAfter : kNoEndpointRetryAfter;
    Finish(refused_answer{.reason = reason, .retry_after = after}, out);
    return;
  }
  const bool relayed = std::holds_alternative<relay_target>(route_->target);
  if (relayed && error_reply_.has_value() && !error_reply_->stamp.empty()) {
    Finish(relayed_answer{.response = std::move(error_reply_->response),
                          .stamp = std::move(error_reply_->stamp)},
           out);
    return;
  }
  Finish(failed_answer{.reason = reason}, out);
}

void request_run::Finish(caller_answer answer, actions& out) {
  finished_ = true;
  out.emplace_back(finish{std::move(answer)});
}

void request_run::AddWake(time_point now,
                          const traffic& shared,
                          actions& out) const {
  if (finished_) {
    return;
  }
  time_point next = final_;
  const auto consider = [&](time_point at) {
    if (at > now) {
      next = std::min(next, at);
    }
  };
  if (counts_.sends == 0) {
    consider(WaitEnds());
  }
  consider(objective_);
  consider(objective_ + route_->objective);
  const duration delay = HedgeDelay(shared);
  for (const shard& s : shards_) {
    if (MayHedge(s)) {
      consider(HedgeTime(s, delay));
    }
  }
  out.emplace_back(wake{next});
}

}  // namespace trefoilmill
