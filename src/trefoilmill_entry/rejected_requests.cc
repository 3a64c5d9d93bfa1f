#include "rejected_requests.h"

#include <cstdint>
#include <string>

#include "trefoilmill/wire/log_messages.h"

namespace trefoilmill::entry {

void ReportRejections(http_server& server,
                      std::string_view address,
                      telemetry& process_telemetry) {
  server.OnRejected([&process_telemetry, address = std::string(address)](
                        const rejected_request& rejected) {
    process_telemetry.meter->Increment(
        metric::kRejectedRequests, {address, std::to_string(rejected.status)});
    process_telemetry.log->Warning(
        log_message::kRequestRejected,
        {.reason = reason_code::kBadRequest,
         .detail = rejected.peer_ip,
         .inputs = {{"address", address},
                    {"status", std::int64_t{rejected.status}}}});
  });
  server.OnAcceptFailed([&process_telemetry, address = std::string(address)] {
    process_telemetry.meter->Increment(metric::kAcceptFailures, {address});
    process_telemetry.log->Warning(log_message::kAcceptFailed,
                                   {.inputs = {{"address", address}}});
  });
}

}  // namespace trefoilmill::entry
