/// Replays all endpoints turning slow at the same moment: they are reached, and
/// no host may take itself for cut off and refuse callers.
#define BOOST_TEST_MODULE all_endpoints_slow_replay
#include <boost/test/unit_test.hpp>
#include <utility>

#include "endpoint_simulation_test.h"

namespace trefoilmill {
namespace {

using simulation::scenario;
using simulation::world;
using std::chrono::seconds;

constexpr time_point kFrom(seconds(4));
constexpr time_point kTo(seconds(8));
constexpr unsigned kSeeds[] = {1, 2, 3};
/// Requests per second to all hosts together.
constexpr double kRates[] = {4, 20, 60};
constexpr double kSlownesses[] = {4, 8, 12};

int RequestsToCutOffHosts(double rate, double slowness, unsigned seed) {
  scenario played;
  played.rate = rate;
  played.seed = seed;
  played.slowness = [slowness](int /*shard*/, int /*replica*/, time_point now) {
    return now >= kFrom && now < kTo ? slowness : 1.0;
  };
  int requests = 0;
  played.on_cut_off = [&requests](time_point /*now*/) { ++requests; };
  world(std::move(played)).Play();
  return requests;
}

}  // namespace

BOOST_AUTO_TEST_CASE(hosts_that_reach_slow_endpoints_are_not_cut_off) {
  for (const double rate : kRates) {
    for (const double slowness : kSlownesses) {
      for (const unsigned seed : kSeeds) {
        const int requests = RequestsToCutOffHosts(rate, slowness, seed);
        BOOST_TEST(requests == 0, rate << " per second, slowness " << slowness
                                       << ", seed " << seed << ": " << requests
                                       << " requests");
      }
    }
  }
}

}  // namespace trefoilmill
