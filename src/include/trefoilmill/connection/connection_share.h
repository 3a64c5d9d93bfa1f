/// Computes how many connections this host may keep to an endpoint, so that
/// the connections of all hosts together stay below the endpoint's limit.
///
/// Advertised hosts (those that callers are told of) get equal shares of at
/// most half the limit in total, because after a power loss the endpoint counts
/// both old and new connections. A standby host connects to one replica of each
/// service. If there are more hosts than connections, each host skips some
/// replicas. Rendezvous hashing selects them, so that adding or removing a host
/// moves few connections, and every advertised host still connects to two
/// replicas.
#ifndef TREFOILMILL_CONNECTION_CONNECTION_SHARE_H_
#define TREFOILMILL_CONNECTION_CONNECTION_SHARE_H_

#include <cstddef>
#include <set>

#include "trefoilmill/ids.h"
#include "trefoilmill/process/sending_hosts.h"

namespace trefoilmill {

/// Capacity of one endpoint, and the replicas that a host can choose from.
struct endpoint_capacity {
  /// All endpoints of the service, including `endpoint`.
  const std::set<endpoint_id>& replicas;
  endpoint_id endpoint;
  /// Connections that the endpoint accepts from all hosts together.
  int max_connections = 1;
  /// Requests that the endpoint runs concurrently.
  int slots = 1;
};

/// Returns the number of connections that host `self` may keep to
/// `capacity.endpoint`; 0 if `self` must not connect to it. `hosts` counts all
/// hosts that connect to endpoints, including `self`.
int ConnectionShare(const host_id& self,
                    const sending_hosts& hosts,
                    const endpoint_capacity& capacity);

}  // namespace trefoilmill

#endif  // TREFOILMILL_CONNECTION_CONNECTION_SHARE_H_
