#include "trefoilmill_entry/endpoint_evidence.h"

#include "platform/endpoint_notice.h"

namespace trefoilmill::entry {

void RecordResponse(time_point now,
                    shared_request_state& shared,
                    const endpoint_id& endpoint,
                    const http_response& response) {
  shared.selector.reach().OnResponse(now, endpoint);
  shared.silences.OnResponse(now);
  if (platform::IsFromAnotherInstance(response, endpoint)) {
    shared.selector.crashes().OnInstanceGone(now, endpoint);
    return;
  }
  shared.selector.crashes().OnAlive(now, endpoint);
  shared.responses.OnResponse(now, endpoint);
}

void RecordExchange(time_point now,
                    shared_request_state& shared,
                    const endpoint_id& endpoint,
                    const http_result& exchange) {
  if (exchange.response.has_value()) {
    RecordResponse(now, shared, endpoint, *exchange.response);
    return;
  }
  endpoint_reach& reach = shared.selector.reach();
  switch (*exchange.failure_reason) {
    case http_failure::kMalformed:
      // The endpoint did send something.
      reach.OnResponse(now, endpoint);
      return;
    case http_failure::kConnectionLost:
      reach.OnLost(now, endpoint);
      return;
    case http_failure::kNotConnected:
    case http_failure::kTimeout:
      reach.OnLate(now, endpoint);
      return;
  }
}

}  // namespace trefoilmill::entry
