#include "tm_endpoint/endpoint_settings.h"

#include <xxhash.h>

#include <cmath>

#include "libtmstandin/standin_shell.h"

namespace trefoilmill {

std::map<std::uint64_t, std::set<std::uint32_t>> ParseShards(
    const nlohmann::json& value) {
  std::map<std::uint64_t, std::set<std::uint32_t>> shards;
  for (const auto& [version, list] : value.items()) {
    shards[std::stoull(version)] = list.get<std::set<std::uint32_t>>();
  }
  return shards;
}

duration FromMilliseconds(double milliseconds) {
  return duration(std::llround(milliseconds * 1000));
}

service_time ParseServiceTime(const nlohmann::json& value) {
  if (value.is_number()) {
    return fixed_time{.milliseconds = value.get<double>()};
  }
  return lognormal_time{.median_milliseconds = value.at("median").get<double>(),
                        .sigma = value.at("sigma").get<double>()};
}

endpoint_settings ParseEndpoint(const nlohmann::json& value) {
  endpoint_settings made;
  made.id = endpoint_id(value.at("id").get<std::string>());
  made.zone = zone_id(value.at("zone").get<std::string>());
  made.service = service_id(value.at("service").get<std::string>());
  made.address = ParseAddress(value);
  made.slots = value.at("slots").get<std::size_t>();
  made.queue_length = value.value("queue", made.slots);
  made.connections = value.at("connections").get<std::size_t>();
  made.connection_cost =
      FromMilliseconds(value.value("connection_cost_ms", 0.0));
  made.cold_slots = value.value("cold_slots", made.slots);
  made.cold_connections = value.value("cold_connections", made.connections);
  made.cold = FromMilliseconds(value.value("cold_ms", 0.0));
  made.warmed_by = value.value("warmed_by", "time") == "work" ? warm_up::kWork
                                                              : warm_up::kTime;
  made.versions = value.at("versions").get<std::set<std::uint64_t>>();
  if (value.contains("shards_by_version")) {
    made.shards_by_version = ParseShards(value.at("shards_by_version"));
  }
  made.service_times = ParseServiceTime(value.at("service_ms"));
  const std::string& id = made.id.value();
  made.seed = value.value("seed", XXH3_64bits(id.data(), id.size()));
  return made;
}

}  // namespace trefoilmill
