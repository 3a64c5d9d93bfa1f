/// Requests that the HTTP server rejects before any handler sees them.
#ifndef TREFOILMILL_ENTRY_REJECTED_REQUESTS_H_
#define TREFOILMILL_ENTRY_REJECTED_REQUESTS_H_

#include <string_view>

#include "trefoilmill/net/http.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// Logs and counts each request that `server` rejects as malformed, too large
/// or too slow, and each connection that it cannot accept. `address` says which
/// of the process's addresses it serves, such as "callers". `process_telemetry`
/// must outlive the server. Nothing of the request itself is logged, as it may
/// hold a key.
void ReportRejections(http_server& server,
                      std::string_view address,
                      telemetry& process_telemetry);

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_REJECTED_REQUESTS_H_
