#include "proxy_config.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>

#include "libtmstandin/standin_shell.h"

namespace trefoilmill {
namespace {

using nlohmann::json;

duration Milliseconds(const json& value) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(value.get<double>()));
}

stall_direction ParseStall(const std::string& text) {
  if (text == "none") {
    return stall_direction::kNone;
  }
  if (text == "to_upstream") {
    return stall_direction::kToUpstream;
  }
  if (text == "to_client") {
    return stall_direction::kToClient;
  }
  if (text == "both") {
    return stall_direction::kBoth;
  }
  throw std::invalid_argument("unknown stall \"" + text + "\"");
}

/// Fields that are not faults.
bool IsOther(const std::string& key) {
  constexpr std::array<std::string_view, 5> kKeys{"name", "listen", "upstream",
                                                  "listener", "cut"};
  return std::ranges::find(kKeys, key) != kKeys.end();
}

void ApplyField(const std::string& key,
                const json& value,
                listener_faults& faults) {
  if (key == "delay_ms") {
    faults.delay = Milliseconds(value);
  } else if (key == "jitter_ms") {
    faults.jitter = Milliseconds(value);
  } else if (key == "reset_share") {
    faults.reset_share = value.get<double>();
  } else if (key == "stall") {
    faults.stall = ParseStall(value.get<std::string>());
  } else if (key == "refuse") {
    faults.refuse = value.get<bool>();
  } else if (key == "bytes_per_s") {
    faults.bytes_per_s = value.get<std::int64_t>();
  } else if (!IsOther(key)) {
    throw std::invalid_argument("unknown field \"" + key + "\"");
  }
}

listener_config ParseListener(const json& value) {
  listener_config parsed;
  parsed.name = value.at("name").get<std::string>();
  parsed.listen = ParseAddress(value.at("listen"));
  parsed.upstream = ParseAddress(value.at("upstream"));
  for (const auto& [key, field] : value.items()) {
    ApplyField(key, field, parsed.faults);
  }
  return parsed;
}

}  // namespace

result<proxy_config> ReadProxyConfig(const json& settings) {
  try {
    proxy_config config;
    config.control = ParseAddress(settings.at("control"));
    const json& listeners = settings.at("listeners");
    std::ranges::transform(listeners, std::back_inserter(config.listeners),
                           ParseListener);
    config.seed = settings.value("seed", config.seed);
    return config;
  } catch (const std::exception& error) {
    return StandinFailure(error.what());
  }
}

result<void> ApplyFaults(const json& change, listener_faults& faults) {
  try {
    listener_faults changed = faults;
    for (const auto& [key, value] : change.items()) {
      ApplyField(key, value, changed);
    }
    faults = changed;
    return outcome::success();
  } catch (const std::exception& error) {
    return StandinFailure(error.what());
  }
}

}  // namespace trefoilmill
