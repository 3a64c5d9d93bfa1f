/// Replays organisations that use and exceed their quotas, on fleets whose
/// messages are lost or late. With `-- SEEDS` it plays so many seeds.
#define BOOST_TEST_MODULE organisation_quotas
#include "trefoilmill/process/organisation_quotas.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>
#include <queue>
#include <random>
#include <string>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const organisation_id org("mill");
constexpr time_point kStart(seconds(1000));
constexpr duration kStep = milliseconds(5);
/// A request without a permit waits this long for one.
constexpr duration kMaxWait = milliseconds(60);
/// The platform's bound, in any window of this length.
constexpr duration kWindow = seconds(5);

double Bound(const request_quota& quota) {
  const double seconds_of_window = 5;
  return (quota.rate_per_s * seconds_of_window + quota.burst) * 1.1 + 20;
}

/// Hosts that serve one organisation.
struct replay {
  struct host {
    organisation_quotas quotas;
    /// Hosts that this one counts.
    std::vector<host_id> known;
    time_point paused_until;
  };
  struct event {
    time_point at;
    std::function<void()> run;
    bool operator>(const event& other) const { return at > other.at; }
  };

  request_quota quota;
  std::mt19937_64 random;
  std::vector<host_id> names;
  std::vector<host> hosts;
  time_point now = kStart;
  double loss = 0.05;
  bool partitioned = false;
  std::vector<time_point> asked_at;
  std::vector<time_point> ran;
  std::size_t asked = 0;
  std::size_t waited = 0;
  std::size_t messages = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events;

  replay(std::size_t count, const request_quota& q, std::uint64_t seed)
      : quota(q), random(seed), hosts(count) {
    for (std::size_t n = 0; n < count; ++n) {
      names.emplace_back("h" + std::to_string(n));
    }
    for (std::size_t n = 0; n < count; ++n) {
      hosts[n].known = names;
      hosts[n].quotas.SetHosts(now, names[n], names);
    }
  }

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random);
  }
  void Send(std::size_t from, std::size_t to, std::function<void()> run) {
    ++messages;
    const std::size_t half = hosts.size() / 2;
    const bool cut = partitioned && (from < half) != (to < half);
    if (!cut && Uniform() >= loss) {
      events.push(
          {.at = now + milliseconds(1 + random() % 6), .run = std::move(run)});
    }
  }
  std::size_t IndexOf(const host_id& name) const {
    return static_cast<std::size_t>(std::ranges::find(names, name) -
                                    names.begin());
  }
  void AskIssuers(std::size_t n) {
    for (const auto& [issuer, wants] : hosts[n].quotas.TakeWants(now)) {
      const std::size_t to = IndexOf(issuer);
      for (const permit_amount& want : wants) {
        Send(n, to, [this, n, to, want] { Lend(n, to, want); });
      }
    }
  }
  void Lend(std::size_t to, std::size_t from, const permit_amount& want) {
    if (hosts[from].paused_until > now) {
      return;
    }
    const auto lent = hosts[from].quotas.Lend(now, want, quota);
    if (want.milli < 0) {
      return;
    }
    Send(from, to, [this, from, to, lent] {
      hosts[to].quotas.OnLent(now, names[from], lent);
      AskIssuers(to);
    });
  }
  void Request(std::size_t n) {
    ++asked;
    asked_at.push_back(now);
    Try(n, now + kMaxWait, /*has_waited=*/false);
  }
  void Try(std::size_t n, time_point give_up_at, bool has_waited) {
    const auto decision = hosts[n].quotas.Take(now, org, quota, has_waited);
    AskIssuers(n);
    if (std::holds_alternative<organisation_quotas::granted>(decision)) {
      ran.push_back(now);
    } else if (std::holds_alternative<organisation_quotas::pending>(decision) &&
               now < give_up_at) {
      ++waited;
      events.push({.at = now + milliseconds(8),
                   .run = [this, n, give_up_at] { Try(n, give_up_at, true); }});
    }
  }
  /// Asks `per_s` requests a second of the hosts that `choose` names.
  void Play(duration length,
            double per_s,
            const std::function<std::size_t(duration)>& choose) {
    const time_point begin = now;
    while (now < begin + length) {
      while (!events.empty() && events.top().at <= now) {
        const auto run = events.top().run;
        events.pop();
        run();
      }
      const double mean = per_s * std::chrono::duration<double>(kStep).count();
      if ((now - begin) % duration(milliseconds(100)) < kStep) {
        for (std::size_t n = 0; n < hosts.size(); ++n) {
          AskIssuers(n);
        }
      }
      const int count = std::poisson_distribution<int>(mean)(random);
      for (int n = 0; n < count; ++n) {
        Request(choose(now - begin));
      }
      now += kStep;
    }
  }
  std::size_t MostInWindow() const {
    std::size_t most = 0;
    for (auto first = ran.begin(); first != ran.end(); ++first) {
      const auto last = std::lower_bound(first, ran.end(), *first + kWindow);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }
  /// What a single token bucket with the quota lets run of what was asked.
  std::size_t AllowedByOneBucket() const {
    double tokens = quota.burst;
    time_point last = asked_at.empty() ? now : asked_at.front();
    std::size_t allowed = 0;
    for (const time_point at : asked_at) {
      const double elapsed = std::chrono::duration<double>(at - last).count();
      tokens = std::min(quota.burst, tokens + quota.rate_per_s * elapsed);
      last = at;
      if (tokens >= 1) {
        tokens -= 1;
        ++allowed;
      }
    }
    return allowed;
  }
  double Served() const {
    return static_cast<double>(ran.size()) / static_cast<double>(asked);
  }
  void CheckBound(const std::string& what) const {
    BOOST_TEST(static_cast<double>(MostInWindow()) <= Bound(quota),
               what << ": " << MostInWindow() << " of " << Bound(quota));
  }
};

constexpr std::size_t kFleets[] = {6, 15, 195};
constexpr request_quota kLarge = {.rate_per_s = 41, .burst = 41};
constexpr request_quota kSmall = {.rate_per_s = 1.3, .burst = 1.3};
constexpr duration kSettled = seconds(10);
constexpr duration kPlayed = seconds(20);

int Seeds() {
  const auto& arguments = boost::unit_test::framework::master_test_suite();
  return arguments.argc > 1 ? std::atoi(arguments.argv[1]) : 6;
}

/// Plays every fleet and seed; `play` gets a replay whose hosts have settled.
void ForEach(const request_quota& quota,
             const std::function<void(replay&, const std::string&)>& play) {
  for (const std::size_t hosts : kFleets) {
    for (int seed = 0; seed < Seeds(); ++seed) {
      replay r(hosts, quota, static_cast<std::uint64_t>(seed));
      r.now += kSettled;
      play(r, std::to_string(hosts) + " hosts, seed " + std::to_string(seed));
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(callers_of_one_host_get_what_the_quota_allows) {
  ForEach(kLarge, [](replay& r, const std::string& what) {
    r.Play(kPlayed, 0.9 * kLarge.rate_per_s, [](duration) { return 0; });
    BOOST_TEST(r.Served() >= 0.98, what << ": " << r.Served());
    r.CheckBound(what);
  });
}

BOOST_AUTO_TEST_CASE(callers_that_change_hosts_get_what_the_quota_allows) {
  ForEach(kLarge, [](replay& r, const std::string& what) {
    r.Play(kPlayed, 0.9 * kLarge.rate_per_s, [&r](duration since) {
      return static_cast<std::size_t>(since / duration(seconds(1))) %
             r.hosts.size();
    });
    BOOST_TEST(r.Served() >= 0.98, what << ": " << r.Served());
    r.CheckBound(what);
  });
}

// A quota that is smaller than the number of hosts.
BOOST_AUTO_TEST_CASE(small_quotas_are_divided) {
  ForEach(kSmall, [](replay& r, const std::string& what) {
    r.Play(kPlayed, 0.6 * kSmall.rate_per_s, [&r](duration) {
      return static_cast<std::size_t>(r.random() % r.hosts.size());
    });
    const std::size_t allowed = r.AllowedByOneBucket();
    BOOST_TEST(r.ran.size() + 1 >= 0.98 * static_cast<double>(allowed),
               what << ": " << r.ran.size() << " of " << allowed);
    r.CheckBound(what);
  });
}

BOOST_AUTO_TEST_CASE(an_organisation_that_asks_too_much_gets_its_limit) {
  ForEach(kLarge, [](replay& r, const std::string& what) {
    r.Play(kPlayed, 8 * kLarge.rate_per_s, [&r](duration) {
      return static_cast<std::size_t>(r.random() % r.hosts.size());
    });
    const double limit = kLarge.rate_per_s * 20;
    BOOST_TEST(static_cast<double>(r.ran.size()) >= 0.95 * limit,
               what << ": " << static_cast<double>(r.ran.size()) / limit);
    r.CheckBound(what);
  });
}

// The bound holds while messages are lost, the fleet is cut in two, hosts pause
// and begin anew, and a host is not known to the others yet.
BOOST_AUTO_TEST_CASE(the_bound_holds_under_faults) {
  for (const request_quota& quota : {kLarge, kSmall}) {
    ForEach(quota, [&quota](replay& r, const std::string& what) {
      r.loss = 0.3;
      const auto any = [&r](duration) {
        return static_cast<std::size_t>(r.random() % r.hosts.size());
      };
      const double rate = 8 * quota.rate_per_s + 10;
      r.Play(seconds(3), rate, any);
      r.partitioned = true;
      r.Play(seconds(4), rate, any);
      r.partitioned = false;
      // All lose power and return; each at first knows only itself.
      for (std::size_t n = 0; n < r.hosts.size(); ++n) {
        r.hosts[n].quotas = organisation_quotas();
        r.hosts[n].quotas.SetHosts(r.now, r.names[n], {r.names[n]});
      }
      r.Play(milliseconds(400), rate, any);
      for (std::size_t n = 0; n < r.hosts.size(); ++n) {
        r.hosts[n].quotas.SetHosts(r.now, r.names[n], r.names);
      }
      r.Play(seconds(4), rate, any);
      // A host that the others count only later.
      r.names.emplace_back("newcomer");
      r.hosts.emplace_back().quotas.SetHosts(r.now, r.names.back(), r.names);
      r.Play(seconds(1), rate, any);
      for (std::size_t n = 0; n < r.hosts.size(); ++n) {
        r.hosts[n].quotas.SetHosts(r.now, r.names[n], r.names);
      }
      r.hosts[0].paused_until = r.now + seconds(2);
      r.Play(seconds(5), rate, any);
      r.CheckBound(what);
    });
  }
}

BOOST_AUTO_TEST_CASE(a_lowered_quota_binds_at_once) {
  replay r(6, kLarge, 1);
  r.now += kSettled;
  const auto any = [&r](duration) {
    return static_cast<std::size_t>(r.random() % r.hosts.size());
  };
  r.Play(seconds(6), 100, any);
  r.quota = {.rate_per_s = 4, .burst = 4};
  r.ran.clear();
  r.Play(seconds(6), 100, any);
  r.CheckBound("lowered");
}

BOOST_AUTO_TEST_CASE(without_a_quota_everything_runs) {
  organisation_quotas quotas;
  for (int n = 0; n < 1000; ++n) {
    BOOST_TEST(std::holds_alternative<organisation_quotas::granted>(
        quotas.Take(kStart, org, {})));
  }
  BOOST_TEST(quotas.size() == 0U);
}

// Control traffic and memory do not grow with organisations that are idle.
BOOST_AUTO_TEST_CASE(idle_organisations_cost_nothing) {
  organisation_quotas quotas;
  const host_id self("h0");
  quotas.SetHosts(kStart, self, {self, host_id("h1")});
  for (int n = 0; n < 10000; ++n) {
    quotas.Take(kStart + seconds(5), organisation_id("o" + std::to_string(n)),
                kLarge);
  }
  BOOST_TEST(quotas.size() == 10000U);
  BOOST_TEST(quotas.TakeWants(kStart + seconds(10)).empty());
  quotas.RemoveIdle(kStart + seconds(100));
  BOOST_TEST(quotas.size() == 0U);
}

// A refused request that did not run costs its organisation nothing.
BOOST_AUTO_TEST_CASE(a_permit_that_is_returned_can_be_used_again) {
  organisation_quotas quotas;
  const host_id self("h0");
  quotas.SetHosts(kStart, self, {self});
  const request_quota quota{.rate_per_s = 0.001, .burst = 1};
  const time_point now = kStart + seconds(1);
  int granted = 0;
  while (std::holds_alternative<organisation_quotas::granted>(
      quotas.Take(now, org, quota))) {
    ++granted;
  }
  BOOST_TEST(granted >= 1);
  quotas.Return(now, org);
  BOOST_TEST(std::holds_alternative<organisation_quotas::granted>(
      quotas.Take(now, org, quota)));
}

}  // namespace trefoilmill
