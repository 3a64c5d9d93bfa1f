/// Selects the host that sends a sub-request to an endpoint.
#ifndef TREFOILMILL_ROUTING_H_
#define TREFOILMILL_ROUTING_H_

#include <functional>
#include <optional>
#include <variant>

#include "trefoilmill/ids.h"

namespace trefoilmill {

/// Each endpoint has one owner host; all other hosts forward sub-requests to
/// it.
struct owner_routing {
  /// Returns the endpoint's owner in the current membership view; nullopt if
  /// it has none.
  std::function<std::optional<host_id>(const endpoint_id&)> owner_of;
};

/// Every host connects to every endpoint, with a fixed share of connections and
/// slots. Serves as the baseline for benchmarks of owner_routing.
struct direct_routing {
  /// The host that runs this process.
  host_id self;
};

/// The routing mode of a process.
using routing = std::variant<owner_routing, direct_routing>;

/// Returns the host that sends to `endpoint`; nullopt if there is none.
std::optional<host_id> HostFor(const routing& mode,
                               const endpoint_id& endpoint);

}  // namespace trefoilmill

#endif  // TREFOILMILL_ROUTING_H_
