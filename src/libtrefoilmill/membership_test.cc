#define BOOST_TEST_MODULE membership
#include "trefoilmill/membership.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <ranges>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

host_record Host(const std::string& name) {
  host_record record;
  record.id = host_id(name);
  record.zone = zone_id("a");
  return record;
}

member_update Update(const std::string& name,
                     member_state state,
                     int incarnation_number = 1) {
  member_update update;
  update.host = Host(name);
  update.life = incarnation(static_cast<std::uint64_t>(incarnation_number));
  update.state = state;
  return update;
}

/// The actions of type `wanted`, in order.
template <class wanted>
std::vector<wanted> All(const membership::actions& actions) {
  std::vector<wanted> found;
  for (const auto& action : actions) {
    if (const auto* match = std::get_if<wanted>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

/// The sent messages of type `message` with their receivers, in order.
template <class message>
std::vector<std::pair<host_id, message>> Sent(
    const membership::actions& actions) {
  std::vector<std::pair<host_id, message>> found;
  for (const auto& sent : All<membership::send>(actions)) {
    if (const auto* match = std::get_if<message>(&sent.message)) {
      found.emplace_back(sent.to, *match);
    }
  }
  return found;
}

/// Host "self" with links to `peers`, all alive.
struct fixture {
  explicit fixture(const std::vector<std::string>& peers)
      : self(membership::Create(now,
                                Host("self"),
                                incarnation(1),
                                {},
                                std::mt19937_64(7))
                 .value()) {
    std::vector<host_record> listed = {Host("self")};
    for (const std::string& peer : peers) {
      listed.push_back(Host(peer));
      self.LinkUp(now, host_id(peer));
      self.Receive(now, host_id(peer),
                   hello_message{{}, Update(peer, member_state::kAlive)});
    }
    self.SetHostList(now, listed);
  }

  /// Ticks every 50 ms for `length`; the peers ack pings only if `answer`.
  /// Returns the actions of all ticks.
  membership::actions RunFor(duration length, bool answer) {
    membership::actions all;
    for (const time_point end = now + length; now < end;
         now += milliseconds(50)) {
      const auto out = self.Tick(now);
      all.insert(all.end(), out.begin(), out.end());
      for (const auto& [to, ping] : Sent<ping_message>(out)) {
        if (answer) {
          self.Receive(now, to, ack_message{ping.sequence, {}, {}});
        }
      }
    }
    return all;
  }
  member_state StateOf(const std::string& name) const {
    return self.members().at(host_id(name)).state;
  }

  time_point now;
  membership self;
};

}  // namespace

BOOST_AUTO_TEST_CASE(zero_probe_interval_is_rejected) {
  membership_config config;
  config.probe_interval = duration::zero();
  BOOST_TEST(!membership::Create({}, Host("h"), incarnation(1), config,
                                 std::mt19937_64(1))
                  .has_value());
}

BOOST_AUTO_TEST_CASE(small_fleet_is_probed_completely) {
  fixture f({"b", "c", "d", "e", "f", "g", "h", "i"});
  f.RunFor(seconds(5), true);
  const probe_results results = f.self.ProbeResults(f.now);
  BOOST_TEST(results.answered.size() == 8U);
  std::set<host_id> hosts;
  for (const auto& [id, m] : f.self.members()) {
    hosts.insert(id);
  }
  BOOST_TEST(MinReachableShare(results, hosts) == 1.0);
}

BOOST_AUTO_TEST_CASE(
    silent_peer_is_probed_indirectly_then_suspected_then_dead) {
  fixture f({"b", "c", "d"});
  const auto out = f.RunFor(seconds(4), false);
  BOOST_TEST(!Sent<ping_request_message>(out).empty());
  std::vector<member_state> states;
  for (const auto& change : All<membership::member_changed>(out)) {
    if (change.now.host.id == host_id("b")) {
      states.push_back(change.now.state);
    }
  }
  const std::vector expected = {member_state::kSuspect, member_state::kDead};
  BOOST_TEST((states == expected));
  BOOST_TEST(f.self.LiveHosts().size() == 1U);
  BOOST_TEST(f.self.ProbeResults(f.now).unreachable.size() == 3U);
}

BOOST_AUTO_TEST_CASE(indirect_ack_prevents_suspicion) {
  fixture f({"b", "c"});
  const auto out = f.RunFor(milliseconds(350), false);
  for (const auto& [helper, request] : Sent<ping_request_message>(out)) {
    f.self.Receive(f.now, helper, ack_message{request.sequence, {}, {}});
  }
  f.RunFor(milliseconds(400), false);
  BOOST_TEST((f.StateOf("b") == member_state::kAlive));
  // Only a direct ack counts as an answer in the probe results.
  BOOST_TEST(!f.self.ProbeResults(f.now).answered.contains(host_id("b")) |
             !f.self.ProbeResults(f.now).answered.at(host_id("b")));
}

BOOST_AUTO_TEST_CASE(pause_of_this_process_declares_no_peer_dead) {
  fixture f({"b", "c", "d"});
  f.RunFor(milliseconds(1200), false);
  BOOST_TEST(
      !All<membership::member_changed>(f.RunFor(milliseconds(700), false))
           .empty());
  f.now += seconds(60);
  const auto out = f.self.Tick(f.now);
  BOOST_TEST(All<membership::member_changed>(out).empty());
  f.now += milliseconds(1000);
  BOOST_TEST(All<membership::member_changed>(f.self.Tick(f.now)).empty());
}

BOOST_AUTO_TEST_CASE(claim_of_death_is_refuted_with_a_higher_incarnation) {
  fixture f({"b", "c"});
  const auto out = f.self.Receive(
      f.now, host_id("b"),
      ping_message{1, {Update("self", member_state::kDead)}, {}});
  BOOST_TEST(All<membership::declared_dead>(out).size() == 1U);
  BOOST_TEST(!Sent<announce_message>(out).empty());
  BOOST_TEST(f.self.SelfUpdate().life == incarnation(2));
  // A peer that repeats the claim later still treats this host as dead.
  const auto again = f.self.Receive(
      f.now, host_id("c"),
      ping_message{1, {Update("self", member_state::kDead)}, {}});
  BOOST_TEST(All<membership::declared_dead>(again).size() == 1U);
  const auto acks = Sent<ack_message>(again);
  BOOST_TEST(acks.at(0).second.updates.at(0).life == incarnation(2));
}

// Guards against member tables that every pair of hosts sends each other when a
// fleet starts: their number grows with its square, their size with itself.
BOOST_AUTO_TEST_CASE(a_fleet_that_starts_sends_few_tables) {
  constexpr int kPeers = 58;
  std::vector<std::string> peers;
  peers.reserve(kPeers);
  for (int number = 0; number < kPeers; ++number) {
    peers.push_back("p" + std::to_string(number));
  }
  fixture f(peers);
  f.now += milliseconds(700);
  std::size_t receivers = 0;
  for (const std::string& peer : peers) {
    const auto out =
        f.self.Receive(f.now, host_id(peer),
                       hello_message{{}, Update(peer, member_state::kAlive)});
    receivers += Sent<announce_message>(out).empty() ? 0 : 1;
    f.now += milliseconds(1);
  }
  BOOST_TEST(receivers == 1U);
}

BOOST_AUTO_TEST_CASE(higher_incarnation_then_state_precedence_wins) {
  fixture f({"b"});
  const auto merge = [&f](member_state state, int incarnation_number) {
    f.self.Receive(
        f.now, host_id("c"),
        announce_message{{}, {Update("b", state, incarnation_number)}});
    return f.StateOf("b");
  };
  BOOST_TEST((merge(member_state::kSuspect, 1) == member_state::kSuspect));
  BOOST_TEST((merge(member_state::kAlive, 1) == member_state::kSuspect));
  BOOST_TEST((merge(member_state::kAlive, 2) == member_state::kAlive));
  BOOST_TEST((merge(member_state::kDead, 1) == member_state::kAlive));
  BOOST_TEST((merge(member_state::kLeaving, 2) == member_state::kLeaving));
  BOOST_TEST((merge(member_state::kSuspect, 2) == member_state::kSuspect));
  // A leaving host takes no new work after it becomes suspect either.
  BOOST_TEST(f.self.LiveHosts().size() == 1U);
}

BOOST_AUTO_TEST_CASE(lost_link_is_probed_at_once) {
  fixture f({"b", "c"});
  const auto out = f.self.LinkLost(f.now, host_id("b"));
  BOOST_TEST(All<membership::connect>(out).size() == 1U);
  // The new connection fails, too: indirect probes start without a timeout.
  BOOST_TEST(!Sent<ping_request_message>(f.self.LinkLost(f.now, host_id("b")))
                  .empty());
}

BOOST_AUTO_TEST_CASE(leaving_host_announces_it_and_takes_no_new_work) {
  fixture f({"b", "c"});
  const auto out = f.self.Leave(f.now);
  BOOST_TEST(Sent<announce_message>(out).size() == 2U);
  BOOST_TEST(f.self.LiveHosts().size() == 2U);
  BOOST_TEST(f.self.ReachableHosts().size() == 3U);
}

BOOST_AUTO_TEST_CASE(cost_does_not_grow_with_fleet_size) {
  std::vector<std::string> peers(500);
  for (std::size_t i = 0; i < peers.size(); ++i) {
    peers[i] = ("p" + std::to_string(i));
  }
  fixture f(peers);
  const auto out = f.RunFor(seconds(10), true);
  const auto pings = Sent<ping_message>(out);
  BOOST_TEST(pings.size() <= 44U);
  BOOST_TEST(std::ranges::all_of(
      pings, [](const auto& sent) { return sent.second.updates.size() <= 4; }));
}

// Ticks come whole probe intervals apart if nothing else is due.
BOOST_AUTO_TEST_CASE(a_late_timer_is_no_pause_of_the_process) {
  fixture f({"b", "c", "d"});
  f.RunFor(milliseconds(1200), false);
  const membership_config config;
  const time_point suspected = f.now;
  f.RunFor(milliseconds(700), false);
  BOOST_TEST_REQUIRE((f.StateOf("b") != member_state::kAlive ||
                      f.StateOf("c") != member_state::kAlive));
  while (f.now - suspected < 2 * config.suspicion_timeout) {
    f.now += config.probe_interval + std::chrono::microseconds(200);
    f.self.Tick(f.now);
  }
  const auto dead = std::ranges::count_if(
      std::views::values(f.self.members()),
      [](const member& m) { return m.state == member_state::kDead; });
  BOOST_TEST(dead > 0);
}

}  // namespace trefoilmill
