/// Replays load above the capacity of some shards, of which most replicas are
/// slow: what callers get within the objective meanwhile, and how soon
/// afterwards.
#define BOOST_TEST_MODULE overload_replay
#include <boost/test/unit_test.hpp>

#include "endpoint_simulation_test.h"

namespace trefoilmill {
namespace {

using simulation::scenario;
using simulation::second_result;
using simulation::world;
using std::chrono::seconds;

/// When the endpoints of some shards are slow, in seconds of the scenario.
constexpr int kFromSecond = 2;
constexpr int kToSecond = 8;
/// Requests per second that one healthy replica of a shard can run.
constexpr double kCapacity = 100;

bool InTrouble(time_point now) {
  return now >= time_point(seconds(1 + kFromSecond)) &&
         now < time_point(seconds(1 + kToSecond));
}

/// `factor` times the capacity of the shards with one healthy replica.
scenario Overloaded(double factor) {
  scenario played;
  played.length = seconds(12);
  played.rate = 60;
  played.load = [factor](time_point now) {
    return InTrouble(now) ? factor * kCapacity / 60 : 1.0;
  };
  // Three of twenty shards keep one healthy replica, two keep two.
  played.slowness = [](int shard, int replica, time_point now) {
    const bool slow = shard < 5 && replica < (shard < 3 ? 2 : 1);
    return slow && InTrouble(now) ? 8.0 : 1.0;
  };
  return played;
}

second_result Sum(const std::vector<second_result>& results, int from, int to) {
  second_result sum;
  for (int second = from; second < to; ++second) {
    const second_result& r = results[static_cast<std::size_t>(second)];
    sum.asked += r.asked;
    sum.prompt += r.prompt;
    sum.prompt_after_refusal += r.prompt_after_refusal;
    sum.coverage_squares += r.coverage_squares;
    sum.late += r.late;
    sum.refused += r.refused;
    sum.failed += r.failed;
  }
  return sum;
}

/// Results of one load, for seconds that lie whole within the trouble or after
/// it.
struct load_result {
  /// Prompt answers per second while the load lasts, weighted by coverage.
  double goodput = 0;
  /// The same from a second after the trouble on, of what was asked.
  double recovered = 0;
  int failed = 0;
};

load_result PlayLoad(double factor) {
  const auto results = world(Overloaded(factor)).Play();
  const second_result during = Sum(results, kFromSecond + 1, kToSecond);
  const second_result after = Sum(results, kToSecond + 1, 12);
  return {.goodput = during.coverage_squares / (kToSecond - kFromSecond - 1),
          .recovered = after.coverage_squares / after.asked,
          .failed = during.failed};
}

}  // namespace

// Without admission, three quarters of the shards' work is done for answers
// that are late, and queues outlast the load.
BOOST_AUTO_TEST_CASE(goodput_stays_near_its_peak_under_overload) {
  const double peak = PlayLoad(1.0).goodput;
  BOOST_TEST(peak > 0.8 * kCapacity);
  for (const double factor : {1.25, 1.5, 2.0, 3.0}) {
    BOOST_TEST_CONTEXT("load " << factor) {
      const load_result result = PlayLoad(factor);
      BOOST_TEST(result.goodput >= 0.8 * peak);
      BOOST_TEST(result.recovered >= 0.95);
      BOOST_TEST(result.failed == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(nothing_is_refused_below_the_capacity) {
  for (const double factor : {0.4, 0.8}) {
    scenario played = Overloaded(factor);
    // If the only healthy replicas of two shards pause at once, no answer can
    // be in time: a refusal is right then, and no sign of load.
    played.pause = duration::zero();
    const second_result all = Sum(world(played).Play(), 0, 12);
    BOOST_TEST(all.refused == 0);
    BOOST_TEST(all.prompt_after_refusal == 0);
    BOOST_TEST(all.prompt >= 0.98 * all.asked);
  }
}

BOOST_AUTO_TEST_CASE(below_the_capacity_pauses_lose_no_caller) {
  for (const double factor : {0.4, 0.8}) {
    const second_result all = Sum(world(Overloaded(factor)).Play(), 0, 12);
    BOOST_TEST(all.refused == 0);
    BOOST_TEST(all.failed == 0);
    BOOST_TEST(all.prompt + all.prompt_after_refusal >= 0.98 * all.asked);
  }
}

}  // namespace trefoilmill
