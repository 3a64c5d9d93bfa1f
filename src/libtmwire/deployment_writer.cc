/// Writes deployments out in full, and makes catalogs for trials.
#include <algorithm>
#include <utility>

#include "deployment_sections.h"
#include "trefoilmill/wire/deployment_codec.h"
#include "wire_json.h"

namespace trefoilmill {
namespace {

json EndpointsJson(const std::vector<endpoint_config>& endpoints) {
  json list = json::array();
  for (const endpoint_config& endpoint : endpoints) {
    list.push_back({{"id", endpoint.id.value()},
                    {"zone", endpoint.zone.value()},
                    {"address", AddressJson(endpoint.address)}});
  }
  return list;
}

json ServiceJson(const service_config& service) {
  const endpoint_limits& limits = service.limits;
  return {{"name", service.id.value()},
          {"weight", service.weight},
          {"slots", limits.slots},
          {"connections", limits.connections},
          {"connection_cost_ms", ToMilliseconds(limits.connection_cost)},
          {"cold_slots", limits.cold_slots},
          {"cold_connections", limits.cold_connections},
          {"warmup_successes", limits.warmup_successes},
          {"warmup_step_ms", ToMilliseconds(limits.warmup_step)},
          {"endpoints", EndpointsJson(service.endpoints)}};
}

/// The shard that can best take `endpoint`: the first without one in its zone.
shard_layout& ShardFor(const endpoint_config& endpoint,
                       std::vector<shard_layout>& shards,
                       std::vector<std::set<zone_id>>& zones_of_shards) {
  const auto free = std::ranges::find_if(
      zones_of_shards, [&endpoint](const std::set<zone_id>& zones) {
        return !zones.contains(endpoint.zone);
      });
  const auto index = static_cast<std::size_t>(free - zones_of_shards.begin());
  if (free == zones_of_shards.end()) {
    shards.emplace_back();
    zones_of_shards.emplace_back();
  }
  zones_of_shards[index].insert(endpoint.zone);
  return shards[index];
}

service_layout LayOut(const service_config& service) {
  service_layout layout;
  std::vector<std::set<zone_id>> zones_of_shards;
  for (const endpoint_config& endpoint : service.endpoints) {
    shard_layout& shard = ShardFor(endpoint, layout.shards, zones_of_shards);
    shard.replicas.push_back(endpoint.id);
  }
  return layout;
}

}  // namespace

std::string WriteDeployment(const deployment& value) {
  json zones = json::array();
  for (const zone_id& zone : value.zones) {
    zones.push_back({{"name", zone.value()}});
  }
  json services = json::array();
  for (const auto& [id, service] : value.services) {
    services.push_back(ServiceJson(service));
  }
  return Dump({{"template", SectionsJson(value)},
               {"parameters",
                {{"organisation", value.organisation.value()},
                 {"zones", std::move(zones)},
                 {"services", std::move(services)}}}},
              2);
}

snapshot_catalog DefaultCatalog(const deployment& value,
                                snapshot_version version) {
  snapshot_layout layout;
  layout.version = version;
  for (const auto& [id, service] : value.services) {
    layout.services.emplace(id, LayOut(service));
  }
  return {.versions = {std::move(layout)}};
}

}  // namespace trefoilmill
