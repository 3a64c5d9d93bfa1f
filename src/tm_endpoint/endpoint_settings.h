/// What one stand-in endpoint is like, and how it misbehaves.
#ifndef TREFOILMILL_TM_ENDPOINT_ENDPOINT_SETTINGS_H_
#define TREFOILMILL_TM_ENDPOINT_ENDPOINT_SETTINGS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "tm_endpoint/service_time.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// What ends a cold start.
enum class warm_up { kTime, kWork };

struct endpoint_settings {
  endpoint_id id;
  zone_id zone;
  service_id service;
  socket_address address;
  /// Requests that run at once.
  std::size_t slots = 1;
  /// Requests that wait for a slot; more are shed.
  std::size_t queue_length = 1;
  std::size_t connections = 1;
  /// Delay of the first request on each connection.
  duration connection_cost{};
  /// What a cold instance bears; beyond it falls over.
  std::size_t cold_slots = 1;
  std::size_t cold_connections = 1;
  /// Time, or sum of service times, until an instance is warm.
  duration cold{};
  warm_up warmed_by = warm_up::kTime;
  std::set<std::uint64_t> versions;
  /// Versions that are not listed have every shard.
  std::map<std::uint64_t, std::set<std::uint32_t>> shards_by_version;
  service_time service_times = fixed_time{};
  std::uint64_t seed = 0;
};

/// Faults that the control address switches; shares are 0..1.
struct endpoint_faults {
  double slow_factor = 1;
  double shed_share = 0;
  double reset_share = 0;
  double truncate_share = 0;
  double wrong_version_share = 0;
  double duplicate_share = 0;
  duration late_reply{};
  bool lie = false;
  bool drain = false;
};

/// Milliseconds, maybe fractional, as a duration.
duration FromMilliseconds(double milliseconds);

/// Reads one entry of the settings file's `endpoints`. Throws
/// nlohmann::json::exception on a missing or ill-typed field.
endpoint_settings ParseEndpoint(const nlohmann::json& value);

/// Reads `shards_by_version`: `{"7": [0, 1]}`.
std::map<std::uint64_t, std::set<std::uint32_t>> ParseShards(
    const nlohmann::json& value);

/// Reads `service_ms`: a number or a distribution.
service_time ParseServiceTime(const nlohmann::json& value);

}  // namespace trefoilmill

#endif  // TREFOILMILL_TM_ENDPOINT_ENDPOINT_SETTINGS_H_
