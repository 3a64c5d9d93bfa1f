#include "trefoilmill_entry/request_handler.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "platform/http_dialect.h"

namespace trefoilmill::entry {
namespace {

/// Endpoints stop working for a caller that left at most this late.
constexpr duration kAbandonAfter = std::chrono::milliseconds(150);
/// Time a reply may take beyond the deadline that the endpoint was told.
constexpr duration kReplyGrace = std::chrono::milliseconds(30);
/// When callers may come back to a host that has no configuration yet.
constexpr duration kNotReadyRetryAfter = std::chrono::milliseconds(250);
/// The loop counts as overloaded when its timers run late by this part of a
/// request's objective.
constexpr int kLateLoopShare = 3;
constexpr duration kOverloadRetryAfter = std::chrono::milliseconds(120);

}  // namespace

/// What lives for one request, until its last sub-request has ended.
struct request_task::live {
  request_id id;
  http_request original;
  http_responder responder;
  request_run run;
  time_point arrived;
  timer wake;
  timer abandon;
  std::map<attempt_id, endpoint_id> attempts;
  bool answered = false;
  bool caller_gone = false;
};

request_task::request_task(event_loop& loop,
                           traffic& shared,
                           endpoint_links& links,
                           telemetry& trace,
                           std::mt19937_64 random)
    : loop_(loop),
      shared_(shared),
      links_(links),
      trace_(trace),
      random_(random) {}

request_task::~request_task() = default;

void request_task::SetTable(std::shared_ptr<const route_table> table) {
  table_ = std::move(table);
}

std::vector<service_id> request_task::DrawServices(const route& r) {
  if (const auto* gather = std::get_if<gather_target>(&r.target)) {
    return gather->shards;
  }
  const auto& services = std::get<relay_target>(r.target).services;
  if (services.size() == 1) {
    return {services.front().service};
  }
  std::vector<double> weights;
  std::ranges::transform(services, std::back_inserter(weights),
                         &weighted_service::weight);
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return {services[draw(random_)].service};
}

void request_task::Refuse(const http_responder& responder,
                          const request_id& id,
                          reason_code reason,
                          duration retry_after) {
  trace_.values->Count(metric::kCallerRequests, {"refused"});
  trace_.values->Count(metric::kRefusals, {ToString(reason), "not_run"});
  trace_.log->Info(
      "request refused before it was routed",
      {.request = id,
       .reason = reason,
       .inputs = {{"loop_delay_us", loop_delay_.count()},
                  {"unanswered", static_cast<std::int64_t>(unanswered_)}}});
  responder.Send(platform::RefusalToCaller(reason, retry_after));
}

void request_task::Handle(http_request request,
                          const http_responder& responder) {
  const time_point now = loop_.Now();
  auto read = platform::ReadCallerRequest(request);
  if (!read.has_value()) {
    Refuse(responder, request_id(), reason_code::kBadRequest, {});
    return;
  }
  const auto& caller = read.value();
  if (table_ == nullptr) {
    Refuse(responder, caller.id, reason_code::kNotReady, kNotReadyRetryAfter);
    return;
  }
  const route* matched = table_->Match(caller.host, request.target);
  if (matched == nullptr) {
    Refuse(responder, caller.id, reason_code::kUnknownService, {});
    return;
  }
  if (matched->priority > 0 &&
      loop_delay_ > matched->objective / kLateLoopShare) {
    Refuse(responder, caller.id, reason_code::kOverloaded, kOverloadRetryAfter);
    return;
  }
  const time_point deadline = now + caller.time_left.value_or(matched->timeout);
  const run_number number = ++last_run_;
  auto made = std::make_unique<live>(live{
      .id = caller.id,
      .original = std::move(request),
      .responder = responder,
      .run =
          request_run(table_, *matched, DrawServices(*matched), now, deadline),
      .arrived = now});
  live& r = *made;
  runs_.emplace(number, std::move(made));
  ++unanswered_;
  responder.OnPeerGone([this, number] { OnCallerGone(number); });
  Apply(number, r.run.Start(now, shared_));
  EraseIfOver(number);
}

void request_task::Apply(run_number number, request_run::actions actions) {
  for (auto& action : actions) {
    const auto found = runs_.find(number);
    if (found == runs_.end()) {
      return;
    }
    std::visit([&](auto& a) { Do(number, *found->second, a); }, action);
  }
}

void request_task::Do(run_number number,
                      live& r,
                      const request_run::send& action) {
  const time_point now = loop_.Now();
  const duration left = std::max(action.deadline - now, duration::zero());
  r.attempts.emplace(action.attempt, action.endpoint);
  const auto& counts = r.run.counts();
  const bool first = counts.sends <= counts.shards;
  trace_.values->Count(metric::kEndpointSends, {first ? "first" : "extra"});
  const bool sent = links_.Send(
      action.endpoint, action.attempt,
      platform::ToEndpoint(r.original, action.endpoint, left),
      left + kReplyGrace,
      [this, number, attempt = action.attempt](http_exchange ended) {
        OnAttemptEnd(number, attempt, std::move(ended));
      });
  if (!sent) {
    loop_.Post([this, number, attempt = action.attempt] {
      OnAttemptEnd(number, attempt, {.failed = http_failure::kRefused});
    });
  }
}

void request_task::Do(run_number number,
                      live& r,
                      const request_run::await_capacity& action) {
  waiting_[action.service][r.run.matched().priority].push_back(
      {.run = number, .shard = action.shard});
  for (const endpoint_id& id : shared_.registry.OfService(action.service)) {
    links_.OpenFor(id);
  }
}

void request_task::Do(run_number /*number*/,
                      live& r,
                      request_run::finish& action) {
  r.wake = timer();
  if (r.answered) {
    return;
  }
  r.answered = true;
  --unanswered_;
  if (r.caller_gone) {
    return;
  }
  Report(r, action.answer);
  r.responder.Send(platform::ToCaller(r.id, std::move(action.answer)));
}

void request_task::Do(run_number number,
                      live& r,
                      const request_run::wake& action) {
  r.wake = loop_.After(action.at - loop_.Now(), [this, number] {
    const auto found = runs_.find(number);
    if (found != runs_.end()) {
      Apply(number, found->second->run.Tick(loop_.Now(), shared_));
      EraseIfOver(number);
    }
  });
}

void request_task::OnAttemptEnd(run_number number,
                                attempt_id attempt,
                                http_exchange ended) {
  const auto found = runs_.find(number);
  if (found == runs_.end()) {
    return;
  }
  live& r = *found->second;
  const auto sent = r.attempts.find(attempt);
  if (sent == r.attempts.end()) {
    return;
  }
  const endpoint_id endpoint = sent->second;
  r.attempts.erase(sent);
  attempt_outcome outcome = platform::FromEndpoint(r.id, std::move(ended));
  if (const auto* lost = std::get_if<reply_lost>(&outcome);
      lost != nullptr && !r.caller_gone) {
    trace_.log->Info("reply of an endpoint lost",
                     {.request = r.id,
                      .attempt = attempt,
                      .endpoint = endpoint,
                      .reason = lost->reason,
                      .outcome = verdict::kMayHaveRun});
  }
  if (const auto* refused = std::get_if<endpoint_refused>(&outcome)) {
    trace_.log->Info("endpoint refused a request",
                     {.request = r.id,
                      .attempt = attempt,
                      .endpoint = endpoint,
                      .reason = refused->reason,
                      .outcome = verdict::kNotRun});
  }
  Apply(number,
        r.run.OnOutcome(loop_.Now(), shared_, attempt, std::move(outcome)));
  EraseIfOver(number);
}

void request_task::OnFree(const endpoint_id& id) {
  const auto* entry = shared_.registry.Find(id);
  if (entry == nullptr) {
    return;
  }
  const auto found = waiting_.find(entry->record.service);
  if (found == waiting_.end()) {
    return;
  }
  auto& by_priority = found->second;
  while (!by_priority.empty()) {
    auto& queue = by_priority.begin()->second;
    if (queue.empty()) {
      by_priority.erase(by_priority.begin());
      continue;
    }
    const waiter next = queue.front();
    queue.pop_front();
    const auto run = runs_.find(next.run);
    if (run != runs_.end() && !run->second->run.finished()) {
      Apply(next.run,
            run->second->run.OnCapacity(loop_.Now(), shared_, next.shard));
      EraseIfOver(next.run);
      return;
    }
  }
  waiting_.erase(found);
}

void request_task::OnCallerGone(run_number number) {
  const auto found = runs_.find(number);
  if (found == runs_.end()) {
    return;
  }
  live& r = *found->second;
  r.caller_gone = true;
  if (!r.answered) {
    r.answered = true;
    --unanswered_;
    r.run.Stop();
    trace_.values->Count(metric::kCallerRequests, {"gone"});
  }
  r.wake = timer();
  // What must not run twice may as well finish: it cannot be undone.
  if (r.run.matched().repeats == repeat_rule::kIdempotent) {
    r.abandon =
        loop_.After(kAbandonAfter, [this, number] { AbandonAll(number); });
  }
  loop_.Post([this, number] { EraseIfOver(number); });
}

void request_task::AbandonAll(run_number number) {
  const auto found = runs_.find(number);
  if (found == runs_.end()) {
    return;
  }
  std::vector<attempt_id> left;
  std::ranges::copy(std::views::keys(found->second->attempts),
                    std::back_inserter(left));
  for (const attempt_id attempt : left) {
    links_.Abandon(attempt);
  }
}

void request_task::EraseIfOver(run_number number) {
  const auto found = runs_.find(number);
  if (found == runs_.end()) {
    return;
  }
  const live& r = *found->second;
  if (r.answered && r.attempts.empty()) {
    // This may run inside one of the request's own callbacks.
    std::shared_ptr<live> over = std::move(found->second);
    runs_.erase(found);
    loop_.Post([over] {});
  }
}

void request_task::Report(const live& r, const caller_answer& answer) {
  struct outcome_name {
    std::string_view operator()(const gathered_answer& a) const {
      return a.missing == 0 ? "whole" : "partial";
    }
    std::string_view operator()(const relayed_answer&) const {
      return "relayed";
    }
    std::string_view operator()(const refused_answer&) const {
      return "refused";
    }
    std::string_view operator()(const failed_answer&) const { return "failed"; }
  };
  const std::string_view outcome = std::visit(outcome_name{}, answer);
  const duration took = loop_.Now() - r.arrived;
  trace_.values->Count(metric::kCallerRequests, {outcome});
  trace_.values->Observe(metric::kCallerRequestDuration, took, {outcome});
  const auto& counts = r.run.counts();
  trace_.values->Count(metric::kSendBudgetRefusals, {},
                       static_cast<double>(counts.budget_refusals));
  if (const auto* refused = std::get_if<refused_answer>(&answer)) {
    trace_.values->Count(metric::kRefusals,
                         {ToString(refused->reason), "not_run"});
  }
  const bool ordinary = outcome == "whole" || outcome == "relayed";
  if (ordinary && took <= r.run.matched().objective) {
    return;
  }
  const bool ran = !std::holds_alternative<refused_answer>(answer);
  const auto number = [](std::size_t n) {
    return static_cast<std::int64_t>(n);
  };
  trace_.log->Info(
      "request ended late or incomplete",
      {.request = r.id,
       .reason = counts.last_failure,
       .outcome = ran ? verdict::kMayHaveRun : verdict::kNotRun,
       .detail = std::string(outcome),
       .inputs = {{"route", r.run.matched().id.value()},
                  {"took_us", took.count()},
                  {"objective_us", r.run.matched().objective.count()},
                  {"shards", number(counts.shards)},
                  {"answered", number(counts.answered)},
                  {"without_endpoint", number(counts.without_endpoint)},
                  {"sends", number(counts.sends)},
                  {"hedges", number(counts.hedges)},
                  {"retries", number(counts.retries)},
                  {"budget_refusals", number(counts.budget_refusals)}}});
}

}  // namespace trefoilmill::entry
