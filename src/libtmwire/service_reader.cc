#include "service_reader.h"

#include <algorithm>
#include <utility>

namespace trefoilmill {
namespace {

using enum presence;
using std::chrono::milliseconds;

constexpr integer_range kSlots = {1, 10000};
constexpr integer_range kConnections = {1, 100000};
constexpr integer_range kWarmupSuccesses = {1, 10000};
constexpr integer_range kWeights = {1, 1000};
constexpr integer_range kSearchers = {1, 1000};
constexpr integer_range kCounts = {1, 5000};
constexpr integer_range kPortOffsets = {0, 65535};
constexpr int kMaxPort = 65535;
constexpr time_range kConnectionCosts = {milliseconds(0), milliseconds(10000)};
constexpr time_range kWarmupSteps = {milliseconds(0), milliseconds(600000)};
/// Endpoints of one deployment.
constexpr std::size_t kMaxEndpoints = 100000;

void ReadLimits(object_reader& reader, endpoint_limits& out) {
  reader.Integer("slots", kSlots, kOptional, out.slots);
  reader.Integer("connections", kConnections, kOptional, out.connections);
  reader.Milliseconds("connection_cost_ms", kConnectionCosts, kOptional,
                      out.connection_cost);
  reader.Integer("cold_slots", kSlots, kOptional, out.cold_slots);
  reader.Integer("cold_connections", kConnections, kOptional,
                 out.cold_connections);
  reader.Integer("warmup_successes", kWarmupSuccesses, kOptional,
                 out.warmup_successes);
  reader.Milliseconds("warmup_step_ms", kWarmupSteps, kOptional,
                      out.warmup_step);
}

void ReadShape(object_reader& reader, service_group& out) {
  ReadLimits(reader, out.limits);
  reader.Integer("weight", kWeights, kOptional, out.weight);
  reader.Integer("searchers", kSearchers, kOptional, out.searchers);
}

/// A connection carries one request at a time.
void CheckLimits(object_reader& reader, const endpoint_limits& limits) {
  if (limits.slots > limits.connections) {
    reader.AddError("slots", "must not exceed \"connections\" (" +
                                 std::to_string(limits.connections) + ")");
  }
  if (limits.cold_slots > limits.slots) {
    reader.AddError("cold_slots", "must not exceed \"slots\" (" +
                                      std::to_string(limits.slots) + ")");
  }
  if (limits.cold_connections > limits.connections) {
    reader.AddError("cold_connections", "must not exceed \"connections\" (" +
                                            std::to_string(limits.connections) +
                                            ")");
  }
  if (limits.cold_slots > limits.cold_connections) {
    reader.AddError("cold_connections", "must not be below \"cold_slots\" (" +
                                            std::to_string(limits.cold_slots) +
                                            ")");
  }
}

}  // namespace

std::string LetterSuffix(int index) {
  constexpr int kLetters = 26;
  std::string suffix;
  for (int rest = index; rest >= 0; rest = rest / kLetters - 1) {
    suffix.insert(suffix.begin(), static_cast<char>('a' + rest % kLetters));
  }
  return suffix;
}

service_reader::service_reader(const std::vector<zone_place>& zones,
                               diagnostics& errors)
    : zones_(zones), errors_(errors) {}

void service_reader::ReadGroups(const json& groups, const std::string& path) {
  groups_path_ = path;
  if (!groups.is_object()) {
    errors_.Add(path, "must be an object, not " + TypeName(groups));
    return;
  }
  for (const auto& [name, value] : groups.items()) {
    object_reader reader(value, MemberPath(path, name), errors_);
    service_group group;
    ReadShape(reader, group);
    CheckLimits(reader, group.limits);
    reader.Finish();
    groups_.emplace(name, group);
  }
}

std::map<service_id, service_config> service_reader::ReadServices(
    const json& list,
    const std::string& path) {
  std::map<service_id, service_config> services;
  if (!list.is_array()) {
    errors_.Add(path, "must be a list, not " + TypeName(list));
    return services;
  }
  for (std::size_t i = 0; i < list.size(); ++i) {
    const auto entry = ReadEntry(list[i], ElementPath(path, i));
    if (!entry.has_value()) {
      continue;
    }
    for (service_config& service : Generate(*entry)) {
      if (services.contains(service.id)) {
        errors_.Add(entry->path, "names service \"" + service.id.value() +
                                     "\" a second time");
      } else if (CheckUnique(service, entry->path)) {
        services.emplace(service.id, std::move(service));
      }
    }
  }
  return services;
}

std::optional<service_reader::service_entry> service_reader::ReadEntry(
    const json& value,
    const std::string& path) {
  object_reader reader(value, path, errors_);
  service_entry entry;
  entry.path = path;
  reader.Text("name", text_rule::kName, kRequired, entry.name);
  ReadGroupName(reader, entry);
  ReadShape(reader, entry.shape);
  if (entry.usable) {
    CheckLimits(reader, entry.shape.limits);
  }
  reader.Integer("count", kCounts, kOptional, entry.count);
  reader.Integer("port_offset", kPortOffsets, kOptional, entry.port_offset);
  ReadEndpoints(reader, entry);
  reader.Finish();
  if (!entry.usable || errors_.HasErrorsAt(path)) {
    return std::nullopt;
  }
  return entry;
}

void service_reader::ReadGroupName(object_reader& reader,
                                   service_entry& entry) {
  std::string name;
  reader.Text("group", text_rule::kAny, kOptional, name);
  if (name.empty()) {
    return;
  }
  const auto found = groups_.find(name);
  if (found == groups_.end()) {
    std::vector<std::string> names;
    names.reserve(groups_.size());
    for (const auto& [known, group] : groups_) {
      names.push_back(known);
    }
    reader.AddError("group",
                    "names no group of the template; allowed: " + Join(names));
    return;
  }
  // The group's own errors say why; repeating them here would not help.
  entry.usable = !errors_.HasErrorsAt(MemberPath(groups_path_, name));
  entry.shape = found->second;
}

void service_reader::ReadEndpoints(object_reader& reader,
                                   service_entry& entry) {
  const json* list = reader.Member("endpoints", kOptional);
  if (list == nullptr) {
    return;
  }
  if (!list->is_array() || list->empty() || list->size() > kMaxEndpoints) {
    reader.AddError("endpoints",
                    "must be a list of 1 to " + std::to_string(kMaxEndpoints));
    return;
  }
  if (entry.count != 0) {
    reader.AddError("endpoints", "must not go with \"count\"");
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string path = ElementPath(reader.PathOf("endpoints"), i);
    object_reader one((*list)[i], path, errors_);
    endpoint_config endpoint;
    endpoint.service = service_id(entry.name);
    one.Id("id", text_rule::kName, kRequired, endpoint.id);
    one.Id("zone", text_rule::kName, kRequired, endpoint.zone);
    one.Address("address", kRequired, endpoint.address);
    one.Finish();
    if (!errors_.HasErrorsAt(path) &&
        std::ranges::find(zones_, endpoint.zone, &zone_place::zone) ==
            zones_.end()) {
      one.AddError("zone", "is not one of \"parameters.zones\"");
    }
    entry.endpoints.push_back(std::move(endpoint));
  }
}

std::vector<service_config> service_reader::Generate(
    const service_entry& entry) {
  std::vector<service_config> services;
  for (int index = 0; index < std::max(entry.count, 1); ++index) {
    const std::string number =
        entry.count == 0 ? "" : "-" + std::to_string(index + 1);
    service_config service;
    service.id = service_id(entry.name + number);
    service.limits = entry.shape.limits;
    service.weight = entry.shape.weight;
    service.endpoints = entry.endpoints.empty()
                            ? GenerateEndpoints(entry, service.id, index)
                            : entry.endpoints;
    if (errors_.HasErrorsAt(entry.path)) {
      return {};
    }
    services.push_back(std::move(service));
  }
  return services;
}

std::vector<endpoint_config> service_reader::GenerateEndpoints(
    const service_entry& entry,
    const service_id& service,
    int index) {
  const int searchers = entry.shape.searchers;
  generated_ += static_cast<std::size_t>(searchers);
  if (generated_ > kMaxEndpoints) {
    errors_.Add(entry.path, "brings the deployment above " +
                                std::to_string(kMaxEndpoints) + " endpoints");
    return {};
  }
  std::vector<endpoint_config> endpoints;
  for (int i = 0; i < searchers; ++i) {
    const zone_place& zone =
        zones_[static_cast<std::size_t>(i) % zones_.size()];
    if (!zone.usable) {
      return {};
    }
    if (!zone.first.has_value()) {
      errors_.Add(entry.path, "needs \"ip\" and \"first_port\" of zone \"" +
                                  zone.zone.value() + "\"");
      return {};
    }
    const int port =
        zone.first->port + entry.port_offset + index * searchers + i;
    if (port > kMaxPort) {
      errors_.Add(entry.path, "needs ports above " + std::to_string(kMaxPort));
      return {};
    }
    endpoints.push_back(
        {.id = endpoint_id(service.value() + "-" + LetterSuffix(i)),
         .zone = zone.zone,
         .service = service,
         .address = {.ip = zone.first->ip,
                     .port = static_cast<std::uint16_t>(port)}});
  }
  return endpoints;
}

/// Takes the service's endpoints in; an identifier or address that another one
/// has is an error.
bool service_reader::CheckUnique(const service_config& service,
                                 const std::string& path) {
  bool unique = true;
  for (const endpoint_config& endpoint : service.endpoints) {
    const auto [id, new_id] = ids_.emplace(endpoint.id, service.id);
    if (!new_id) {
      errors_.Add(path, "gives endpoint \"" + endpoint.id.value() +
                            "\" again; service \"" + id->second.value() +
                            "\" has it");
      unique = false;
    }
    const auto [place, new_place] =
        addresses_.emplace(endpoint.address, endpoint.id);
    if (!new_place) {
      errors_.Add(path, "gives endpoint \"" + endpoint.id.value() +
                            "\" the address " + endpoint.address.ip + ":" +
                            std::to_string(endpoint.address.port) + " of \"" +
                            place->second.value() +
                            "\"; set another \"port_offset\"");
      unique = false;
    }
  }
  return unique;
}

}  // namespace trefoilmill
