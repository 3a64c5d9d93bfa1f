/// What request_handler does when attempts end, and how it ends them.
#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>
#include <variant>
#include <vector>

#include "platform/http_conversion.h"
#include "request_handler_impl.h"
#include "trefoilmill/wire/log_messages.h"
#include "trefoilmill_entry/endpoint_evidence.h"

namespace trefoilmill::entry {

void request_handler::OnAttemptEnd(request_number number,
                                   attempt_id attempt,
                                   http_result exchange) {
  const auto found = active_requests_.find(number);
  if (found == active_requests_.end()) {
    return;
  }
  active_request& active = *found->second;
  const auto sent = active.attempts.find(attempt);
  if (sent == active.attempts.end()) {
    return;
  }
  const endpoint_id endpoint = sent->second;
  active.attempts.erase(sent);
  if (exchange.response.has_value()) {
    CountCrossZoneBytes(endpoint, "reply", exchange.response->headers,
                        exchange.response->body.size());
    ApplyNotice(active.id, endpoint, *exchange.response);
  }
  if (exchange.response.has_value() || !active.caller_disconnected) {
    RecordExchange(loop_.Now(), shared_state_, endpoint, exchange);
  }
  attempt_outcome outcome =
      platform::ClassifyEndpointExchange(active.id, std::move(exchange));
  if (const auto* lost = std::get_if<reply_lost>(&outcome);
      lost != nullptr && !active.caller_disconnected) {
    telemetry_.log->Info("endpoint reply lost",
                         {.request = active.id,
                          .attempt = attempt,
                          .endpoint = endpoint,
                          .reason = lost->reason,
                          .outcome = verdict::kMayHaveRun});
  }
  if (const auto* refused = std::get_if<endpoint_refused>(&outcome)) {
    telemetry_.log->Info("endpoint refused a request",
                         {.request = active.id,
                          .attempt = attempt,
                          .endpoint = endpoint,
                          .reason = refused->reason,
                          .outcome = verdict::kNotRun});
  }
  const bool reply_was_lost = std::holds_alternative<reply_lost>(outcome);
  RunActions(number, active.run.OnOutcome(loop_.Now(), shared_state_, attempt,
                                          std::move(outcome)));
  if (reply_was_lost) {
    on_reply_lost_();
  }
  EraseIfFinished(number);
}

void request_handler::OnConnectionIdle(const endpoint_id& id) {
  const auto* entry = shared_state_.registry.Find(id);
  if (entry == nullptr) {
    return;
  }
  const service_id service = entry->record.service;
  while (const auto next = shared_state_.waiting.Pop(loop_.Now(), service)) {
    const auto waiting = active_requests_.find(next->request);
    if (waiting != active_requests_.end() && !waiting->second->run.finished()) {
      RunActions(next->request, waiting->second->run.OnCapacity(
                                    loop_.Now(), shared_state_, next->shard));
      EraseIfFinished(next->request);
      return;
    }
  }
}

void request_handler::AbortAttempts(request_number number) {
  const auto found = active_requests_.find(number);
  if (found == active_requests_.end()) {
    return;
  }
  std::vector<attempt_id> attempts;
  std::ranges::copy(std::views::keys(found->second->attempts),
                    std::back_inserter(attempts));
  for (const attempt_id attempt : attempts) {
    pools_.Abort(attempt);
  }
}

}  // namespace trefoilmill::entry
