/// How the entry process bounds what others make it hold.
#include <sys/resource.h>

#include <algorithm>
#include <cstdint>

#include "trefoilmill/connection/connection_eviction.h"
#include "trefoilmill/wire/log_messages.h"
#include "trefoilmill_entry/entry_process.h"

namespace trefoilmill::entry {
namespace {

/// The descriptors that the operating system lets this process open.
std::size_t SystemDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return SIZE_MAX;
  }
  return limit.rlim_cur;
}

}  // namespace

void entry_process::LimitConnections() {
  const connection_limits limits =
      LimitsFor(settings_.memory_bytes,
                std::min(settings_.max_descriptors, SystemDescriptorLimit()));
  connection_budget& budget = loop_.connections();
  budget.SetLimits(limits);
  budget.OnClosed([this](const connection_budget::closed_connections& closed) {
    telemetry_.meter->Increment(metric::kConnectionsClosed, {},
                                static_cast<double>(closed.count));
    telemetry_.log->Warning(
        log_message::kConnectionsClosed,
        {.inputs = {{"closed", static_cast<std::int64_t>(closed.count)},
                    {"bytes", static_cast<std::int64_t>(closed.bytes)},
                    {"inbound", static_cast<std::int64_t>(closed.inbound)}}});
  });
  telemetry_.log->Info(
      log_message::kProcessStarted,
      {.zone = settings_.zone,
       .inputs = {
           {"max_connection_bytes", static_cast<std::int64_t>(limits.bytes)},
           {"max_inbound", static_cast<std::int64_t>(limits.inbound)}}});
}

}  // namespace trefoilmill::entry
