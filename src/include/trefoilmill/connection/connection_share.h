/// How many connections this host may keep to an endpoint, so that all hosts
/// together stay below what the endpoint accepts.
///
/// Hosts that callers are told of get equal shares of at most half: after a
/// loss of power the endpoint counts old and new connections. Hosts that stand
/// by reach one replica of every service. Where hosts outnumber connections,
/// each host leaves out some replicas, chosen by rendezvous hashing: a host
/// that comes or goes moves few connections, and every host that callers are
/// told of still reaches two replicas.
#ifndef TREFOILMILL_CONNECTION_CONNECTION_SHARE_H_
#define TREFOILMILL_CONNECTION_CONNECTION_SHARE_H_

#include <cstddef>
#include <set>

#include "trefoilmill/ids.h"
#include "trefoilmill/process/sending_hosts.h"

namespace trefoilmill {

/// One endpoint and its replicas.
struct connection_demand {
  /// All endpoints of the service, this one among them.
  const std::set<endpoint_id>& replicas;
  endpoint_id endpoint;
  /// What the endpoint accepts from all hosts together.
  int max_connections = 1;
  /// Requests that it runs at once.
  int slots = 1;
};

/// Connections that `self`, one of `sharers`, may keep; 0 if the endpoint is
/// left to others.
int ConnectionShare(const host_id& self,
                    const sending_hosts& sharers,
                    const connection_demand& demand);

}  // namespace trefoilmill

#endif  // TREFOILMILL_CONNECTION_CONNECTION_SHARE_H_
