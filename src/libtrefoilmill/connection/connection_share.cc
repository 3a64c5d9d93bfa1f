#include "trefoilmill/connection/connection_share.h"

#include <algorithm>
#include <cmath>
#include <ranges>

#include "../rendezvous.h"

namespace trefoilmill {
namespace {

/// Fraction of an endpoint's connections that is allocated to hosts. The rest
/// covers hosts that are not known here yet, and the uneven distribution that
/// results from choosing replicas by hash.
constexpr double kAllocatedFraction = 0.8;
/// Fraction of an endpoint's connections that advertised hosts may use. If all
/// of them lose power and restart, the endpoint still counts their previous
/// connections.
constexpr double kAdvertisedFraction = 0.5;
/// Replicas that every advertised host connects to, if there are as many.
constexpr std::size_t kMinReplicas = 2;
/// Replicas that a standby host connects to.
constexpr std::size_t kStandbyReplicas = 1;

std::uint64_t RendezvousWeight(const host_id& self,
                               const endpoint_id& endpoint) {
  return RendezvousScore(HashName(self.value()), HashName(endpoint.value()));
}

/// Whether the endpoint is among the `count` replicas with the highest
/// rendezvous weight for `self`.
bool IsSelected(const host_id& self,
                const endpoint_capacity& capacity,
                std::size_t count) {
  const std::uint64_t weight = RendezvousWeight(self, capacity.endpoint);
  const auto higher =
      std::ranges::count_if(capacity.replicas, [&](const endpoint_id& other) {
        return RendezvousWeight(self, other) > weight;
      });
  return static_cast<std::size_t>(higher) < count;
}

/// Returns the number of replicas that each of `hosts` hosts connects to, given
/// `connections` connections at each of `replicas` replicas.
std::size_t ReplicasPerHost(std::size_t replicas,
                            double connections,
                            double hosts) {
  const double replica_count = static_cast<double>(replicas);
  const auto affordable =
      static_cast<std::size_t>(replica_count * connections / hosts);
  return std::clamp(affordable, std::min(kMinReplicas, replicas), replicas);
}

/// Returns the mean number of connections that standby hosts keep to one of
/// `replicas` endpoints.
double StandbyConnections(const sending_hosts& hosts, std::size_t replicas) {
  return static_cast<double>(hosts.standby * kStandbyReplicas) /
         static_cast<double>(std::max<std::size_t>(replicas, 1));
}

}  // namespace

int ConnectionShare(const host_id& self,
                    const sending_hosts& hosts,
                    const endpoint_capacity& capacity) {
  if (!hosts.is_advertised) {
    return IsSelected(self, capacity, kStandbyReplicas) ? 1 : 0;
  }
  const double allocatable =
      std::max(0.0, kAllocatedFraction * capacity.max_connections -
                        StandbyConnections(hosts, capacity.replicas.size()));
  const double advertised =
      static_cast<double>(std::max<std::size_t>(hosts.advertised, 1));
  if (allocatable >= advertised) {
    const double advertised_total =
        std::min(allocatable, kAdvertisedFraction * capacity.max_connections);
    const int share = static_cast<int>(advertised_total / advertised);
    // At most one more than the slots, whose number may be the largest there
    // is.
    return std::max(1, std::min(share - 1, capacity.slots) + 1);
  }
  const std::size_t replicas =
      ReplicasPerHost(capacity.replicas.size(), allocatable, advertised);
  return IsSelected(self, capacity, replicas) ? 1 : 0;
}

}  // namespace trefoilmill
