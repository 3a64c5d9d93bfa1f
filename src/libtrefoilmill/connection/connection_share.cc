#include "trefoilmill/connection/connection_share.h"

#include <algorithm>
#include <cmath>
#include <ranges>

#include "../rendezvous.h"

namespace trefoilmill {
namespace {

/// Part of an endpoint's connections that is handed out in all; the rest is
/// room for hosts that others have not heard of yet, and for chance in the
/// choice of replicas.
constexpr double kHandedOut = 0.8;
/// Part that the named hosts get: when all of them lose power and come back,
/// the endpoint still counts the connections of before.
constexpr double kNamedPart = 0.5;
/// Replicas that every host reaches, if there are as many.
constexpr std::size_t kLeastReplicas = 2;
/// Replicas that a host reaches while it stands by.
constexpr std::size_t kStandbyReplicas = 1;

std::uint64_t Preference(const host_id& self, const endpoint_id& endpoint) {
  return RendezvousScore(HashName(self.value()), HashName(endpoint.value()));
}

/// Whether the endpoint is among the `count` replicas that `self` prefers.
bool IsPreferred(const host_id& self,
                 const connection_demand& demand,
                 std::size_t count) {
  const std::uint64_t own = Preference(self, demand.endpoint);
  const auto preferred = std::ranges::count_if(
      demand.replicas,
      [&](const endpoint_id& other) { return Preference(self, other) > own; });
  return static_cast<std::size_t>(preferred) < count;
}

/// How many replicas one host connects to when there are `connections` for
/// `hosts` hosts at each.
std::size_t ReachedReplicas(std::size_t replicas,
                            double connections,
                            double hosts) {
  const double all = static_cast<double>(replicas);
  const auto fitting = static_cast<std::size_t>(all * connections / hosts);
  return std::clamp(fitting, std::min(kLeastReplicas, replicas), replicas);
}

/// Connections at one endpoint that hosts standing by may take.
double StandbyConnections(const sending_hosts& sharers, std::size_t replicas) {
  return static_cast<double>(sharers.standing_by * kStandbyReplicas) /
         static_cast<double>(std::max<std::size_t>(replicas, 1));
}

}  // namespace

int ConnectionShare(const host_id& self,
                    const sending_hosts& sharers,
                    const connection_demand& demand) {
  if (!sharers.is_named) {
    return IsPreferred(self, demand, kStandbyReplicas) ? 1 : 0;
  }
  const double handed_out =
      std::max(0.0, kHandedOut * demand.max_connections -
                        StandbyConnections(sharers, demand.replicas.size()));
  const double named =
      static_cast<double>(std::max<std::size_t>(sharers.named, 1));
  if (handed_out >= named) {
    const double most =
        std::min(handed_out, kNamedPart * demand.max_connections);
    const int share = static_cast<int>(most / named);
    return std::clamp(share, 1, demand.slots + 1);
  }
  const std::size_t reached =
      ReachedReplicas(demand.replicas.size(), handed_out, named);
  return IsPreferred(self, demand, reached) ? 1 : 0;
}

}  // namespace trefoilmill
