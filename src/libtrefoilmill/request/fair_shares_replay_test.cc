/// Replays loads beyond what endpoints can run in which organisations compete:
/// the burst of one of them must not be paid for by the others.
#define BOOST_TEST_MODULE fair_shares_replay
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "endpoint_simulation_test.h"

namespace trefoilmill {
namespace {

using simulation::answered_attempt;
using simulation::asking_caller;
using simulation::scenario;
using simulation::world;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Organisations of usual size, beside a large one.
constexpr int kSmallOrganisations = 16;
/// The large one's part of the usual load.
constexpr double kLargePart = 0.2;
/// Requests per second of all together in usual times, three fifths of what the
/// endpoints can run.
constexpr double kUsualRate = 240;
/// When the load or the endpoints are unusual.
constexpr time_point kFrom{seconds(3)};
constexpr time_point kTo{seconds(11)};
/// From then on its effects are judged.
constexpr time_point kJudgedFrom{seconds(4)};

bool InTrouble(time_point now) {
  return now >= kFrom && now < kTo;
}

organisation_id Large() {
  return organisation_id("large");
}

organisation_id SmallAt(double drawn) {
  return organisation_id(
      "small-" + std::to_string(static_cast<int>(drawn * kSmallOrganisations)));
}

/// How many requests of an organisation were asked and served in time.
struct service_count {
  double asked = 0;
  double served = 0;
  double ratio() const { return asked == 0 ? 1 : served / asked; }
};
using service_counts = std::map<organisation_id, service_count>;

/// What is unusual between kFrom and kTo.
struct trouble {
  /// Factor of the large organisation's load, and of all others'.
  double large = 1;
  double others = 1;
  bool half_of_endpoints_gone = false;
  /// All callers of the large organisation use one host.
  bool through_one_host = false;
};

/// The large organisation's part of the load at a time.
double LargePart(const trouble& played, time_point now) {
  if (!InTrouble(now)) {
    return kLargePart;
  }
  const double large = kLargePart * played.large;
  return large / (large + (1 - kLargePart) * played.others);
}

scenario Scenario(const trouble& played, unsigned seed) {
  scenario s;
  s.shards = 8;
  s.slots = 4;
  s.pause = milliseconds(120);
  s.pause_interval = seconds(3);
  s.rate = kUsualRate;
  s.length = seconds(12);
  s.seed = seed;
  s.organisations.push_back(
      {.id = Large(), .quota = {.rate_per_s = 20 * kUsualRate * kLargePart}});
  for (int number = 0; number < kSmallOrganisations; ++number) {
    s.organisations.push_back(
        {.id = SmallAt((number + 0.5) / kSmallOrganisations),
         .quota = {.rate_per_s = 20 * kUsualRate * (1 - kLargePart) /
                                 kSmallOrganisations}});
  }
  s.load = [played](time_point now) {
    return InTrouble(now)
               ? kLargePart * played.large + (1 - kLargePart) * played.others
               : 1.0;
  };
  s.caller = [played](double drawn, time_point now) {
    const double large = LargePart(played, now);
    if (drawn >= large) {
      return asking_caller{.organisation =
                               SmallAt((drawn - large) / (1 - large))};
    }
    asking_caller caller{.organisation = Large()};
    if (played.through_one_host) {
      caller.host = 0;
    }
    return caller;
  };
  if (played.half_of_endpoints_gone) {
    s.pushback = [](int, int replica, time_point now) {
      return replica == 0 && InTrouble(now)
                 ? std::optional<duration>(milliseconds(500))
                 : std::nullopt;
    };
  }
  return s;
}

service_counts Play(const trouble& played, unsigned seed) {
  service_counts counts;
  scenario s = Scenario(played, seed);
  s.on_answer = [&](const answered_attempt& attempt) {
    if (attempt.asked < kJudgedFrom || attempt.asked >= kTo) {
      return;
    }
    service_count& count = counts[attempt.organisation];
    count.asked += attempt.refused_before.has_value() ? 0 : 1;
    const bool answered =
        std::holds_alternative<gathered_answer>(attempt.answer);
    const bool in_time =
        attempt.answered + world::kCallerWay - attempt.asked <= s.objective;
    count.served += answered && in_time ? 1 : 0;
  };
  world(s).Play();
  return counts;
}

service_count Total(const service_counts& counts) {
  service_count total;
  for (const auto& [id, count] : counts) {
    total.asked += count.asked;
    total.served += count.served;
  }
  return total;
}

/// The same of all but the large organisation.
service_count OthersTotal(service_counts counts) {
  counts.erase(Large());
  return Total(counts);
}

constexpr unsigned kSeeds = 5;

}  // namespace

// By the load alone, everyone's callers would be refused alike.
BOOST_AUTO_TEST_CASE(a_burst_is_paid_for_by_the_organisation_that_causes_it) {
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    for (const bool through_one_host : {false, true}) {
      BOOST_TEST_CONTEXT("seed " << seed << ", one host " << through_one_host) {
        const service_count usual = OthersTotal(Play({}, seed));
        const service_counts counts =
            Play({.large = 8, .through_one_host = through_one_host}, seed);
        BOOST_TEST(OthersTotal(counts).ratio() >= 0.9 * usual.ratio());
        BOOST_TEST(counts.at(Large()).ratio() > 0.1);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_burst_of_all_is_shared) {
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      const service_counts counts = Play({.large = 2.5, .others = 2.5}, seed);
      std::vector<double> ratios;
      for (const auto& [id, count] : counts) {
        ratios.push_back(count.ratio());
      }
      std::ranges::sort(ratios);
      // The worst tenth of seventeen organisations.
      const double worst = (ratios[0] + ratios[1]) / 2;
      BOOST_TEST(worst >= 0.8 * Total(counts).ratio());
    }
  }
}

BOOST_AUTO_TEST_CASE(goodput_at_twice_the_capacity_stays_near_its_peak) {
  const auto served = [](double load) {
    return Total(Play({.large = load, .others = load}, /*seed=*/1)).served;
  };
  const double peak = std::max({served(1.25), served(1.5), served(1.75)});
  BOOST_TEST(served(3.3) >= 0.8 * peak);
}

// What is left runs the small organisations' requests first, as each asks for
// less than its share.
BOOST_AUTO_TEST_CASE(loss_of_half_of_the_endpoints_beside_a_burst) {
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      const service_count without =
          OthersTotal(Play({.large = 0, .half_of_endpoints_gone = true}, seed));
      const service_count with =
          OthersTotal(Play({.large = 8,
                            .half_of_endpoints_gone = true,
                            .through_one_host = true},
                           seed));
      BOOST_TEST(with.ratio() >= 0.9 * without.ratio());
    }
  }
}

}  // namespace trefoilmill
