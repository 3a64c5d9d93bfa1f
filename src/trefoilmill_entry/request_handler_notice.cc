/// What request_handler learns of endpoints from the ends of attempts.
#include "platform/endpoint_notice.h"
#include "request_handler_impl.h"
#include "trefoilmill/wire/log_messages.h"

namespace trefoilmill::entry {

void request_handler::ApplyNotice(const request_id& request,
                                  const endpoint_id& endpoint,
                                  const http_response& reply) {
  const auto notice = platform::ParseEndpointNotice(reply);
  const time_point now = loop_.Now();
  const auto* entry = shared_state_.registry.Find(endpoint);
  if (notice.leaving && entry != nullptr &&
      shared_state_.registry.MarkLeaving(endpoint, entry->record.started_ms)) {
    telemetry_.log->Info(
        log_message::kEndpointLeaving,
        {.request = request, .endpoint = endpoint, .detail = "own reply"});
    on_endpoint_leaving_(endpoint);
  }
  if (notice.pause.has_value()) {
    shared_state_.selector.OnPauseRequested(now, endpoint, *notice.pause);
    telemetry_.log->Info(log_message::kEndpointPaused,
                         {.request = request,
                          .endpoint = endpoint,
                          .inputs = {{"pause_us", notice.pause->count()}}});
  }
  if (notice.malformed_pause) {
    telemetry_.log->Warning("unusable Retry-After of an endpoint ignored",
                            {.request = request, .endpoint = endpoint});
  }
  if (notice.malformed_limit) {
    telemetry_.log->Warning("unusable request limit of an endpoint ignored",
                            {.request = request, .endpoint = endpoint});
    return;
  }
  if (shared_state_.selector.limits().OnResponse(now, endpoint, notice.limit)) {
    LogLimit(request, endpoint, notice.limit);
  }
}

void request_handler::LogLimit(const request_id& request,
                               const endpoint_id& endpoint,
                               std::optional<request_rate> limit) {
  if (!limit.has_value()) {
    telemetry_.log->Info(log_message::kEndpointUnlimited,
                         {.request = request, .endpoint = endpoint});
    return;
  }
  telemetry_.log->Info(
      log_message::kEndpointLimited,
      {.request = request,
       .endpoint = endpoint,
       .inputs = {{"per_thousand_seconds", limit->per_thousand_seconds()}}});
}

}  // namespace trefoilmill::entry
