/// Test fixture for request_run: endpoints of all shards and one request.
#ifndef TREFOILMILL_REQUEST_RUN_FIXTURE_TEST_H_
#define TREFOILMILL_REQUEST_RUN_FIXTURE_TEST_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/request/request_run.h"

namespace trefoilmill {

/// Carries out the actions of a request_run and records the results.
struct request_fixture {
  static constexpr int kShards = 10;
  static constexpr int kReplicas = 3;
  static constexpr duration kObjective = std::chrono::milliseconds(100);
  static constexpr duration kTimeout = std::chrono::milliseconds(600);

  time_point now{std::chrono::seconds(1)};
  shared_request_state shared{
      .registry = endpoint_registry(std::chrono::milliseconds(2200)),
      .selector = endpoint_selector(zone_id("erie"), std::mt19937_64(3)),
      .extra_sends = extra_send_budget({.ratio = 0.2, .slack = 60}, now),
      .latencies = {},
      .admission = deadline_admission(std::mt19937_64(5)),
      .waiting = {},
      .longest_waits = {},
      .answer_by = {}};
  std::shared_ptr<const route_table> table;
  std::unique_ptr<request_run> run;
  std::vector<request_run::send> sends;
  std::optional<caller_answer> answer;
  std::optional<time_point> wake_at;

  request_fixture() {
    for (int shard = 0; shard < kShards; ++shard) {
      for (int replica = 0; replica < kReplicas; ++replica) {
        AddEndpoint(shard, replica);
      }
    }
    routing_config config;
    config.routes = {GatherRoute(), RelayRoute("read", retry_rule::kIdempotent),
                     RelayRoute("book", retry_rule::kAtMostOnce)};
    table = route_table::Create(std::move(config)).value();
    // Earns the extra-send budget of earlier requests.
    for (int request = 0; request < 60; ++request) {
      for (int shard = 0; shard < kShards; ++shard) {
        shared.extra_sends.OnFirstSend(now, Service(shard));
      }
    }
    for (int sample = 0; sample < 100; ++sample) {
      shared.latencies[route_id("sweep")].Record(
          std::chrono::milliseconds(8 + sample % 8));
    }
  }

  static service_id Service(int shard) {
    return service_id("s" + std::to_string(shard));
  }
  static endpoint_id Endpoint(int shard, int replica) {
    return endpoint_id("s" + std::to_string(shard) + "-" +
                       std::to_string(replica));
  }
  /// Registers an endpoint with two free connections.
  void AddEndpoint(int shard, int replica) {
    const endpoint_id id = Endpoint(shard, replica);
    shared.registry.Put(now, {.id = id,
                              .service = Service(shard),
                              .zone = zone_id("erie"),
                              .address = {.ip = "10.0.0.1", .port = 80},
                              .slots = 2});
    shared.selector.SetIdleConnections(id, 2);
  }
  /// Makes all endpoints of a shard unusable.
  void DisableShard(int shard) {
    for (int replica = 0; replica < kReplicas; ++replica) {
      shared.selector.OnConnectFailed(now, Endpoint(shard, replica));
    }
  }

  static route GatherRoute() {
    route r;
    r.id = route_id("sweep");
    r.host = "h";
    r.prefix = "/sweep/";
    r.retry = retry_rule::kIdempotent;
    r.timeout = kTimeout;
    r.objective = kObjective;
    r.max_endpoints = 2;
    gather_target target{.shards = {}, .top_k = 5, .min_coverage = 0.89};
    for (int shard = 0; shard < kShards; ++shard) {
      target.shards.push_back(Service(shard));
    }
    r.target = std::move(target);
    return r;
  }
  static route RelayRoute(const std::string& id, retry_rule retry) {
    route r = GatherRoute();
    r.id = route_id(id);
    r.prefix = "/" + id + "/";
    r.retry = retry;
    r.target = relay_target{{{.service = Service(0)}}};
    return r;
  }

  void Start(const std::string& path) {
    const route* r = table->Match("h", path);
    run = std::make_unique<request_run>(table, *r, ServicesOf(*r), now,
                                        now + kTimeout);
    Apply(run->Start(now, shared));
  }
  void Apply(request_run::actions actions) {
    for (auto& action : actions) {
      if (auto* s = std::get_if<request_run::send>(&action)) {
        sends.push_back(*s);
      } else if (auto* f = std::get_if<request_run::finish>(&action)) {
        answer = std::move(f->answer);
      } else if (auto* w = std::get_if<request_run::wake>(&action)) {
        wake_at = w->at;
      }
    }
  }
  void ReportOutcome(const request_run::send& sent, attempt_outcome outcome) {
    Apply(run->OnOutcome(now, shared, sent.attempt, std::move(outcome)));
  }
  /// Reports a good reply with one record.
  void ReportReply(const request_run::send& sent) {
    endpoint_replied reply;
    reply.response.body = std::string(kRecordBytes, 'x');
    reply.stamp = "stamp-" + sent.endpoint.value();
    ReportOutcome(sent, reply);
  }
  /// Reports good replies to `sends[from]` up to, but not including,
  /// `sends[to]`.
  void ReportReplies(std::size_t from, std::size_t to) {
    for (std::size_t i = from; i < to; ++i) {
      ReportReply(request_run::send(sends[i]));
    }
  }
  /// Advances the time, with a tick at each wake, until an answer or `until`.
  void RunUntil(time_point until) {
    while (!answer.has_value() && wake_at.has_value() && *wake_at <= until) {
      now = std::max(now, *wake_at);
      wake_at.reset();
      Apply(run->Tick(now, shared));
    }
    now = until;
  }
  /// Returns the answer if it has the given type, else nullptr.
  template <class type>
  const type* AnswerAs() const {
    return answer.has_value() ? std::get_if<type>(&*answer) : nullptr;
  }
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_REQUEST_RUN_FIXTURE_TEST_H_
