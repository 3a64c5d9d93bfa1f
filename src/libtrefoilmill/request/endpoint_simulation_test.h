/// Simulation of hosts, endpoints and callers around the deciders of a request,
/// on a clock of its own: endpoints with slots, a queue, pauses and slowness,
/// which may also ask for a pause; hosts with connections of their own; callers
/// that return once after a refusal. Used to replay load patterns.
#ifndef TREFOILMILL_REQUEST_ENDPOINT_SIMULATION_TEST_H_
#define TREFOILMILL_REQUEST_ENDPOINT_SIMULATION_TEST_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "endpoint_scenario_test.h"
#include "trefoilmill/request/request_run.h"

namespace trefoilmill::simulation {

class world {
 public:
  /// Network time between a host and an endpoint, one way.
  static constexpr duration kOneWay = std::chrono::microseconds(500);
  /// Network time between a caller and a host, there and back.
  static constexpr duration kCallerWay = milliseconds(4);

  explicit world(scenario played)
      : scenario_(std::move(played)), random_(scenario_.seed) {
    BuildTable();
    for (int shard = 0; shard < scenario_.shards; ++shard) {
      for (int replica = 0; replica < scenario_.replicas; ++replica) {
        endpoints_[Endpoint(shard, replica)] = {
            .shard = shard, .replica = replica, .phase = Uniform()};
      }
    }
    for (int number = 0; number < scenario_.hosts; ++number) {
      hosts_.push_back(std::make_unique<host>(host{.shared = SharedState()}));
      for (const auto& [id, endpoint] : endpoints_) {
        hosts_.back()->shared.registry.Put(
            now_, {.id = id,
                   .service = Service(endpoint.shard),
                   .zone = zone_id("perth"),
                   .address = {.ip = "10.0.0.1", .port = 80},
                   .slots = scenario_.slots});
        hosts_.back()->shared.selector.SetIdleConnections(
            id, scenario_.connections_per_host);
      }
      hosts_.back()->shared.shares.SetWeights(scenario_.organisations);
      hosts_.back()->shared.selector.reach().SetKnownEndpoints(
          endpoints_.size());
    }
    std::vector<host_id> names;
    names.reserve(hosts_.size());
    for (std::size_t number = 0; number < hosts_.size(); ++number) {
      names.emplace_back("h" + std::to_string(number));
    }
    for (std::size_t number = 0; number < hosts_.size(); ++number) {
      hosts_[number]->shared.selector.limits().SetSenders(names[number], names);
    }
  }

  /// Plays the scenario; the result has an element for each second.
  std::vector<second_result> Play() {
    results_.resize(static_cast<std::size_t>(
        std::chrono::duration_cast<seconds>(scenario_.length).count()));
    const time_point end = start_ + scenario_.length;
    ScheduleArrival(end);
    ScheduleReports(end);
    while (!events_.empty()) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
    return results_;
  }

 private:
  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  /// A sub-request at an endpoint.
  struct job {
    std::size_t host;
    std::uint64_t request;
    attempt_id attempt;
    time_point deadline;
  };
  struct endpoint_model {
    int shard = 0;
    int replica = 0;
    double phase = 0;
    int running = 0;
    std::deque<job> queue;
  };
  struct active_request {
    std::unique_ptr<request_run> run;
    std::map<attempt_id, endpoint_id> attempts;
    asking_caller caller;
    request_kind kind = request_kind::kSweep;
    std::size_t second = 0;
    time_point first_asked;
    time_point asked;
    std::optional<reason_code> refused_before;
    std::uint64_t wake = 0;
  };
  struct host {
    shared_request_state shared;
    std::map<endpoint_id, int> busy;
    std::map<std::uint64_t, active_request> requests;
  };

  static service_id Service(int shard) {
    return service_id("s" + std::to_string(shard));
  }
  static endpoint_id Endpoint(int shard, int replica) {
    return endpoint_id("s" + std::to_string(shard) + "-" +
                       std::to_string(replica));
  }
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  shared_request_state SharedState() {
    shared_request_state shared{
        .registry = endpoint_registry(milliseconds(2200)),
        .selector =
            endpoint_selector(zone_id("perth"), std::mt19937_64(random_())),
        .extra_sends = extra_send_budget({.ratio = 0.2, .slack = 430}, now_),
        .latencies = {},
        .admission = deadline_admission(std::mt19937_64(random_())),
        .waiting = {},
        .longest_waits = {},
        .answer_by = {}};
    shared.extra_sends.SetHosts(
        {.advertised = static_cast<std::size_t>(scenario_.hosts)});
    return shared;
  }
  /// Name of the route of a kind.
  static std::string NameOf(request_kind kind) {
    switch (kind) {
      case request_kind::kSweep:
        return "sweep";
      case request_kind::kWhole:
        return "whole";
      case request_kind::kLookup:
        return "lookup";
    }
    return {};
  }
  route RouteOf(request_kind kind) const {
    route r;
    r.id = route_id(NameOf(kind));
    r.host = "h";
    r.prefix = "/" + NameOf(kind) + "/";
    r.retry = retry_rule::kIdempotent;
    r.timeout = scenario_.timeout;
    r.objective = scenario_.objective;
    r.priority = 1;
    r.max_endpoints = 3;
    if (kind == request_kind::kLookup) {
      r.target = relay_target{{{.service = Service(0)}}};
      return r;
    }
    gather_target target{.shards = {},
                         .top_k = 5,
                         .min_coverage = kind == request_kind::kWhole
                                             ? 1.0
                                             : scenario_.min_coverage};
    for (int shard = 0; shard < scenario_.shards; ++shard) {
      target.shards.push_back(Service(shard));
    }
    r.target = std::move(target);
    return r;
  }
  void BuildTable() {
    routing_config config;
    config.organisations = scenario_.organisations;
    config.routes = {RouteOf(request_kind::kSweep),
                     RouteOf(request_kind::kWhole),
                     RouteOf(request_kind::kLookup)};
    table_ = route_table::Create(std::move(config)).value();
  }
  request_kind DrawKind() {
    if (scenario_.whole_share + scenario_.lookup_share <= 0) {
      return request_kind::kSweep;
    }
    const double drawn = Uniform();
    if (drawn < scenario_.whole_share) {
      return request_kind::kWhole;
    }
    return drawn < scenario_.whole_share + scenario_.lookup_share
               ? request_kind::kLookup
               : request_kind::kSweep;
  }

  void At(time_point at, std::function<void()> run) {
    events_.push({.at = at, .order = ++last_order_, .run = std::move(run)});
  }
  void ScheduleArrival(time_point end) {
    const double rate = scenario_.rate * scenario_.load(now_);
    const std::chrono::duration<double> gap(-std::log(1 - Uniform()) / rate);
    const time_point at = now_ + std::chrono::duration_cast<duration>(gap);
    if (at >= end) {
      return;
    }
    At(at, [this, end] {
      const auto second =
          static_cast<std::size_t>((now_ - start_) / seconds(1));
      ++results_[second].asked;
      const request_kind kind = DrawKind();
      const asking_caller caller = scenario_.organisations.empty()
                                       ? asking_caller()
                                       : scenario_.caller(Uniform(), now_);
      Ask(caller, kind, second, now_, /*refused_before=*/std::nullopt);
      ScheduleArrival(end);
    });
  }
  /// Hosts tell each other which endpoints they find slow.
  void ScheduleReports(time_point end) {
    At(now_ + milliseconds(250), [this, end] {
      ExchangeLimits();
      ExchangeDemands();
      for (const auto& from : hosts_) {
        for (const auto& report :
             from->shared.selector.UnhealthyEndpoints(now_)) {
          for (const auto& to : hosts_) {
            if (to != from) {
              to->shared.selector.OnPeerReport(now_, report);
            }
          }
        }
      }
      if (now_ < end) {
        ScheduleReports(end);
      }
    });
  }

  void ExchangeDemands() {
    for (std::size_t number = 0; number < hosts_.size(); ++number) {
      const fair_shares& shares = hosts_[number]->shared.shares;
      const auto demands = shares.OwnDemands(now_, /*limit=*/24);
      for (const auto& to : hosts_) {
        if (shares.IsShort(now_) && to != hosts_[number]) {
          to->shared.shares.OnReport(
              now_, host_id("h" + std::to_string(number)), demands);
        }
      }
    }
  }
  void ExchangeLimits() {
    for (std::size_t number = 0; number < hosts_.size(); ++number) {
      request_limits& limits = hosts_[number]->shared.selector.limits();
      if (scenario_.restarts(number, now_)) {
        for (const auto& [id, endpoint] : endpoints_) {
          limits.Forget(id);
        }
      }
      for (const auto& report : limits.TakeReports(now_, endpoints_.size())) {
        for (const auto& to : hosts_) {
          to->shared.selector.limits().OnPeerReport(now_, report);
        }
      }
    }
  }

  void Ask(const asking_caller& caller,
           request_kind kind,
           std::size_t second,
           time_point first_asked,
           std::optional<reason_code> refused_before) {
    const std::size_t number = caller.host.value_or(random_() % hosts_.size());
    host& asked = *hosts_[number];
    if (asked.shared.selector.reach().is_cut_off()) {
      scenario_.on_cut_off(now_);
    }
    const std::uint64_t id = ++last_request_;
    const route* r = table_->Match("h", "/" + NameOf(kind) + "/1");
    active_request& active = asked.requests[id];
    active = {
        .run = std::make_unique<request_run>(
            table_, *r, ServicesOf(*r), now_, first_asked + scenario_.timeout,
            /*identity=*/std::nullopt, request_owner{caller.organisation}),
        .caller = caller,
        .kind = kind,
        .second = second,
        .first_asked = first_asked,
        .asked = now_,
        .refused_before = refused_before};
    Apply(number, id, active.run->Start(now_, asked.shared));
  }

  void Apply(std::size_t number,
             std::uint64_t id,
             request_run::actions actions) {
    for (auto& action : actions) {
      std::visit([&](auto& a) { ApplyOne(number, id, a); }, action);
    }
  }
  void ApplyOne(std::size_t number,
                std::uint64_t id,
                const request_run::send& action) {
    host& sender = *hosts_[number];
    ++sender.busy[action.endpoint];
    ReportIdle(sender, action.endpoint);
    sender.requests[id].attempts[action.attempt] = action.endpoint;
    const job sent{.host = number,
                   .request = id,
                   .attempt = action.attempt,
                   .deadline = action.deadline};
    At(now_ + kOneWay,
       [this, sent, to = action.endpoint] { Arrive(to, sent); });
  }
  void ApplyOne(std::size_t number,
                std::uint64_t id,
                const request_run::await_capacity& action) {
    hosts_[number]->shared.waiting.Push(
        action.service, {.request = request_number(id),
                         .shard = action.shard,
                         .priority = {.route = 1},
                         .objective_deadline = action.objective_deadline,
                         .over_share = action.over_share});
  }
  void ApplyOne(std::size_t number,
                std::uint64_t id,
                const request_run::wake& action) {
    active_request& active = hosts_[number]->requests[id];
    const std::uint64_t wake = ++active.wake;
    At(std::max(now_, action.at), [this, number, id, wake] {
      host& woken = *hosts_[number];
      const auto found = woken.requests.find(id);
      if (found != woken.requests.end() && found->second.wake == wake &&
          !found->second.run->finished()) {
        Apply(number, id, found->second.run->Tick(now_, woken.shared));
      }
    });
  }
  void ApplyOne(std::size_t number,
                std::uint64_t id,
                const request_run::finish& action) {
    const active_request& active = hosts_[number]->requests[id];
    hosts_[number]->shared.waiting.Remove(request_number(id));
    scenario_.on_answer({.host = number,
                         .organisation = active.caller.organisation,
                         .kind = active.kind,
                         .refused_before = active.refused_before,
                         .asked = active.asked,
                         .answered = now_,
                         .answer = action.answer});
    second_result& result = results_[active.second];
    if (const auto* refused = std::get_if<refused_answer>(&action.answer)) {
      OnRefused(active, *refused, result);
      return;
    }
    if (std::holds_alternative<failed_answer>(action.answer)) {
      ++result.failed;
      return;
    }
    const auto* gathered = std::get_if<gathered_answer>(&action.answer);
    const double missing =
        gathered == nullptr ? 0.0 : static_cast<double>(gathered->missing);
    const double coverage = 1 - missing / scenario_.shards;
    if (now_ + kCallerWay - active.asked > scenario_.objective) {
      ++result.late;
      return;
    }
    ++(active.refused_before.has_value() ? result.prompt_after_refusal
                                         : result.prompt);
    result.coverage_squares += coverage * coverage;
  }
  /// A caller returns once, if that takes at most a third of its time left.
  void OnRefused(const active_request& active,
                 const refused_answer& refusal,
                 second_result& result) {
    const duration left = active.first_asked + scenario_.timeout - now_;
    if (active.refused_before.has_value() || refusal.retry_after > left / 3) {
      ++result.refused;
      return;
    }
    At(now_ + refusal.retry_after,
       [this, caller = active.caller, kind = active.kind,
        second = active.second, first = active.first_asked,
        reason = refusal.reason] { Ask(caller, kind, second, first, reason); });
  }

  void Arrive(const endpoint_id& id, const job& arrived) {
    endpoint_model& endpoint = endpoints_[id];
    const auto pause =
        scenario_.pushback(endpoint.shard, endpoint.replica, now_);
    scenario_.on_arrival({.host = arrived.host,
                          .shard = endpoint.shard,
                          .replica = endpoint.replica,
                          .at = now_,
                          .pause = pause});
    if (pause.has_value()) {
      Reply(id, arrived, endpoint_refused{}, pause);
      return;
    }
    if (endpoint.running >= scenario_.slots &&
        endpoint.queue.size() >= scenario_.queue) {
      Reply(id, arrived, endpoint_refused{});
      return;
    }
    endpoint.queue.push_back(arrived);
    RunNext(id);
  }
  void RunNext(const endpoint_id& id) {
    endpoint_model& endpoint = endpoints_[id];
    while (endpoint.running < scenario_.slots && !endpoint.queue.empty()) {
      const job next = endpoint.queue.front();
      endpoint.queue.pop_front();
      if (now_ >= next.deadline) {
        Reply(id, next, endpoint_refused{});
        continue;
      }
      ++endpoint.running;
      At(now_ + WorkTime(endpoint), [this, id, next] {
        --endpoints_[id].running;
        endpoint_replied reply;
        reply.response.status = 200;
        reply.response.body = std::string(kRecordBytes, 'x');
        reply.stamp = id.value();
        Reply(id, next, reply);
        RunNext(id);
      });
    }
  }
  /// Time until a job that begins now is done: its work, and what is left of a
  /// pause.
  duration WorkTime(const endpoint_model& endpoint) {
    const double slow =
        scenario_.slowness(endpoint.shard, endpoint.replica, now_);
    const auto work = std::chrono::duration_cast<duration>(
        scenario_.work * (0.6 + 0.8 * Uniform()) * slow);
    const auto offset = std::chrono::duration_cast<duration>(
        scenario_.pause_interval * endpoint.phase);
    const duration in_interval =
        (now_ - start_ + offset) % scenario_.pause_interval;
    return in_interval < scenario_.pause ? scenario_.pause - in_interval + work
                                         : work;
  }
  void Reply(const endpoint_id& id,
             const job& done,
             attempt_outcome outcome,
             std::optional<duration> pause = std::nullopt) {
    const endpoint_model& replying = endpoints_[id];
    const auto limit = scenario_.limit(replying.shard, replying.replica, now_);
    At(now_ + kOneWay,
       [this, id, done, pause, limit, outcome = std::move(outcome)] {
         host& receiver = *hosts_[done.host];
         receiver.shared.selector.limits().OnResponse(now_, id, limit);
         receiver.shared.selector.reach().OnResponse(now_, id);
         if (pause.has_value()) {
           receiver.shared.selector.OnPauseRequested(now_, id, *pause);
         }
         --receiver.busy[id];
         ReportIdle(receiver, id);
         const auto found = receiver.requests.find(done.request);
         found->second.attempts.erase(done.attempt);
         Apply(done.host, done.request,
               found->second.run->OnOutcome(now_, receiver.shared, done.attempt,
                                            outcome));
         Continue(done.host, Service(endpoints_[id].shard));
         const auto ended = receiver.requests.find(done.request);
         if (ended->second.attempts.empty() && ended->second.run->finished()) {
           receiver.requests.erase(ended);
         }
       });
  }
  void ReportIdle(host& reporting, const endpoint_id& id) const {
    reporting.shared.selector.SetIdleConnections(
        id, scenario_.connections_per_host - reporting.busy[id]);
  }
  /// Gives a free connection to a request that waits for one.
  void Continue(std::size_t number, const service_id& service) {
    host& h = *hosts_[number];
    while (const auto next = h.shared.waiting.Pop(now_, service)) {
      const std::uint64_t id = next->request.value();
      const auto found = h.requests.find(id);
      if (found != h.requests.end() && !found->second.run->finished()) {
        Apply(number, id,
              found->second.run->OnCapacity(now_, h.shared, next->shard));
        return;
      }
    }
  }

  scenario scenario_;
  std::mt19937_64 random_;
  const time_point start_{seconds(1)};
  time_point now_ = start_;
  std::shared_ptr<const route_table> table_;
  std::map<endpoint_id, endpoint_model> endpoints_;
  std::vector<std::unique_ptr<host>> hosts_;
  std::priority_queue<event> events_;
  std::uint64_t last_order_ = 0;
  std::uint64_t last_request_ = 0;
  std::vector<second_result> results_;
};

}  // namespace trefoilmill::simulation

#endif  // TREFOILMILL_REQUEST_ENDPOINT_SIMULATION_TEST_H_
