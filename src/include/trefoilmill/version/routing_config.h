/// One version of the routing configuration that operators declare: routes, the
/// services behind them and the limits for callers. A configuration in force
/// does not change; a request uses the version it started with until it ends.
#ifndef TREFOILMILL_VERSION_ROUTING_CONFIG_H_
#define TREFOILMILL_VERSION_ROUTING_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"
#include "trefoilmill/version/organisation.h"

namespace trefoilmill {

/// Identifies a route within a configuration.
using route_id = strong_id<struct route_tag, std::string>;
/// Increases with each accepted configuration, not necessarily by one.
using config_version = strong_id<struct config_version_tag, std::uint64_t>;

/// Whether a request may be sent again after it may have run.
enum class retry_rule {
  kIdempotent,  ///< Running it more than once has the same effect as once.
  kAtMostOnce,  ///< Sent again only if it certainly did not run.
};

/// One of the services that a route distributes its requests to.
struct weighted_service {
  service_id service;
  /// Share of the requests, relative to the other services of the route.
  double weight = 1;
  friend bool operator==(const weighted_service&,
                         const weighted_service&) = default;
};

/// Forwards a request to one endpoint and returns its reply unchanged.
struct relay_target {
  /// At least one service; all weights are above zero.
  std::vector<weighted_service> services;
  friend bool operator==(const relay_target&, const relay_target&) = default;
};

/// Scatters a request to one endpoint of each shard and gathers the greatest
/// records of all replies into one answer.
struct gather_target {
  /// Each shard is a separate service. No service occurs twice.
  std::vector<service_id> shards;
  /// Maximum number of records in an answer.
  std::size_t top_k = 0;
  /// Minimum fraction of shards that an answer must include, 0..1.
  double min_coverage = 0;
  friend bool operator==(const gather_target&, const gather_target&) = default;
};

/// How requests for one host name and path prefix are served.
struct route {
  route_id id;
  /// The `Host` header that callers send, in lower case and without a port.
  std::string host;
  /// Path prefix; begins and ends with a slash.
  std::string prefix;
  retry_rule retry = retry_rule::kAtMostOnce;
  /// Maximum time until the caller gets an answer.
  duration timeout{};
  /// Latency objective: the time within which the caller should have its
  /// answer.
  duration objective{};
  /// 0 is the most urgent.
  int priority = 0;
  /// Maximum number of endpoints of one service that a request is sent to.
  int max_endpoints = 1;
  /// Callers need no key, and their requests belong to no organisation.
  bool is_public = false;
  std::variant<relay_target, gather_target> target;
  friend bool operator==(const route&, const route&) = default;
};

/// Health check and load limits that apply to every endpoint of a service.
struct service_settings {
  /// HTTP path of the health check.
  std::string health_path;
  /// Maximum number of open connections per endpoint, over all hosts.
  int max_connections = 1;
  /// How long an endpoint stays cold after it started.
  duration warmup{};
  /// Maximum requests per second to a cold endpoint, over all hosts; zero means
  /// no limit is declared.
  double max_cold_requests_per_s = 0;
  friend bool operator==(const service_settings&,
                         const service_settings&) = default;
};

/// Limits on connections and requests of callers.
struct caller_limits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 262144;
  /// How long a caller may take to send the head of a request.
  duration header_timeout = std::chrono::seconds(3);
  /// How long a connection may stay idle.
  duration idle_timeout = std::chrono::seconds(15);
  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// The complete routing configuration of one version.
struct routing_config {
  config_version version;
  std::vector<route> routes;
  std::map<service_id, service_settings> services;
  caller_limits callers;
  /// Unset if callers need no keys. An empty list lets no caller in, but for
  /// those of public routes.
  std::optional<std::vector<organisation>> organisations;
  friend bool operator==(const routing_config&,
                         const routing_config&) = default;
};

/// Returns the services that a route may send to: all shards of a gather
/// target, or all services of a relay target.
std::vector<service_id> ServicesOf(const route& r);

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_ROUTING_CONFIG_H_
