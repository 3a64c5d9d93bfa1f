#define BOOST_TEST_MODULE store_watcher_role
#include "trefoilmill/process/store_watcher_role.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<host_id> ZoneHosts(int count) {
  std::vector<host_id> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (int number = 0; number < count; ++number) {
    hosts.emplace_back("front-erie-" + std::to_string(number));
  }
  return hosts;
}

std::vector<store_watcher_role> Duties(const std::vector<host_id>& hosts,
                                       std::size_t zones = 3) {
  std::vector<store_watcher_role> duties;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    duties.emplace_back(hosts[i], store_watcher_role::config(), time_point());
    duties.back().SetZoneHosts(hosts, zones);
  }
  return duties;
}

auto CountWatching(const std::vector<store_watcher_role>& duties,
                   time_point now) {
  return std::ranges::count_if(duties, [&](const store_watcher_role& duty) {
    return duty.ShouldWatch(now);
  });
}

}  // namespace

BOOST_AUTO_TEST_CASE(two_hosts_watch_in_a_zone_of_any_size) {
  for (const int size : {2, 3, 23, 134}) {
    BOOST_TEST(CountWatching(Duties(ZoneHosts(size)), time_point()) == 2);
  }
  BOOST_TEST(CountWatching(Duties(ZoneHosts(1)), time_point()) == 1);
}

// The third host of the only zone is fed by the other two.
BOOST_AUTO_TEST_CASE(the_watchers_of_all_zones_are_few_but_never_one) {
  for (const std::size_t zones : {1, 2, 3, 5, 18}) {
    const auto each = CountWatching(Duties(ZoneHosts(20), zones), time_point());
    const auto total = static_cast<std::size_t>(each) * zones;
    BOOST_TEST(each >= 1);
    BOOST_TEST(each <= 2);
    BOOST_TEST(total >= std::min<std::size_t>(4, 2 * zones));
    BOOST_TEST(total <= std::max<std::size_t>(zones, 6));
  }
}

BOOST_AUTO_TEST_CASE(another_host_replaces_a_failed_watcher) {
  auto hosts = ZoneHosts(9);
  const auto before = Duties(hosts);
  const auto first = std::ranges::find_if(
      before,
      [](const store_watcher_role& duty) { return duty.is_designated(); });
  hosts.erase(hosts.begin() + (first - before.begin()));
  BOOST_TEST(CountWatching(Duties(hosts), time_point()) == 2);
}

// Guards against a zone without updates when the store rejects just the
// designated watchers, and against all other hosts calling the store at once.
BOOST_AUTO_TEST_CASE(without_a_feed_the_other_hosts_start_to_watch_one_by_one) {
  auto duties = Duties(ZoneHosts(20));
  const store_watcher_role::config config;
  BOOST_TEST(CountWatching(duties, time_point() + config.takeover_delay) == 2);
  const auto midway = CountWatching(duties, time_point() + milliseconds(1400));
  BOOST_TEST(midway > 2);
  // Up to one feed interval passes before the others hear from the first one.
  BOOST_TEST(midway <= 5);
  BOOST_TEST(CountWatching(duties, time_point() + seconds(3)) == 20);
  for (store_watcher_role& duty : duties) {
    duty.OnStoreFeed(time_point() + seconds(3));
  }
  BOOST_TEST(CountWatching(duties, time_point() + seconds(4)) == 2);
}

}  // namespace trefoilmill
