#define BOOST_TEST_MODULE extra_send_budget
#include "trefoilmill/process/extra_send_budget.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

const service_id manifest("van-manifest-1");
const extra_send_bound test_bound{.ratio = 0.2,
                                  .slack = 54,
                                  .window = std::chrono::seconds(10)};

/// Hosts that spend whatever they are allowed, at any moment.
struct greedy_fleet {
  std::vector<extra_send_budget> hosts;
  std::deque<time_point> requests;
  std::deque<time_point> extras;

  explicit greedy_fleet(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      Add(count);
    }
  }
  void Add(std::size_t counted) {
    hosts.emplace_back(test_bound).SetHosts({.named = counted});
  }
  void Request(time_point now, std::size_t host) {
    hosts[host].OnFirstSend(now, manifest);
    requests.push_back(now);
    while (hosts[host].TrySpend(now, manifest)) {
      extras.push_back(now);
    }
  }
  bool Holds(time_point now) {
    const auto expire = [&](std::deque<time_point>& events) {
      while (!events.empty() && events.front() <= now - test_bound.window) {
        events.pop_front();
      }
    };
    expire(requests);
    expire(extras);
    return static_cast<double>(extras.size()) <=
           test_bound.ratio * static_cast<double>(requests.size()) +
               test_bound.slack;
  }
};

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

// Pattern: 6 strong hosts serve, 68 weak ones stand by; strong ones die and
// come back, some weak ones take over meanwhile.
BOOST_AUTO_TEST_CASE(the_sum_holds_while_hosts_change_their_parts) {
  constexpr std::size_t kStrong = 6;
  constexpr std::size_t kWeak = 40;
  const auto part = [](std::size_t host, std::size_t alive) {
    // All known strong hosts count, dead ones too.
    const std::size_t named = alive >= 4 ? kStrong : kStrong + 4;
    return sending_hosts{.named = named,
                         .standing_by = kStrong + kWeak - named,
                         .is_named = host < named};
  };
  BOOST_TEST(rc::check([&] {
    greedy_fleet fleet(kStrong + kWeak);
    std::size_t alive = kStrong;
    time_point now(std::chrono::seconds(1));
    const auto steps = *rc::gen::inRange(50, 600);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 80));
      if (*rc::gen::inRange(0, 60) == 0) {
        alive = *rc::gen::inRange<std::size_t>(0, kStrong + 1);
      }
      const auto host = *rc::gen::inRange<std::size_t>(0, kStrong + kWeak);
      fleet.hosts[host].SetHosts(part(host, alive));
      fleet.Request(now, host);
      RC_ASSERT(fleet.Holds(now));
    }
  }));
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
