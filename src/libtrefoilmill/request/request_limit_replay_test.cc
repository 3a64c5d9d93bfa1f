/// Replays endpoints that state request limits while the load is as usual, is
/// raised, and while hosts restart: how much they get, and what callers get.
#define BOOST_TEST_MODULE request_limit_replay
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <utility>
#include <vector>

#include "endpoint_simulation_test.h"

namespace trefoilmill {
namespace {

using simulation::arrival;
using simulation::scenario;
using simulation::second_result;
using simulation::world;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kFrom(seconds(4));
constexpr time_point kTo(seconds(13));
/// Hosts that were told have to keep to the limit from then on.
constexpr duration kSettling = milliseconds(500);
constexpr duration kWindow = seconds(4);
/// The platform's rule: half as much again, and some requests.
constexpr double kAllowedRatio = 1.5;
constexpr double kAllowedRequests = 5;
constexpr unsigned kSeeds[] = {1, 2, 3};

/// `limited` of the first shard's three endpoints state the limit.
scenario Limited(int hosts, int limited, double per_second, unsigned seed) {
  scenario played;
  played.hosts = hosts;
  played.shards = 10;
  played.min_coverage = 0.89;
  played.rate = 150;
  played.length = seconds(15);
  played.seed = seed;
  played.limit = [=](int shard, int replica,
                     time_point now) -> std::optional<request_rate> {
    if (shard != 0 || replica >= limited || now < kFrom || now >= kTo) {
      return std::nullopt;
    }
    return request_rate::PerSecond(per_second);
  };
  return played;
}

struct recording {
  std::map<int, std::vector<time_point>> arrivals;
  std::vector<second_result> seconds_played;
};

recording Play(scenario played) {
  recording seen;
  played.on_arrival = [&seen](const arrival& a) {
    if (a.shard == 0 && a.at >= kFrom + kSettling && a.at < kTo) {
      seen.arrivals[a.replica].push_back(a.at);
    }
  };
  seen.seconds_played = world(std::move(played)).Play();
  return seen;
}

std::size_t MostInWindow(const std::vector<time_point>& arrivals) {
  std::size_t most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    const auto last = std::lower_bound(first, arrivals.end(), *first + kWindow);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

void CheckLimits(const recording& seen, int limited, double per_second) {
  const double allowed =
      kAllowedRatio * request_rate::PerSecond(per_second).Over(kWindow) +
      kAllowedRequests;
  for (int replica = 0; replica < limited; ++replica) {
    const auto found = seen.arrivals.find(replica);
    BOOST_REQUIRE(found != seen.arrivals.end());
    BOOST_TEST(static_cast<double>(MostInWindow(found->second)) <= allowed);
  }
}

int Prompt(const second_result& r) {
  return r.prompt + r.prompt_after_refusal;
}

/// Fraction of the requests of the seconds in [from, to) that were answered in
/// time.
double PromptFraction(const recording& seen, std::size_t from, std::size_t to) {
  int asked = 0;
  int prompt = 0;
  for (std::size_t second = from; second < to; ++second) {
    asked += seen.seconds_played[second].asked;
    prompt += Prompt(seen.seconds_played[second]);
  }
  return static_cast<double>(prompt) / asked;
}

}  // namespace

BOOST_AUTO_TEST_CASE(two_of_three_endpoints_state_a_limit) {
  for (const unsigned seed : kSeeds) {
    const recording seen = Play(Limited(9, 2, 24, seed));
    CheckLimits(seen, 2, 24);
    BOOST_TEST(PromptFraction(seen, 4, 12) >= 0.9);
  }
}

// The shard can take half of the requests; the others are answered without it.
BOOST_AUTO_TEST_CASE(all_endpoints_of_a_shard_state_a_limit) {
  for (const unsigned seed : kSeeds) {
    const recording seen = Play(Limited(9, 3, 25, seed));
    CheckLimits(seen, 3, 25);
    BOOST_TEST(PromptFraction(seen, 4, 12) >= 0.9);
    const auto used = seen.arrivals.at(0).size() + seen.arrivals.at(1).size() +
                      seen.arrivals.at(2).size();
    BOOST_TEST(static_cast<double>(used) >= 0.8 * 3 * 25 * 8.5);
  }
}

BOOST_AUTO_TEST_CASE(a_burst_comes_while_endpoints_state_limits) {
  scenario played = Limited(9, 3, 10, 1);
  played.load = [](time_point now) {
    return now >= time_point(seconds(8)) && now < time_point(seconds(10)) ? 3.0
                                                                          : 1.0;
  };
  CheckLimits(Play(std::move(played)), 3, 10);
}

BOOST_AUTO_TEST_CASE(hosts_restart_in_turn_while_endpoints_state_limits) {
  scenario played = Limited(9, 3, 10, 1);
  played.restarts = [](std::size_t host, time_point now) {
    const auto turn = (now.time_since_epoch() / milliseconds(250)) % 9;
    return static_cast<std::size_t>(turn) == host;
  };
  CheckLimits(Play(std::move(played)), 3, 10);
}

BOOST_AUTO_TEST_CASE(more_hosts_than_the_limit_has_requests) {
  for (const double per_second : {2.0, 24.0}) {
    scenario played = Limited(195, 2, per_second, 1);
    played.connections_per_host = 2;
    const recording seen = Play(std::move(played));
    CheckLimits(seen, 2, per_second);
    BOOST_TEST(PromptFraction(seen, 4, 12) >= 0.9);
  }
}

BOOST_AUTO_TEST_CASE(callers_are_served_as_before_once_the_limits_end) {
  const recording seen = Play(Limited(9, 3, 10, 1));
  BOOST_TEST(PromptFraction(seen, 13, 15) >= 0.95);
  for (std::size_t second = 13; second < 15; ++second) {
    const second_result& r = seen.seconds_played[second];
    BOOST_TEST(r.coverage_squares >= 0.95 * Prompt(r));
  }
}

}  // namespace trefoilmill
