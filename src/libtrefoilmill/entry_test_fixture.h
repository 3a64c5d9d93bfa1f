/// A small deployment for the tests and benchmarks of the entry role: every
/// shard has one replica in each of three availability zones, and host h-ZONE
/// owns all endpoints of its zone.
#ifndef TREFOILMILL_ENTRY_TEST_FIXTURE_H_
#define TREFOILMILL_ENTRY_TEST_FIXTURE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "trefoilmill/entry_context.h"
#include "trefoilmill/query_run.h"

namespace trefoilmill {

/// The time `milliseconds` after the epoch of the simulated clock.
inline time_point At(double milliseconds) {
  return time_point(duration(static_cast<duration::rep>(milliseconds * 1000)));
}

inline duration Ms(double milliseconds) {
  return At(milliseconds).time_since_epoch();
}

/// Id of the shard's replica in `zone`: SERVICE-SHARD-ZONE.
inline endpoint_id Replica(const std::string& service,
                           int shard,
                           const std::string& zone) {
  return endpoint_id(service + "-" + std::to_string(shard) + "-" + zone);
}

/// Names of the availability zones; one letter each, see RouteByZone().
inline const std::vector<std::string>& Zones() {
  static const std::vector<std::string> zones{"a", "b", "c"};
  return zones;
}

/// `shards` maps each service to its number of shards.
inline deployment MakeDeployment(const std::map<std::string, int>& shards) {
  deployment config;
  for (const std::string& zone : Zones())
    config.zones.emplace_back(zone);
  for (const auto& [name, count] : shards) {
    service_config& service = config.services[service_id(name)];
    service.id = service_id(name);
    for (int shard = 0; shard < count; ++shard) {
      for (const std::string& zone : Zones()) {
        service.endpoints.push_back({.id = Replica(name, shard, zone),
                                     .zone = zone_id(zone),
                                     .service = service_id(name),
                                     .address = {}});
      }
    }
  }
  return config;
}

/// Layout of index version `version`; `shards` as in MakeDeployment().
inline snapshot_layout MakeLayout(std::uint64_t version,
                                  const std::map<std::string, int>& shards) {
  snapshot_layout layout{.version = snapshot_version(version), .services = {}};
  for (const auto& [name, count] : shards) {
    auto& service = layout.services[service_id(name)];
    for (int shard = 0; shard < count; ++shard) {
      shard_layout replicas;
      for (const std::string& zone : Zones()) {
        replicas.replicas.push_back(Replica(name, shard, zone));
      }
      service.shards.push_back(replicas);
    }
  }
  return layout;
}

/// Routes each endpoint to the host of its zone, the last letter of its id.
inline owner_routing RouteByZone() {
  return {[](const endpoint_id& endpoint) -> std::optional<host_id> {
    return host_id(std::string("h-") + endpoint.value().back());
  }};
}

/// A context with a single index version, 7, and no endpoint loads.
inline entry_context MakeContext(const std::map<std::string, int>& shards,
                                 std::uint64_t seed = 1) {
  snapshot_catalog catalog;
  catalog.versions.push_back(MakeLayout(7, shards));
  return entry_context::Create(
      std::make_shared<deployment>(MakeDeployment(shards)),
      std::make_shared<snapshot_catalog>(std::move(catalog)), RouteByZone(),
      seed);
}

/// An idempotent query to all services.
inline caller_query MakeQuery(double deadline_ms = 100) {
  caller_query query;
  query.request = request_id("r-1");
  query.all_services = true;
  query.body = "milk";
  query.deadline = Ms(deadline_ms);
  return query;
}

/// The owner's load report for an idle, warm endpoint.
inline endpoint_load WarmLoad(const endpoint_id& endpoint,
                              duration latency = Ms(5)) {
  return {.endpoint = endpoint,
          .instance = instance_id("i-1"),
          .allowance = 4,
          .latency = latency};
}

/// Reports every endpoint of the deployment as idle and warm.
inline void WarmAllEndpoints(time_point now, entry_context& context) {
  for (const auto& [id, service] : context.config->services) {
    for (const endpoint_config& endpoint : service.endpoints) {
      context.endpoints.OnLoadReport(now, WarmLoad(endpoint.id));
    }
  }
}

/// A successful reply to `attempt`.
inline shard_reply AnswerReply(attempt_id attempt, std::string payload = "ok") {
  shard_reply reply;
  reply.attempt = attempt;
  reply.outcome = verdict::kRan;
  reply.service_time = Ms(5);
  reply.payload = std::move(payload);
  return reply;
}

/// A reply to `attempt` without an answer.
inline shard_reply FailureReply(attempt_id attempt,
                                verdict outcome,
                                reason_code reason) {
  shard_reply reply;
  reply.attempt = attempt;
  reply.outcome = outcome;
  reply.reason = reason;
  return reply;
}

/// All actions of type `action`, in order.
template <class action>
std::vector<action> ActionsOf(const query_actions& actions) {
  std::vector<action> found;
  for (const query_action& each : actions) {
    if (const auto* match = std::get_if<action>(&each))
      found.push_back(*match);
  }
  return found;
}

/// All sub-requests in the send_shards actions.
inline std::vector<shard_request> RequestsSent(const query_actions& actions) {
  std::vector<shard_request> sent;
  for (const send_shards& send : ActionsOf<send_shards>(actions)) {
    sent.insert(sent.end(), send.message.shards.begin(),
                send.message.shards.end());
  }
  return sent;
}

}  // namespace trefoilmill

#endif  // TREFOILMILL_ENTRY_TEST_FIXTURE_H_
