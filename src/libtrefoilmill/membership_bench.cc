/// Benchmarks the cost of membership for one host per second of simulated time,
/// by fleet size.
#include <benchmark/benchmark.h>

#include <string>

#include "trefoilmill/membership.h"

namespace trefoilmill {
namespace {

host_record Host(int number) {
  host_record record;
  record.id = host_id("host-" + std::to_string(number));
  record.zone = zone_id("zone-" + std::to_string(number % 3));
  record.peer = {.ip = "127.0.0.1", .port = 7000};
  record.callers = record.peer;
  record.administration = record.peer;
  return record;
}

member_update Update(int number, member_state state) {
  return {.host = Host(number),
          .life = incarnation(1),
          .state = state,
          .report = 0,
          .documents = {}};
}

/// A host in a fleet of `size` hosts that knows all others as alive and has an
/// empty gossip queue.
membership MakeSteadyHost(int size, time_point& now) {
  membership self =
      membership::Create(now, Host(0), incarnation(1), {}, std::mt19937_64(1))
          .value();
  std::vector<host_record> listed = {Host(0)};
  announce_message table;
  for (int i = 1; i < size; ++i) {
    listed.push_back(Host(i));
    table.updates.push_back(Update(i, member_state::kAlive));
    self.LinkUp(now, Host(i).id);
  }
  self.Receive(now, Host(1).id, table);
  self.SetHostList(now, listed);
  for (int i = 0; i < 40 * size; ++i) {
    self.Receive(now, Host(1).id, ping_message{});
  }
  return self;
}

/// Simulates one second: ticks, own probes with their acks, and as many probes
/// received from peers.
void RunOneSecond(membership& self, time_point& now, benchmark::State& state) {
  double messages = 0;
  double updates = 0;
  for (const time_point end = now + std::chrono::seconds(1); now < end;
       now += std::chrono::milliseconds(100)) {
    for (const auto& action : self.Tick(now)) {
      const auto* sent = std::get_if<membership::send>(&action);
      if (sent == nullptr) {
        continue;
      }
      if (const auto* ping = std::get_if<ping_message>(&sent->message)) {
        messages += 4;
        updates += 2 * static_cast<double>(ping->updates.size());
        self.Receive(now, sent->to, ack_message{ping->sequence, {}, {}});
        self.Receive(now, sent->to, ping_message{1, {}, {}});
      }
    }
  }
  state.counters["messages"] = messages;
  state.counters["updates_sent"] = updates;
}

void SecondOfSteadyFleet(benchmark::State& state) {
  time_point now;
  membership self = MakeSteadyHost(static_cast<int>(state.range(0)), now);
  for (auto _ : state) {
    RunOneSecond(self, now, state);
  }
}
BENCHMARK(SecondOfSteadyFleet)
    ->Arg(3)
    ->Arg(9)
    ->Arg(100)
    ->Arg(800)
    ->Arg(2400)
    ->Unit(benchmark::kMicrosecond);

/// The same while a tenth of the fleet restarts every second.
void SecondOfChangingFleet(benchmark::State& state) {
  const int size = static_cast<int>(state.range(0));
  time_point now;
  membership self = MakeSteadyHost(size, now);
  std::uint64_t incarnation_number = 1;
  for (auto _ : state) {
    ++incarnation_number;
    for (int i = 2; i < 2 + size / 10; ++i) {
      member_update update = Update(i, member_state::kAlive);
      update.life = incarnation(incarnation_number);
      self.Receive(now, Host(1).id, announce_message{{}, {update}});
    }
    RunOneSecond(self, now, state);
  }
}
BENCHMARK(SecondOfChangingFleet)
    ->Arg(9)
    ->Arg(100)
    ->Arg(800)
    ->Arg(2400)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace trefoilmill
