#include <algorithm>
#include <cmath>
#include <cstdint>
#include <ranges>
#include <string>
#include <utility>

#include "rendezvous.h"
#include "trefoilmill/ownership.h"

namespace trefoilmill {
namespace {

/// Limit on a host's number of endpoints, as a multiple of the zone's average.
constexpr double kMaxLoadFactor = 1.25;

/// A host that may own endpoints.
struct candidate {
  host_id id;
  /// HashName() of the id.
  std::uint64_t name_hash = 0;
  /// Number of endpoints assigned so far.
  std::size_t owned = 0;
};

/// The endpoints of one service in one zone.
struct endpoint_group {
  /// Rendezvous key: the hash of zone and service.
  std::uint64_t key = 0;
  std::vector<endpoint_id> endpoints;
};

/// The hosts of one zone and the endpoints that they serve.
struct zone_load {
  std::vector<candidate> hosts;
  /// Ordered by zone and service, so that every host computes the same map.
  std::map<std::pair<zone_id, service_id>, endpoint_group> groups;
};

using zone_loads = std::map<zone_id, zone_load>;

/// Groups the hosts by zone, ordered by id, without the zones in `zones_out`.
zone_loads GroupHostsByZone(const std::vector<host_record>& live,
                            const std::set<zone_id>& zones_out) {
  zone_loads zones;
  for (const host_record& host : live) {
    if (!zones_out.contains(host.zone)) {
      zones[host.zone].hosts.push_back(
          {.id = host.id, .name_hash = HashName(host.id.value())});
    }
  }
  for (zone_load& zone : zones | std::views::values) {
    std::ranges::sort(zone.hosts, {}, &candidate::id);
  }
  return zones;
}

/// Returns `zone` itself if it has hosts, else the next zone in the
/// deployment's order, wrapping around, else any zone with hosts. Returns
/// nullptr if there is none.
zone_load* ServingZone(zone_loads& zones,
                       const std::vector<zone_id>& order,
                       const zone_id& zone) {
  const auto own = zones.find(zone);
  if (own != zones.end()) {
    return &own->second;
  }
  const auto start = std::ranges::find(order, zone);
  std::vector<zone_id> fallbacks(start, order.end());
  fallbacks.insert(fallbacks.end(), order.begin(), start);
  for (const zone_id& candidate_zone : fallbacks) {
    const auto found = zones.find(candidate_zone);
    if (found != zones.end()) {
      return &found->second;
    }
  }
  return zones.empty() ? nullptr : &zones.begin()->second;
}

/// Adds an endpoint to the group of its own zone and service.
void AddEndpoint(zone_load& zone, const endpoint_config& endpoint) {
  endpoint_group& group = zone.groups[{endpoint.zone, endpoint.service}];
  if (group.endpoints.empty()) {
    const std::string name =
        endpoint.zone.value() + '\n' + endpoint.service.value();
    group.key = HashName(name);
  }
  group.endpoints.push_back(endpoint.id);
}

/// Returns the maximum number of endpoints per host of the zone.
std::size_t MaxEndpointsPerHost(const zone_load& zone) {
  std::size_t total = 0;
  for (const endpoint_group& group : zone.groups | std::views::values) {
    total += group.endpoints.size();
  }
  const double average =
      static_cast<double>(total) / static_cast<double>(zone.hosts.size());
  return static_cast<std::size_t>(std::ceil(kMaxLoadFactor * average));
}

/// Returns the host with the highest weight for `key` among those below the
/// limit. The limit is at least the average, so there always is one.
candidate& BestHost(std::vector<candidate>& hosts,
                    std::uint64_t key,
                    std::size_t max_per_host) {
  candidate* best = nullptr;
  std::uint64_t best_score = 0;
  // Hosts are ordered by id, so every host breaks ties between equal scores in
  // the same way.
  for (candidate& host : hosts) {
    const std::uint64_t score = RendezvousScore(key, host.name_hash);
    if (host.owned < max_per_host && (best == nullptr || score > best_score)) {
      best = &host;
      best_score = score;
    }
  }
  return *best;
}

/// Assigns the endpoints of `group` to one host until it reaches the limit,
/// then to the next best host.
void AssignGroup(zone_load& zone,
                 endpoint_group& group,
                 std::size_t max_per_host,
                 std::map<endpoint_id, host_id>& owners) {
  std::ranges::sort(group.endpoints);
  candidate* owner = nullptr;
  for (const endpoint_id& endpoint : group.endpoints) {
    if (owner == nullptr || owner->owned == max_per_host) {
      owner = &BestHost(zone.hosts, group.key, max_per_host);
    }
    owners[endpoint] = owner->id;
    ++owner->owned;
  }
}

}  // namespace

ownership_map ownership_map::Build(const std::vector<host_record>& live,
                                   const std::set<zone_id>& zones_out,
                                   const deployment& config) {
  zone_loads zones = GroupHostsByZone(live, zones_out);
  for (const service_config& service : config.services | std::views::values) {
    for (const endpoint_config& endpoint : service.endpoints) {
      zone_load* zone = ServingZone(zones, config.zones, endpoint.zone);
      if (zone != nullptr && !zones_out.contains(endpoint.zone)) {
        AddEndpoint(*zone, endpoint);
      }
    }
  }
  ownership_map map;
  for (zone_load& zone : zones | std::views::values) {
    const std::size_t max_per_host = MaxEndpointsPerHost(zone);
    for (endpoint_group& group : zone.groups | std::views::values) {
      AssignGroup(zone, group, max_per_host, map.owners_);
    }
  }
  return map;
}

std::optional<host_id> ownership_map::OwnerOf(
    const endpoint_id& endpoint) const {
  const auto found = owners_.find(endpoint);
  if (found == owners_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<endpoint_id> ownership_map::EndpointsOf(const host_id& host) const {
  std::vector<endpoint_id> owned;
  for (const auto& [endpoint, owner] : owners_) {
    if (owner == host) {
      owned.push_back(endpoint);
    }
  }
  return owned;
}

}  // namespace trefoilmill
