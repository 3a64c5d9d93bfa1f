#include "trefoilmill/connection/connection_share.h"

#include <algorithm>
#include <cmath>
#include <ranges>

#include "../rendezvous.h"

namespace trefoilmill {
namespace {

/// Part of an endpoint's connections that is handed out; the rest is room for
/// hosts that restart or that others have not heard of yet, and for chance in
/// the choice of replicas.
constexpr double kHandedOut = 0.8;
/// Replicas that every host reaches, if there are as many.
constexpr std::size_t kLeastReplicas = 2;

std::uint64_t Preference(const host_id& self, const endpoint_id& endpoint) {
  return RendezvousScore(HashName(self.value()), HashName(endpoint.value()));
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

}  // namespace

int ConnectionShare(const host_id& self,
                    std::size_t hosts,
                    const connection_demand& demand) {
  const double handed_out = kHandedOut * demand.max_connections;
  const double sharers = static_cast<double>(std::max<std::size_t>(hosts, 1));
  const int share = static_cast<int>(handed_out / sharers);
  if (share >= 1) {
    return std::min(share, demand.slots + 1);
  }
  const std::size_t reached =
      ReachedReplicas(demand.replicas.size(), handed_out, sharers);
  const std::uint64_t own = Preference(self, demand.endpoint);
  const auto preferred = std::ranges::count_if(
      demand.replicas,
      [&](const endpoint_id& other) { return Preference(self, other) > own; });
  return static_cast<std::size_t>(preferred) < reached ? 1 : 0;
}

}  // namespace trefoilmill
