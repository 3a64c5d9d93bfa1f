/// How many connections this host may keep to an endpoint, so that all hosts
/// together stay below what the endpoint accepts.
///
/// With fewer hosts than connections each host gets an equal share. Where hosts
/// outnumber connections, each host leaves out some replicas of every service,
/// chosen by rendezvous hashing: a host that comes or goes moves few
/// connections, and every host still reaches two replicas.
#ifndef TREFOILMILL_CONNECTION_CONNECTION_SHARE_H_
#define TREFOILMILL_CONNECTION_CONNECTION_SHARE_H_

#include <cstddef>
#include <set>

#include "trefoilmill/ids.h"

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

/// Connections that `self`, one of `hosts` hosts, may keep; 0 if the endpoint
/// is left to others.
int ConnectionShare(const host_id& self,
                    std::size_t hosts,
                    const connection_demand& demand);

}  // namespace trefoilmill

#endif  // TREFOILMILL_CONNECTION_CONNECTION_SHARE_H_
