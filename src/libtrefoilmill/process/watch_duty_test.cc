#define BOOST_TEST_MODULE watch_duty
#include "trefoilmill/process/watch_duty.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<host_id> Zone(int count) {
  std::vector<host_id> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) {
    hosts.emplace_back("front-erie-" + std::to_string(number));
  }
  return hosts;
}

std::vector<watch_duty> Duties(const std::vector<host_id>& hosts) {
  std::vector<watch_duty> duties;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    duties.emplace_back(hosts[i], watch_duty::config(), time_point());
    duties.back().SetZoneHosts(hosts);
  }
  return duties;
}

auto CountWatching(const std::vector<watch_duty>& duties, time_point now) {
  return std::ranges::count_if(
      duties, [&](const watch_duty& d) { return d.MustWatch(now); });
}

}  // namespace

BOOST_AUTO_TEST_CASE(two_hosts_of_a_zone_watch_whatever_its_size) {
  for (const int size : {2, 3, 23, 134}) {
    BOOST_TEST(CountWatching(Duties(Zone(size)), time_point()) == 2);
  }
  BOOST_TEST(CountWatching(Duties(Zone(1)), time_point()) == 1);
}

BOOST_AUTO_TEST_CASE(another_host_takes_over_from_a_dead_watcher) {
  auto hosts = Zone(9);
  const auto before = Duties(hosts);
  const auto first = std::ranges::find_if(
      before, [](const watch_duty& d) { return d.is_chosen(); });
  hosts.erase(hosts.begin() + (first - before.begin()));
  BOOST_TEST(CountWatching(Duties(hosts), time_point()) == 2);
}

// Pattern: the store turns away just the hosts that watch.
BOOST_AUTO_TEST_CASE(without_a_fresh_feed_the_others_watch_one_by_one) {
  auto duties = Duties(Zone(20));
  const watch_duty::config config;
  BOOST_TEST(CountWatching(duties, time_point() + config.patience) == 2);
  const auto midway = CountWatching(duties, time_point() + milliseconds(1400));
  BOOST_TEST(midway > 2);
  // A beat passes before the first of them is heard.
  BOOST_TEST(midway <= 5);
  BOOST_TEST(CountWatching(duties, time_point() + seconds(3)) == 20);
  for (watch_duty& duty : duties) {
    duty.OnFreshFeed(time_point() + seconds(3));
  }
  BOOST_TEST(CountWatching(duties, time_point() + seconds(4)) == 2);
}

}  // namespace trefoilmill
