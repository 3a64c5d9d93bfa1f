#include "load_config.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <nlohmann/json.hpp>

namespace trefoilmill {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 22> kFields{
    "entries",           "services",
    "rate_per_s",        "seconds",
    "warmup_s",          "seed",
    "deadline_ms",       "policy",
    "min_coverage",      "non_idempotent_share",
    "callers",           "stale_callers",
    "max_tries",         "resubmit_unknown",
    "endpoint_controls", "store_control",
    "administration",    "config_poll_ms",
    "network_ms",        "events",
    "leave_marks",       "catalog"};

duration Seconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

duration Milliseconds(double milliseconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

socket_address ParseAddress(const json& value) {
  return {.ip = value.at("ip").get<std::string>(),
          .port = value.at("port").get<std::uint16_t>()};
}

std::vector<socket_address> ParseAddresses(const json& document,
                                           const char* name) {
  std::vector<socket_address> addresses;
  std::ranges::transform(document.value(name, json::array()),
                         std::back_inserter(addresses), ParseAddress);
  return addresses;
}

std::set<service_id> ParseServices(const json& document) {
  const json services = document.value("services", json("*"));
  std::set<service_id> ids;
  if (services.is_array()) {
    for (const json& service : services) {
      ids.insert(service_id(service.get<std::string>()));
    }
  }
  return ids;
}

timed_event ParseEvent(const json& value) {
  timed_event event;
  event.at = Seconds(value.at("at_s").get<double>());
  event.target = ParseAddress(value.at("target"));
  event.method = value.value("method", "POST");
  event.path = value.at("path").get<std::string>();
  const json body = value.value("body", json());
  if (!body.is_null()) {
    event.body = body.is_string() ? body.get<std::string>() : body.dump();
  }
  return event;
}

planned_stop ParseStop(const json& value) {
  return {.at = Seconds(value.at("at_s").get<double>()),
          .host = ParseAddress(value)};
}

/// The platform's document "catalog".
shard_layouts ParseCatalog(const json& catalog) {
  shard_layouts layouts;
  for (const json& version : catalog.value("versions", json::array())) {
    const snapshot_version id(version.at("version").get<std::uint64_t>());
    for (const auto& [service, layout] : version.at("services").items()) {
      std::uint32_t position = 0;
      for (const json& replicas : layout.at("shards")) {
        const shard_ref shard{.service = service_id(service),
                              .shard = shard_id(position++)};
        for (const json& replica : replicas) {
          layouts[id][shard].emplace_back(replica.get<std::string>());
        }
      }
    }
  }
  return layouts;
}

void RefuseUnknownFields(const json& document) {
  for (const auto& [key, value] : document.items()) {
    if (std::ranges::find(kFields, key) == kFields.end()) {
      throw std::invalid_argument("unknown field \"" + key + "\"");
    }
  }
}

void ParseLoad(const json& document, load_config& config) {
  config.rate_per_s = document.value("rate_per_s", config.rate_per_s);
  config.length = Seconds(document.at("seconds").get<double>());
  config.warmup = Seconds(document.value("warmup_s", 0.0));
  config.seed = document.value("seed", config.seed);
  config.deadline = Milliseconds(document.value("deadline_ms", 1000.0));
  if (document.contains("policy") && !document.at("policy").is_null()) {
    config.policy = document.at("policy").get<std::string>();
  }
  if (document.contains("min_coverage") &&
      !document.at("min_coverage").is_null()) {
    config.min_coverage = document.at("min_coverage").get<double>();
  }
  config.non_idempotent_share =
      document.value("non_idempotent_share", config.non_idempotent_share);
  config.callers = std::max(1, document.value("callers", config.callers));
  config.stale_callers = document.value("stale_callers", 0);
  config.max_tries = document.value("max_tries", config.max_tries);
  config.resubmit_unknown = document.value("resubmit_unknown", false);
}

void ParseSurroundings(const json& document, load_config& config) {
  config.endpoint_controls = ParseAddresses(document, "endpoint_controls");
  config.administration = ParseAddresses(document, "administration");
  if (document.contains("store_control") &&
      !document.at("store_control").is_null()) {
    config.store_control = ParseAddress(document.at("store_control"));
  }
  config.config_poll = Milliseconds(document.value("config_poll_ms", 500.0));
  const json network = document.value("network_ms", json::object());
  config.client_latency = Milliseconds(network.value("client", 0.0));
  std::ranges::transform(document.value("events", json::array()),
                         std::back_inserter(config.events), ParseEvent);
  std::ranges::transform(document.value("leave_marks", json::array()),
                         std::back_inserter(config.leave_marks), ParseStop);
  config.layouts = ParseCatalog(document.value("catalog", json::object()));
}

}  // namespace

result<load_config> ReadLoadConfig(std::string_view text) {
  try {
    const json document = json::parse(text, nullptr, true, true);
    RefuseUnknownFields(document);
    load_config config;
    config.entries = ParseAddresses(document, "entries");
    config.services = ParseServices(document);
    ParseLoad(document, config);
    ParseSurroundings(document, config);
    if (config.entries.empty() || config.rate_per_s <= 0) {
      throw std::invalid_argument("needs entries and a rate above 0");
    }
    return config;
  } catch (const std::exception& error) {
    return failure{.outcome = verdict::kNotRun,
                   .reason = reason_code::kBadRequest,
                   .detail = error.what(),
                   .retry_after = std::nullopt};
  }
}

}  // namespace trefoilmill
