#include "trefoilmill_entry/request_handler.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "platform/http_conversion.h"
#include "request_handler_impl.h"
#include "trefoilmill/wire/log_messages.h"

namespace trefoilmill::entry {
namespace {

/// Delay from a caller's disconnection until its attempts are aborted.
constexpr duration kAbortDelay = std::chrono::milliseconds(150);
/// How long after the deadline given to the endpoint its reply is accepted.
constexpr duration kReplyMargin = std::chrono::milliseconds(30);
/// When callers may retry a request to a host that has no configuration yet.
constexpr duration kNotReadyRetryAfter = std::chrono::milliseconds(250);
/// All but the most urgent requests are refused while the event loop is late by
/// more than the request's objective divided by this.
constexpr int kLoopDelayDivisor = 3;
/// When callers may retry a request that was refused because neither this host
/// nor another known one reaches the endpoints.
constexpr duration kCutOffRetryAfter = std::chrono::milliseconds(400);
/// When callers may retry a request that was refused because of the loop delay.
constexpr duration kOverloadRetryAfter = std::chrono::milliseconds(120);

}  // namespace

request_handler::request_handler(event_loop& loop,
                                 shared_request_state& shared_state,
                                 connection_pools& pools,
                                 telemetry& process_telemetry,
                                 std::string local_ip,
                                 std::mt19937_64 random)
    : loop_(loop),
      shared_state_(shared_state),
      pools_(pools),
      telemetry_(process_telemetry),
      random_(random),
      forwarder_(loop,
                 std::move(local_ip),
                 process_telemetry,
                 std::mt19937_64(random_()),
                 [this](forwarded_request not_taken) {
                   RunHere(std::move(not_taken.request), not_taken.responder,
                           {.identity = not_taken.identity,
                            .organisation = not_taken.organisation,
                            .attempts = not_taken.attempts});
                 }) {}

request_handler::~request_handler() = default;

void request_handler::SetRouteTable(std::shared_ptr<const route_table> table) {
  route_table_ = std::move(table);
}

std::vector<service_id> request_handler::SelectServices(
    const route& matched,
    const earlier_attempts& attempts) {
  if (const auto* gather = std::get_if<gather_target>(&matched.target)) {
    return gather->shards;
  }
  const auto& services = std::get<relay_target>(matched.target).services;
  if (services.size() == 1) {
    return {services.front().service};
  }
  const auto sent_before = std::ranges::find_first_of(
      services, attempts, {}, &weighted_service::service,
      &service_attempts::service);
  if (sent_before != services.end()) {
    return {sent_before->service};
  }
  std::vector<double> weights;
  std::ranges::transform(services, std::back_inserter(weights),
                         &weighted_service::weight);
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return {services[draw(random_)].service};
}

void request_handler::Refuse(const http_responder& responder,
                             const request_id& id,
                             reason_code reason,
                             duration retry_after,
                             std::string detail) {
  telemetry_.meter->Increment(metric::kCallerRequests, {"refused"});
  telemetry_.meter->Increment(metric::kRefusals, {ToString(reason), "not_run"});
  telemetry_.log->Info(
      "request refused before routing",
      {.request = id,
       .reason = reason,
       .detail = std::move(detail),
       .inputs = {{"loop_delay_us", loop_delay_.count()},
                  {"unanswered", static_cast<std::int64_t>(unanswered_)}}});
  responder.Send(platform::MakeRefusalResponse(reason, retry_after));
}

void request_handler::Handle(http_request request,
                             const http_responder& responder) {
  auto routed = Route(std::move(request), responder);
  if (routed.has_value()) {
    StartWithPermit(std::move(*routed), responder);
  }
}

void request_handler::StartRequest(routed_request routed,
                                   const http_responder& responder) {
  if (NeedsOtherHost(loop_.Now(), *routed.matched)) {
    Forward(std::move(routed), responder);
    return;
  }
  Run(std::move(routed), responder);
}

void request_handler::HandleForwarded(http_request request,
                                      const http_responder& responder,
                                      const forwarded_mark& mark) {
  if (shared_state_.selector.reach().is_cut_off()) {
    telemetry_.meter->Increment(metric::kForwardedRequests, {"declined"});
    responder.Send(MakeCutOffResponse(forwarder_.peers().cut_off()));
    return;
  }
  RunHere(std::move(request), responder, mark);
}

void request_handler::RunHere(http_request request,
                              const http_responder& responder,
                              const forwarded_mark& mark) {
  auto routed = Route(std::move(request), responder, mark);
  if (!routed.has_value()) {
    return;
  }
  if (MayHaveBeenSent(*routed, mark)) {
    Refuse(responder, routed->id, reason_code::kNoReplica, duration::zero(),
           "forwarded by a host of an earlier version, which may have sent it "
           "to endpoints");
    return;
  }
  Run(std::move(*routed), responder);
}

std::optional<reason_code> request_handler::Identify(
    const std::optional<std::string>& key,
    const forwarded_mark& mark,
    routed_request& routed) {
  const bool needs_key =
      routed.table->requires_keys() && !routed.matched->is_public;
  if (mark.organisation.has_value()) {
    if (needs_key && mark.organisation->value().empty()) {
      // The sender's configuration requires no key, or the sender is of a build
      // that takes an empty list of organisations for a missing one. The key
      // was not passed on, so that it cannot be checked here.
      return reason_code::kNotReady;
    }
    routed.owner_id = *mark.organisation;
    routed.owner = routed.table->Find(routed.owner_id);
    return std::nullopt;
  }
  if (!needs_key) {
    return std::nullopt;
  }
  routed.owner = key.has_value() ? routed.table->FindByKey(*key) : nullptr;
  if (routed.owner == nullptr) {
    return reason_code::kUnauthorized;
  }
  routed.owner_id = routed.owner->id;
  return std::nullopt;
}

std::optional<request_handler::routed_request> request_handler::Route(
    http_request request,
    const http_responder& responder,
    const forwarded_mark& mark) {
  auto parsed = platform::ParseCallerRequest(request);
  if (!parsed.has_value()) {
    Refuse(responder, request_id(), reason_code::kBadRequest, {});
    return std::nullopt;
  }
  const auto& caller = parsed.value();
  if (route_table_ == nullptr) {
    Refuse(responder, caller.id, reason_code::kNotReady, kNotReadyRetryAfter);
    return std::nullopt;
  }
  const route* matched = route_table_->Match(caller.host, request.target);
  if (matched == nullptr) {
    Refuse(responder, caller.id, reason_code::kUnknownService, {});
    return std::nullopt;
  }
  routed_request routed{
      .id = caller.id,
      .identity = mark.identity.has_value()
                      ? *mark.identity
                      : IdentifyRequest(request, caller.host),
      .table = route_table_,
      .matched = matched,
      .deadline = loop_.Now() + caller.time_left.value_or(matched->timeout),
      .attempts = mark.attempts.value_or(earlier_attempts())};
  if (const auto reason = Identify(caller.key, mark, routed)) {
    const bool may_return = *reason == reason_code::kNotReady;
    Refuse(responder, caller.id, *reason,
           may_return ? kNotReadyRetryAfter : duration::zero(),
           may_return ? "forwarded by a host that checked no key" : "");
    return std::nullopt;
  }
  if (!PriorityOf(routed).IsMostUrgent() &&
      loop_delay_ > matched->objective / kLoopDelayDivisor) {
    Refuse(responder, caller.id, reason_code::kOverloaded, kOverloadRetryAfter);
    return std::nullopt;
  }
  if (RefuseQuarantined(caller.id, routed.identity, responder)) {
    return std::nullopt;
  }
  routed.original = std::move(request);
  return routed;
}

request_priority request_handler::PriorityOf(const routed_request& routed) {
  return {.organisation = routed.owner == nullptr ? 0 : routed.owner->priority,
          .route = routed.matched->priority};
}

bool request_handler::RefuseQuarantined(const request_id& id,
                                        const request_identity& identity,
                                        const http_responder& responder) {
  const time_point now = loop_.Now();
  const request_quarantine& quarantine = shared_state_.quarantine;
  if (quarantine.StandingOf(now, identity) != request_standing::kQuarantined) {
    return false;
  }
  Refuse(responder, id, reason_code::kQuarantined,
         quarantine.QuarantineLeft(now, identity),
         ToString(identity.content_and_caller));
  return true;
}

void request_handler::Run(routed_request routed,
                          const http_responder& responder) {
  const time_point now = loop_.Now();
  if (shared_state_.selector.reach().is_cut_off()) {
    if (routed.holds_permit) {
      shared_state_.quotas.Return(now, routed.owner_id);
    }
    Refuse(responder, routed.id, reason_code::kNoReplica, kCutOffRetryAfter);
    return;
  }
  const route& matched = *routed.matched;
  const request_number number(++last_number_);
  auto created = std::make_unique<active_request>(active_request{
      .id = routed.id,
      .identity = routed.identity,
      .organisation = routed.owner_id,
      .holds_permit = routed.holds_permit,
      .original = std::move(routed.original),
      .responder = responder,
      .run = request_run(
          routed.table, matched, SelectServices(matched, routed.attempts), now,
          routed.deadline, routed.identity,
          {.id = routed.owner_id, .priority = PriorityOf(routed).organisation},
          routed.attempts),
      .arrived = now,
      .deadline = routed.deadline});
  active_request& active = *created;
  active_requests_.emplace(number, std::move(created));
  ++unanswered_;
  responder.OnPeerDisconnected(
      [this, number] { OnCallerDisconnected(number); });
  responder.OnResponseLost(
      [this, id = active.id](lost_response lost) { OnAnswerLost(id, lost); });
  RunActions(number, active.run.Start(now, shared_state_));
  EraseIfFinished(number);
}

void request_handler::AnswerBy(time_point answer_by) {
  forwarder_.AnswerBy(answer_by);
  shared_state_.answer_by = answer_by;
  for (waiting_request& waiting : waiting_) {
    waiting.give_up_at = std::min(waiting.give_up_at, answer_by);
  }
  RetryWaiting();
  std::vector<request_number> numbers;
  std::ranges::copy(std::views::keys(active_requests_),
                    std::back_inserter(numbers));
  for (const request_number number : numbers) {
    const auto found = active_requests_.find(number);
    if (found != active_requests_.end()) {
      RunActions(number, found->second->run.OnStop(loop_.Now(), shared_state_));
      EraseIfFinished(number);
    }
  }
}

void request_handler::RunActions(request_number number,
                                 request_run::actions actions) {
  for (auto& action : actions) {
    const auto found = active_requests_.find(number);
    if (found == active_requests_.end()) {
      return;
    }
    std::visit([&](auto& a) { RunAction(number, *found->second, a); }, action);
  }
}

void request_handler::RunAction(request_number number,
                                active_request& active,
                                const request_run::send& action) {
  const time_point now = loop_.Now();
  const duration left = std::max(action.deadline - now, duration::zero());
  active.attempts.emplace(action.attempt, action.endpoint);
  const auto& counts = active.run.counts();
  const bool first = counts.sends <= counts.shards;
  const char* purpose = first ? "first" : "extra";
  telemetry_.meter->Increment(metric::kEndpointSends, {purpose});
  if (shared_state_.selector.limits().LimitOf(action.endpoint).has_value()) {
    telemetry_.meter->Increment(metric::kLimitedEndpointSends, {purpose});
  }
  const http_request request = platform::MakeEndpointRequest(
      active.original, active.organisation, action.endpoint, left);
  CountCrossZoneBytes(action.endpoint, "request", request.headers,
                      request.target.size() + request.body.size());
  const bool sent = pools_.Send(
      action.endpoint, action.attempt, request, left + kReplyMargin,
      [this, number, attempt = action.attempt](http_result exchange) {
        OnAttemptEnd(number, attempt, std::move(exchange));
      });
  if (!sent) {
    loop_.Post([this, number, attempt = action.attempt] {
      OnAttemptEnd(number, attempt,
                   {.failure_reason = http_failure::kNotConnected});
    });
  }
}

void request_handler::RunAction(request_number number,
                                active_request& active,
                                const request_run::await_capacity& action) {
  shared_state_.waiting.Push(action.service,
                             {.request = number,
                              .shard = action.shard,
                              .priority = active.run.priority(),
                              .objective_deadline = action.objective_deadline,
                              .over_share = action.over_share});
  for (const endpoint_id& id :
       shared_state_.registry.EndpointsOf(action.service)) {
    pools_.RequestConnection(id);
  }
}

void request_handler::RunAction(request_number number,
                                active_request& active,
                                request_run::finish& action) {
  active.wake_timer = timer();
  if (active.answered) {
    return;
  }
  active.answered = true;
  --unanswered_;
  shared_state_.waiting.Remove(number);
  if (active.caller_disconnected) {
    return;
  }
  if (active.holds_permit &&
      std::holds_alternative<refused_answer>(action.answer)) {
    shared_state_.quotas.Return(loop_.Now(), active.organisation);
  }
  RecordAnswer(active, action.answer);
  active.responder.Send(
      platform::MakeCallerResponse(active.id, std::move(action.answer)));
}

void request_handler::RunAction(request_number number,
                                active_request& active,
                                const request_run::wake& action) {
  active.wake_timer = loop_.RunAfter(action.at - loop_.Now(), [this, number] {
    const auto found = active_requests_.find(number);
    if (found == active_requests_.end()) {
      return;
    }
    request_run& run = found->second->run;
    const silence_warning warned = run.counts().warned;
    const request_run::actions next = run.Tick(loop_.Now(), shared_state_);
    if (run.counts().warned != warned) {
      on_warned_();
    }
    RunActions(number, next);
    EraseIfFinished(number);
  });
}

void request_handler::OnCallerDisconnected(request_number number) {
  const auto found = active_requests_.find(number);
  if (found == active_requests_.end()) {
    return;
  }
  active_request& active = *found->second;
  active.caller_disconnected = true;
  if (!active.answered) {
    active.answered = true;
    --unanswered_;
    active.run.OnCallerDisconnected();
    shared_state_.waiting.Remove(number);
    telemetry_.meter->Increment(metric::kCallerRequests, {"gone"});
    CountForOrganisation(active.organisation, "gone");
    LogDisconnected(active);
  }
  active.wake_timer = timer();
  // Attempts that must not run twice are left to finish: aborting one would not
  // undo it.
  if (active.run.matched().retry == retry_rule::kIdempotent) {
    active.abort_timer =
        loop_.RunAfter(kAbortDelay, [this, number] { AbortAttempts(number); });
  }
  loop_.Post([this, number] { EraseIfFinished(number); });
}

void request_handler::EraseIfFinished(request_number number) {
  const auto found = active_requests_.find(number);
  if (found == active_requests_.end()) {
    return;
  }
  const active_request& active = *found->second;
  if (active.answered && active.attempts.empty()) {
    // This may run inside one of the request's callbacks, so a task posted to
    // the loop destroys the request.
    std::shared_ptr<active_request> finished = std::move(found->second);
    active_requests_.erase(found);
    loop_.Post([finished] {});
  }
}

}  // namespace trefoilmill::entry
