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

const service_id test_service("van-manifest-1");
const extra_send_limit test_limit{.ratio = 0.2,
                                  .slack = 54,
                                  .window = std::chrono::seconds(10)};

/// Simulated fleet whose hosts spend their whole budget at every opportunity.
struct greedy_fleet {
  extra_send_limit limit;
  std::vector<extra_send_budget> hosts;
  std::deque<time_point> requests;
  std::deque<time_point> extra_sends;

  explicit greedy_fleet(std::size_t count,
                        const extra_send_limit& fleet_limit = test_limit)
      : limit(fleet_limit) {
    for (std::size_t i = 0; i < count; ++i) {
      AddHost(count);
    }
  }
  void AddHost(std::size_t advertised) {
    hosts.emplace_back(limit, time_point())
        .SetHosts({.advertised = advertised});
  }
  void Spend(time_point now, std::size_t host) {
    while (hosts[host].TrySpend(now, test_service)) {
      extra_sends.push_back(now);
    }
  }
  /// Spends the budgets of the hosts with an index of at least `first`.
  void SpendAll(time_point now, std::size_t first = 0) {
    for (std::size_t host = first; host < hosts.size(); ++host) {
      Spend(now, host);
    }
  }
  void SendRequest(time_point now, std::size_t host) {
    hosts[host].OnFirstSend(now, test_service);
    requests.push_back(now);
    Spend(now, host);
  }
  /// Whether the limit holds for the window that ends at `now`.
  bool IsWithinBound(time_point now) {
    const auto expire = [&](std::deque<time_point>& events) {
      while (!events.empty() && events.front() <= now - limit.window) {
        events.pop_front();
      }
    };
    expire(requests);
    expire(extra_sends);
    return static_cast<double>(extra_sends.size()) <=
           limit.ratio * static_cast<double>(requests.size()) + limit.slack;
  }
};

/// Hosts of two capacities, the strong ones first.
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
  extra_send_budget budget(test_limit, time_point());
  budget.SetHosts({.advertised = 7});
  BOOST_TEST(!budget.TrySpend(time_point(), test_service));
}

// Endpoints may fail in the first seconds of traffic, long after the hosts
// started.
BOOST_AUTO_TEST_CASE(a_host_without_traffic_saves_up_its_share_of_the_slack) {
  extra_send_budget budget({.ratio = 0.2, .slack = 430}, time_point());
  budget.SetHosts({.advertised = 15, .standby = 180, .is_advertised = true});
  const time_point first_request{std::chrono::seconds(14)};
  int spent = 0;
  while (budget.TrySpend(first_request, test_service)) {
    ++spent;
  }
  BOOST_TEST(spent >= 5);
  BOOST_TEST(spent <= budget.max_balance());
}

BOOST_AUTO_TEST_CASE(requests_earn_less_than_the_ratio) {
  extra_send_budget budget(test_limit, time_point());
  budget.SetHosts({.advertised = 7});
  const time_point now{};
  int spent = 0;
  for (int request = 0; request < 1000; ++request) {
    budget.OnFirstSend(now, test_service);
    spent += budget.TrySpend(now, test_service) ? 1 : 0;
  }
  BOOST_TEST(spent <= 200);
  BOOST_TEST(spent >= 150);
}

BOOST_AUTO_TEST_CASE(a_reserve_is_left_unspent) {
  extra_send_budget budget(test_limit, time_point());
  budget.SetHosts({.advertised = 7});
  for (int request = 0; request < 100; ++request) {
    budget.OnFirstSend(time_point(), test_service);
  }
  int hedges = 0;
  while (budget.TrySpend(time_point(), test_service, 1)) {
    ++hedges;
  }
  BOOST_TEST(hedges > 0);
  BOOST_TEST(budget.TrySpend(time_point(), test_service));
}

BOOST_AUTO_TEST_CASE(each_host_of_a_large_fleet_can_save_up_one_send) {
  extra_send_budget budget({.ratio = 0.2, .slack = 222}, time_point());
  budget.SetHosts({.advertised = 91});
  for (int request = 0; request < 20; ++request) {
    budget.OnFirstSend(time_point(), test_service);
  }
  BOOST_TEST(budget.TrySpend(time_point(), test_service));
}

// Guards against exceeding the limit over all hosts when hosts restart within
// the window and start again with a new budget.
BOOST_AUTO_TEST_CASE(the_limit_holds_while_hosts_restart) {
  BOOST_TEST(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 12);
    greedy_fleet fleet(count);
    time_point now(std::chrono::seconds(1));
    const auto steps = *rc::gen::inRange(50, 600);
    for (int step = 0; step < steps; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 80));
      const auto host = *rc::gen::inRange<std::size_t>(0, count);
      if (*rc::gen::inRange(0, 40) == 0) {
        fleet.hosts[host] = extra_send_budget(test_limit, now);
        fleet.hosts[host].SetHosts({.advertised = count});
      }
      fleet.SendRequest(now, host);
      RC_ASSERT(fleet.IsWithinBound(now));
    }
  }));
}

// Guards against exceeding the limit while hosts change between advertised and
// standby. 6 strong hosts are advertised beside 68 standby hosts; all of them
// spend their saved budgets, then random numbers of strong hosts fail at random
// times and weak ones are advertised instead.
BOOST_AUTO_TEST_CASE(the_limit_holds_while_the_advertised_hosts_change) {
  constexpr std::size_t kStrong = 6;
  constexpr std::size_t kWeak = 68;
  const auto all_hosts = UnevenHosts(kStrong, kWeak);
  BOOST_TEST(rc::check([&] {
    greedy_fleet fleet(0, {.ratio = 0.2, .slack = 188});
    time_point now(std::chrono::seconds(1));
    const auto set_alive = [&](std::size_t alive_strong) {
      std::vector<host_record> alive(all_hosts.begin() + kStrong - alive_strong,
                                     all_hosts.end());
      const auto advertised = SelectAdvertisedHosts(alive);
      for (std::size_t host = 0; host < all_hosts.size(); ++host) {
        fleet.hosts[host].SetHosts(
            CountSendingHosts(all_hosts[host].id, advertised, all_hosts));
      }
    };
    for (std::size_t host = 0; host < all_hosts.size(); ++host) {
      fleet.AddHost(all_hosts.size());
    }
    set_alive(kStrong);
    // Requests before the window, for which no extra sends were made.
    for (std::size_t host = 0; host < all_hosts.size(); ++host) {
      for (int request = 0; request < 10; ++request) {
        fleet.hosts[host].OnFirstSend(now, test_service);
      }
    }
    now += std::chrono::seconds(20);
    fleet.SpendAll(now);
    std::size_t alive = kStrong;
    for (int step = 0; step < 200; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 100));
      if (step < 5 || *rc::gen::inRange(0, 40) == 0) {
        alive = *rc::gen::inRange<std::size_t>(0, kStrong + 1);
        set_alive(alive);
      }
      // Failed hosts send nothing.
      fleet.SpendAll(now, kStrong - alive);
      RC_ASSERT(fleet.IsWithinBound(now));
    }
  }));
}

// Guards against exceeding the limit during a network partition, in which each
// half of the fleet takes the other half for dead.
BOOST_AUTO_TEST_CASE(the_limit_holds_during_a_partition) {
  constexpr std::size_t kStrong = 6;
  constexpr std::size_t kWeak = 68;
  const auto all_hosts = UnevenHosts(kStrong, kWeak);
  greedy_fleet fleet(all_hosts.size(), {.ratio = 0.2, .slack = 188});
  for (const std::size_t half : {0U, 1U}) {
    std::vector<host_record> alive;
    for (std::size_t host = half; host < all_hosts.size(); host += 2) {
      alive.push_back(all_hosts[host]);
    }
    const auto advertised = SelectAdvertisedHosts(alive);
    for (std::size_t host = half; host < all_hosts.size(); host += 2) {
      fleet.hosts[host].SetHosts(
          CountSendingHosts(all_hosts[host].id, advertised, all_hosts));
    }
  }
  time_point now(std::chrono::seconds(1));
  for (extra_send_budget& host : fleet.hosts) {
    for (int request = 0; request < 10; ++request) {
      host.OnFirstSend(now, test_service);
    }
  }
  now += std::chrono::seconds(30);
  for (int step = 0; step < 300; ++step) {
    fleet.SpendAll(now);
    BOOST_TEST_REQUIRE(fleet.IsWithinBound(now));
    now += milliseconds(50);
  }
}

BOOST_AUTO_TEST_CASE(advertised_hosts_share_the_slack_left_by_standby_hosts) {
  const extra_send_limit limit{.ratio = 0.2, .slack = 188};
  extra_send_budget advertised(limit, time_point());
  advertised.SetHosts({.advertised = 6, .standby = 68, .is_advertised = true});
  extra_send_budget standby(limit, time_point());
  standby.SetHosts({.advertised = 6, .standby = 68, .is_advertised = false});
  BOOST_TEST(advertised.max_balance() > 5);
  BOOST_TEST(standby.max_balance() == 1);
  const time_point start{};
  BOOST_TEST(!standby.TrySpend(start, test_service));
  BOOST_TEST(!standby.TrySpend(start + std::chrono::hours(1), test_service));
}

}  // namespace trefoilmill
