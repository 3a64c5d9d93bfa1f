/// Measures the cost of a membership view change by the number of hosts.
#include <benchmark/benchmark.h>

#include <string>

#include "trefoilmill/ownership.h"

namespace trefoilmill {
namespace {

constexpr int kEndpointsPerHost = 6;
constexpr int kEndpointsPerService = 350;

std::vector<host_record> Hosts(int count) {
  std::vector<host_record> hosts(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    hosts[static_cast<std::size_t>(i)].id = host_id("h" + std::to_string(i));
    hosts[static_cast<std::size_t>(i)].zone =
        zone_id("z" + std::to_string(i % 3));
  }
  return hosts;
}

deployment Deployment(int endpoints, int per_service) {
  deployment config;
  config.zones = {zone_id("z0"), zone_id("z1"), zone_id("z2")};
  for (int i = 0; i < endpoints; ++i) {
    const service_id service("s" + std::to_string(i / per_service));
    config.services[service].endpoints.push_back(
        {.id = endpoint_id("e" + std::to_string(i)),
         .zone = config.zones[static_cast<std::size_t>(i % 3)],
         .service = service,
         .address = {}});
  }
  return config;
}

/// `range(0)` is the number of hosts, `range(1)` the endpoints per service.
void BuildMap(benchmark::State& state) {
  const int count = static_cast<int>(state.range(0));
  const auto hosts = Hosts(count);
  const auto config =
      Deployment(count * kEndpointsPerHost, static_cast<int>(state.range(1)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(ownership_map::Build(hosts, {}, config));
  }
}
BENCHMARK(BuildMap)
    ->Args({3, 3})
    ->Args({9, 3})
    ->Args({100, 3})
    ->Args({800, 3})
    ->Args({2400, 3})
    ->Args({2400, kEndpointsPerService})
    ->Unit(benchmark::kMicrosecond);

void SetOwners(benchmark::State& state) {
  const int count = static_cast<int>(state.range(0));
  const auto map = ownership_map::Build(
      Hosts(count), {}, Deployment(count * kEndpointsPerHost, 3));
  ownership_tracker tracker({}, host_id("h0"), OwnershipTiming({}, {}));
  for (auto _ : state) {
    tracker.SetOwners({}, map);
  }
}
BENCHMARK(SetOwners)->Arg(9)->Arg(2400)->Unit(benchmark::kMicrosecond);

void Heartbeat(benchmark::State& state) {
  const auto hosts = Hosts(static_cast<int>(state.range(0)));
  ownership_tracker tracker({}, host_id("h0"), OwnershipTiming({}, {}));
  tracker.SetVoters({}, hosts, {});
  probe_results heard{.self = host_id("h0"), .answered = {}, .unreachable = {}};
  for (std::size_t i = 1; i < std::min<std::size_t>(15, hosts.size()); ++i) {
    heard.answered[hosts[i].id] = true;
  }
  for (auto _ : state) {
    tracker.Heartbeat({}, heard);
  }
}
BENCHMARK(Heartbeat)->Arg(9)->Arg(2400);

}  // namespace
}  // namespace trefoilmill
