#include "trefoilmill/version/route_table.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

namespace trefoilmill {
namespace {

std::string LowerHost(std::string_view host) {
  std::string lower(host.substr(0, host.find(':')));
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find_first_of("?#"));
}

bool HasTarget(const route& r) {
  return !ServicesOf(r).empty();
}

bool IsPrefix(const std::string& text) {
  return text.starts_with('/') && text.ends_with('/');
}

std::optional<std::string> Complaint(const route& r) {
  if (!IsPrefix(r.prefix)) {
    return "the path prefix must begin and end with a slash";
  }
  if (!HasTarget(r)) {
    return "no service is named";
  }
  return std::nullopt;
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
    if (const auto complaint = Complaint(r)) {
      return failure{.outcome = verdict::kNotRun,
                     .reason = reason_code::kBadRequest,
                     .detail = "route " + r.id.value() + ": " + *complaint,
                     .retry_after = std::nullopt};
    }
  }
  return std::shared_ptr<const route_table>(new route_table(std::move(config)));
}

route_table::route_table(routing_config config) : config_(std::move(config)) {
  for (const route& r : config_.routes) {
    hosts_[LowerHost(r.host)].try_emplace(r.prefix, &r);
  }
}

const route* route_table::Match(std::string_view host,
                                std::string_view target) const {
  const auto found = hosts_.find(LowerHost(host));
  if (found == hosts_.end()) {
    return nullptr;
  }
  std::string_view path = PathOf(target);
  while (!path.empty()) {
    const auto slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    const auto match =
        found->second.find(std::string(path.substr(0, slash + 1)));
    if (match != found->second.end()) {
      return match->second;
    }
    path = path.substr(0, slash);
  }
  return nullptr;
}

const service_rules& route_table::RulesOf(const service_id& service) const {
  static const service_rules undeclared;
  const auto found = config_.services.find(service);
  return found == config_.services.end() ? undeclared : found->second;
}

}  // namespace trefoilmill
