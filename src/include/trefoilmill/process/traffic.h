/// What the requests of one process share: the endpoints, what was seen of
/// them, the budget for extra sends and the usual latencies.
#ifndef TREFOILMILL_PROCESS_TRAFFIC_H_
#define TREFOILMILL_PROCESS_TRAFFIC_H_

#include <cstdint>
#include <unordered_map>

#include "trefoilmill/process/endpoint_registry.h"
#include "trefoilmill/process/extra_send_budget.h"
#include "trefoilmill/process/latency_window.h"
#include "trefoilmill/process/placement.h"
#include "trefoilmill/version/routing_config.h"

namespace trefoilmill {

struct traffic {
  endpoint_registry registry;
  placement places;
  extra_send_budget extra_sends;
  /// Latency of sub-requests, from send to reply, by route: routes differ in
  /// their work, the shards of one route hardly do.
  std::unordered_map<route_id, latency_window> latencies;
  std::uint64_t last_attempt = 0;
};

/// The usual latency of a route's sub-requests: what was learned, or a share of
/// the route's objective before there is anything to learn from.
duration UsualLatency(const traffic& shared, const route& r);

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_TRAFFIC_H_
