#include "trefoilmill/version/route_table.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <set>
#include <utility>

namespace trefoilmill {
namespace {

/// Strips the port from a `Host` value and converts it to lower case.
std::string NormalizeHost(std::string_view host) {
  std::string lower(host.substr(0, host.find(':')));
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

/// Strips the query string and the fragment from a request target.
std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find_first_of("?#"));
}

bool HasTarget(const route& r) {
  return !ServicesOf(r).empty();
}

bool IsValidPrefix(const std::string& text) {
  return text.starts_with('/') && text.ends_with('/');
}

/// Returns why the route is invalid, or nullopt if it is valid.
std::optional<std::string> FindError(const route& r) {
  if (!IsValidPrefix(r.prefix)) {
    return "path prefix must begin and end with a slash";
  }
  if (!HasTarget(r)) {
    return "target names no service";
  }
  return std::nullopt;
}

/// Returns why an organisation is invalid, or nullopt if all are valid. Names
/// no key.
std::optional<std::string> FindError(
    const std::vector<organisation>& organisations) {
  std::set<organisation_id> names;
  std::set<std::string_view> keys;
  for (const organisation& o : organisations) {
    const std::string name = "organisation " + o.id.value() + ": ";
    if (o.id.value().empty() || !names.insert(o.id).second) {
      return name + "its name is empty or occurs twice";
    }
    for (const std::string& key : o.keys) {
      if (key.empty() || !keys.insert(key).second) {
        return name + "a key is empty or occurs twice";
      }
    }
  }
  return std::nullopt;
}

failure InvalidConfiguration(std::string detail) {
  return {.outcome = verdict::kNotRun,
          .reason = reason_code::kBadRequest,
          .detail = std::move(detail),
          .retry_after = std::nullopt};
}

}  // namespace

std::vector<service_id> ServicesOf(const route& r) {
  if (const auto* gather = std::get_if<gather_target>(&r.target)) {
    return gather->shards;
  }
  std::vector<service_id> services;
  std::ranges::transform(std::get<relay_target>(r.target).services,
                         std::back_inserter(services),
                         &weighted_service::service);
  return services;
}

result<std::shared_ptr<const route_table>> route_table::Create(
    routing_config config) {
  for (const route& r : config.routes) {
    if (const auto error = FindError(r)) {
      return InvalidConfiguration("route " + r.id.value() + ": " + *error);
    }
  }
  if (auto error = FindError(config.organisations)) {
    return InvalidConfiguration(std::move(*error));
  }
  return std::shared_ptr<const route_table>(new route_table(std::move(config)));
}

route_table::route_table(routing_config config) : config_(std::move(config)) {
  for (const route& r : config_.routes) {
    routes_by_host_[NormalizeHost(r.host)].try_emplace(r.prefix, &r);
  }
  for (const organisation& o : config_.organisations) {
    organisations_.emplace(o.id, &o);
    for (const std::string& key : o.keys) {
      organisations_by_key_.emplace(key, &o);
    }
  }
}

const organisation* route_table::FindByKey(std::string_view key) const {
  const auto found = organisations_by_key_.find(key);
  return found == organisations_by_key_.end() ? nullptr : found->second;
}

const organisation* route_table::Find(const organisation_id& id) const {
  const auto found = organisations_.find(id);
  return found == organisations_.end() ? nullptr : found->second;
}

const route* route_table::Match(std::string_view host,
                                std::string_view target) const {
  const auto host_routes = routes_by_host_.find(NormalizeHost(host));
  if (host_routes == routes_by_host_.end()) {
    return nullptr;
  }
  // Removes one path segment at a time, so the longest prefix is found first.
  std::string_view path = PathOf(target);
  while (!path.empty()) {
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    const auto match =
        host_routes->second.find(std::string(path.substr(0, slash + 1)));
    if (match != host_routes->second.end()) {
      return match->second;
    }
    path = path.substr(0, slash);
  }
  return nullptr;
}

const service_settings& route_table::SettingsOf(
    const service_id& service) const {
  static const service_settings default_rules;
  const auto found = config_.services.find(service);
  return found == config_.services.end() ? default_rules : found->second;
}

}  // namespace trefoilmill
