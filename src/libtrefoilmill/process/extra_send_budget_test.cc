#define BOOST_TEST_MODULE extra_send_budget
#include "trefoilmill/process/extra_send_budget.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <string>
#include <vector>

#include "trefoilmill/process/entry_hosts.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

const service_id manifest("van-manifest-1");
const extra_send_bound test_bound{.ratio = 0.2,
                                  .slack = 54,
                                  .window = std::chrono::seconds(10)};

/// Hosts that spend whatever they are allowed, at any moment.
struct greedy_fleet {
  extra_send_bound bound;
  std::vector<extra_send_budget> hosts;
  std::deque<time_point> requests;
  std::deque<time_point> extras;

  explicit greedy_fleet(std::size_t count,
                        const extra_send_bound& shared = test_bound)
      : bound(shared) {
    for (std::size_t i = 0; i < count; ++i) {
      Add(count);
    }
  }
  void Add(std::size_t counted) {
    hosts.emplace_back(bound).SetHosts({.named = counted});
  }
  void Spend(time_point now, std::size_t host) {
    while (hosts[host].TrySpend(now, manifest)) {
      extras.push_back(now);
    }
  }
  /// All from `first` on.
  void SpendAll(time_point now, std::size_t first = 0) {
    for (std::size_t host = first; host < hosts.size(); ++host) {
      Spend(now, host);
    }
  }
  void Request(time_point now, std::size_t host) {
    hosts[host].OnFirstSend(now, manifest);
    requests.push_back(now);
    Spend(now, host);
  }
  bool Holds(time_point now) {
    const auto expire = [&](std::deque<time_point>& events) {
      while (!events.empty() && events.front() <= now - bound.window) {
        events.pop_front();
      }
    };
    expire(requests);
    expire(extras);
    return static_cast<double>(extras.size()) <=
           bound.ratio * static_cast<double>(requests.size()) + bound.slack;
  }
};

/// Strong hosts first.
std::vector<host_record> UnevenHosts(std::size_t strong, std::size_t weak) {
  std::vector<host_record> hosts(strong + weak);
  for (std::size_t host = 0; host < hosts.size(); ++host) {
    hosts[host].id = host_id("h" + std::to_string(host));
    hosts[host].millicores = host < strong ? 500 : 120;
  }
  return hosts;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_new_process_has_nothing_to_spend) {
  extra_send_budget budget(test_bound);
  budget.SetHosts({.named = 7});
  BOOST_TEST(!budget.TrySpend(time_point(), manifest));
}

BOOST_AUTO_TEST_CASE(requests_earn_less_than_the_ratio) {
  extra_send_budget budget(test_bound);
  budget.SetHosts({.named = 7});
  const time_point now{};
  int spent = 0;
  for (int request = 0; request < 1000; ++request) {
    budget.OnFirstSend(now, manifest);
    spent += budget.TrySpend(now, manifest) ? 1 : 0;
  }
  BOOST_TEST(spent <= 200);
  BOOST_TEST(spent >= 150);
}

BOOST_AUTO_TEST_CASE(a_reserve_is_left_for_others) {
  extra_send_budget budget(test_bound);
  budget.SetHosts({.named = 7});
  for (int request = 0; request < 100; ++request) {
    budget.OnFirstSend(time_point(), manifest);
  }
  int hedges = 0;
  while (budget.TrySpend(time_point(), manifest, 1)) {
    ++hedges;
  }
  BOOST_TEST(hedges > 0);
  BOOST_TEST(budget.TrySpend(time_point(), manifest));
}

BOOST_AUTO_TEST_CASE(a_large_fleet_still_has_one_send_each) {
  extra_send_budget budget({.ratio = 0.2, .slack = 222});
  budget.SetHosts({.named = 91});
  for (int request = 0; request < 20; ++request) {
    budget.OnFirstSend(time_point(), manifest);
  }
  BOOST_TEST(budget.TrySpend(time_point(), manifest));
}

// Pattern: all hosts restart within the window, while some still count an
// older number of hosts.
BOOST_AUTO_TEST_CASE(the_sum_over_hosts_holds_through_restarts) {
  BOOST_TEST(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    greedy_fleet fleet(count);
    time_point now(std::chrono::seconds(1));
    const auto steps = *rc::gen::inRange(50, 600);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 80));
      const auto host = *rc::gen::inRange<std::size_t>(0, count);
      if (*rc::gen::inRange(0, 40) == 0) {
        fleet.hosts[host] = extra_send_budget(test_bound);
        fleet.hosts[host].SetHosts({.named = count});
      }
      fleet.Request(now, host);
      RC_ASSERT(fleet.Holds(now));
    }
  }));
}

// Pattern: 6 strong hosts serve, 68 weak ones stand by. All spend what they
// have saved up; then strong ones die and the others take their place, who
// knows when and which.
BOOST_AUTO_TEST_CASE(the_sum_holds_while_hosts_change_their_parts) {
  constexpr std::size_t kStrong = 6;
  constexpr std::size_t kWeak = 68;
  const auto everyone = UnevenHosts(kStrong, kWeak);
  BOOST_TEST(rc::check([&] {
    greedy_fleet fleet(0, {.ratio = 0.2, .slack = 188});
    time_point now(std::chrono::seconds(1));
    const auto play_parts = [&](std::size_t strong_alive) {
      std::vector<host_record> alive(everyone.begin() + kStrong - strong_alive,
                                     everyone.end());
      const auto named = ChooseEntryHosts(alive);
      for (std::size_t host = 0; host < everyone.size(); ++host) {
        fleet.hosts[host].SetHosts(
            CountSendingHosts(everyone[host].id, named, everyone));
      }
    };
    for (std::size_t host = 0; host < everyone.size(); ++host) {
      fleet.Add(everyone.size());
    }
    play_parts(kStrong);
    // Requests of long ago, for which nothing extra was sent.
    for (std::size_t host = 0; host < everyone.size(); ++host) {
      for (int request = 0; request < 10; ++request) {
        fleet.hosts[host].OnFirstSend(now, manifest);
      }
    }
    now += std::chrono::seconds(20);
    fleet.SpendAll(now);
    std::size_t alive = kStrong;
    for (int step = 0; step < 200; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 100));
      if (step < 5 || *rc::gen::inRange(0, 40) == 0) {
        alive = *rc::gen::inRange<std::size_t>(0, kStrong + 1);
        play_parts(alive);
      }
      // The dead send nothing.
      fleet.SpendAll(now, kStrong - alive);
      RC_ASSERT(fleet.Holds(now));
    }
  }));
}

// Pattern: the fleet is cut in two; each half takes the other for dead.
BOOST_AUTO_TEST_CASE(the_sum_holds_over_two_views) {
  constexpr std::size_t kStrong = 6;
  constexpr std::size_t kWeak = 68;
  const auto everyone = UnevenHosts(kStrong, kWeak);
  greedy_fleet fleet(everyone.size(), {.ratio = 0.2, .slack = 188});
  for (const std::size_t half : {0U, 1U}) {
    std::vector<host_record> alive;
    for (std::size_t host = half; host < everyone.size(); host += 2) {
      alive.push_back(everyone[host]);
    }
    const auto named = ChooseEntryHosts(alive);
    for (std::size_t host = half; host < everyone.size(); host += 2) {
      fleet.hosts[host].SetHosts(
          CountSendingHosts(everyone[host].id, named, everyone));
    }
  }
  time_point now(std::chrono::seconds(1));
  for (extra_send_budget& host : fleet.hosts) {
    for (int request = 0; request < 10; ++request) {
      host.OnFirstSend(now, manifest);
    }
  }
  now += std::chrono::seconds(30);
  for (int step = 0; step < 300; ++step) {
    fleet.SpendAll(now);
    BOOST_TEST_REQUIRE(fleet.Holds(now));
    now += milliseconds(50);
  }
}

BOOST_AUTO_TEST_CASE(hosts_that_callers_use_share_what_the_others_leave) {
  const extra_send_bound bound{.ratio = 0.2, .slack = 188};
  extra_send_budget named(bound);
  named.SetHosts({.named = 6, .standing_by = 68, .is_named = true});
  extra_send_budget standing_by(bound);
  standing_by.SetHosts({.named = 6, .standing_by = 68, .is_named = false});
  BOOST_TEST(named.cap() > 5);
  BOOST_TEST(standing_by.cap() == 1);
  const time_point start{};
  BOOST_TEST(!standing_by.TrySpend(start, manifest));
  BOOST_TEST(!standing_by.TrySpend(start + std::chrono::hours(1), manifest));
}

}  // namespace trefoilmill
