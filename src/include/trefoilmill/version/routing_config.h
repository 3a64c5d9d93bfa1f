/// One version of what operators declare for callers' requests: routes, the
/// services behind them and the bounds for callers. Immutable once made; a
/// request keeps the version it started with.
#ifndef TREFOILMILL_VERSION_ROUTING_CONFIG_H_
#define TREFOILMILL_VERSION_ROUTING_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

using route_id = strong_id<struct route_tag, std::string>;
/// Rises with each accepted configuration, by uneven steps.
using config_version = strong_id<struct config_version_tag, std::uint64_t>;

/// Whether a request may be sent again once it may have run.
enum class repeat_rule {
  kIdempotent,  ///< Runs any number of times to the same effect.
  kAtMostOnce,  ///< Sent again only after a certain "not run".
};

/// One of the services among which a route's requests are distributed.
struct weighted_service {
  service_id service;
  /// Share of the requests, relative to the route's other services.
  double weight = 1;
  friend bool operator==(const weighted_service&,
                         const weighted_service&) = default;
};

/// The request goes to one endpoint, whose reply is the answer.
struct relay_target {
  /// At least one, with weights above zero.
  std::vector<weighted_service> services;
  friend bool operator==(const relay_target&, const relay_target&) = default;
};

/// The request goes to one endpoint of each shard; the answer holds the
/// greatest records of all replies.
struct gather_target {
  /// Each shard is a service of its own. No service occurs twice.
  std::vector<service_id> shards;
  /// Records in an answer, at most.
  std::size_t top_k = 0;
  /// Least share of shards in an answer, 0..1.
  double min_coverage = 0;
  friend bool operator==(const gather_target&, const gather_target&) = default;
};

/// How requests of one host name and path prefix are served.
struct route {
  route_id id;
  /// The `Host` that callers send, lower case, without a port.
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  repeat_rule repeats = repeat_rule::kAtMostOnce;
  /// Longest time a caller may be kept waiting.
  duration timeout{};
  /// An answer within this time is in time.
  duration objective{};
  /// 0 is the most urgent.
  int priority = 0;
  /// Endpoints of one service to which one request may be sent.
  int max_endpoints = 1;
  std::variant<relay_target, gather_target> target;
  friend bool operator==(const route&, const route&) = default;
};

/// What every endpoint of a service bears.
struct service_rules {
  std::string health_path;
  /// Open connections of all hosts together, per endpoint.
  int max_connections = 1;
  /// How long an endpoint stays cold after a start.
  duration warmup{};
  /// Requests a second that a cold endpoint bears from all hosts together;
  /// zero if no such bound is declared.
  double cold_rate = 0;
  friend bool operator==(const service_rules&, const service_rules&) = default;
};

/// Bounds on what callers send.
struct caller_bounds {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 262144;
  /// How long a connection may stay idle.
  duration idle_timeout = std::chrono::seconds(15);
  friend bool operator==(const caller_bounds&, const caller_bounds&) = default;
};

struct routing_config {
  config_version version;
  std::vector<route> routes;
  std::map<service_id, service_rules> services;
  caller_bounds callers;
  friend bool operator==(const routing_config&,
                         const routing_config&) = default;
};

/// The services a route may send to.
std::vector<service_id> ServicesOf(const route& r);

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_ROUTING_CONFIG_H_
