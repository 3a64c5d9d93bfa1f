#define BOOST_TEST_MODULE entry_hosts
#include "trefoilmill/process/entry_hosts.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace trefoilmill {
namespace {

std::vector<host_record> Hosts(int count, int millicores, char prefix = 'a') {
  std::vector<host_record> hosts;
  for (int number = 0; number < count; ++number) {
    host_record host;
    host.id = host_id(std::string(1, prefix) + std::to_string(100 + number));
    host.millicores = millicores;
    hosts.push_back(host);
  }
  return hosts;
}

std::vector<host_record> operator+(std::vector<host_record> left,
                                   const std::vector<host_record>& right) {
  left.insert(left.end(), right.begin(), right.end());
  return left;
}

}  // namespace

// Guards against a return of all hosts in which each opens connections to all
// endpoints.
BOOST_AUTO_TEST_CASE(weak_hosts_leave_connections_to_others_at_first) {
  const auto known = Hosts(83, 120) + Hosts(8, 500, 'z');
  const host_id weak("a100");
  const host_id strong("z100");
  const duration at_first = std::chrono::milliseconds(300);
  BOOST_TEST(LeavesConnectionsToOthers(at_first, weak, true, known));
  BOOST_TEST(!LeavesConnectionsToOthers(at_first, strong, true, known));
  // The strong hosts may be gone for good.
  BOOST_TEST(
      !LeavesConnectionsToOthers(std::chrono::seconds(2), weak, true, known));
  BOOST_TEST(LeavesConnectionsToOthers(at_first, strong, false, {}));
  BOOST_TEST(
      !LeavesConnectionsToOthers(std::chrono::seconds(2), strong, false, {}));
}

// Two hosts that report for a zone would replace each other's sums.
BOOST_AUTO_TEST_CASE(one_advertised_host_is_the_first_of_its_zone) {
  auto advertised = Hosts(3, 250);
  advertised[2].zone = zone_id("perth");
  BOOST_TEST(IsFirstOfZone(advertised[0], advertised));
  BOOST_TEST(!IsFirstOfZone(advertised[1], advertised));
  BOOST_TEST(IsFirstOfZone(advertised[2], advertised));
  host_record standby;
  standby.id = host_id("a");
  BOOST_TEST(!IsFirstOfZone(standby, advertised));
}

BOOST_AUTO_TEST_CASE(hosts_of_equal_capacity_are_all_advertised) {
  BOOST_TEST(SelectAdvertisedHosts(Hosts(9, 250)).size() == 9U);
  BOOST_TEST(SelectAdvertisedHosts(Hosts(9, 0)).size() == 9U);
  BOOST_TEST(SelectAdvertisedHosts({}).empty());
}

// Guards against leaving hosts of a large uniform fleet unused: after scaling
// out, all of them are needed.
BOOST_AUTO_TEST_CASE(a_large_uniform_fleet_is_advertised_whole) {
  BOOST_TEST(SelectAdvertisedHosts(Hosts(2400, 250)).size() == 2400U);
}

// Guards against sending callers to weak hosts: 8 hosts of half a core run
// beside 83 of an eighth of a core.
BOOST_AUTO_TEST_CASE(weak_hosts_are_not_advertised_beside_strong_ones) {
  const auto advertised =
      SelectAdvertisedHosts(Hosts(83, 120) + Hosts(8, 500, 'z'));
  BOOST_TEST(advertised.size() == 8U);
  BOOST_TEST(std::ranges::all_of(advertised, [](const host_record& host) {
    return host.millicores == 500;
  }));
}

// Guards against advertising too few hosts while strong ones fail one after
// another.
BOOST_AUTO_TEST_CASE(weak_hosts_are_advertised_as_strong_ones_fail) {
  std::size_t weak_before = 0;
  for (int strong = 8; strong >= 0; --strong) {
    const auto advertised =
        SelectAdvertisedHosts(Hosts(83, 120) + Hosts(strong, 500, 'z'));
    const auto weak = static_cast<std::size_t>(
        std::ranges::count(advertised, 120, &host_record::millicores));
    BOOST_TEST(advertised.size() >= 4U);
    BOOST_TEST(weak >= weak_before);
    weak_before = weak;
  }
  BOOST_TEST(weak_before == 83U);
}

BOOST_AUTO_TEST_CASE(the_selection_does_not_depend_on_the_order) {
  auto hosts = Hosts(20, 120) + Hosts(5, 500, 'z');
  const auto advertised = SelectAdvertisedHosts(hosts);
  std::ranges::reverse(hosts);
  BOOST_TEST((SelectAdvertisedHosts(hosts) == advertised));
}

BOOST_AUTO_TEST_CASE(one_strong_host_is_not_advertised_alone) {
  const auto advertised =
      SelectAdvertisedHosts(Hosts(10, 120) + Hosts(1, 500, 'z'));
  BOOST_TEST(advertised.size() == 4U);
  BOOST_TEST(advertised.front().millicores == 500);
}

// Guards against shares that grow when strong hosts are taken for dead: these
// may come back, or be partitioned and still send.
BOOST_AUTO_TEST_CASE(dead_strong_hosts_still_count_as_advertised) {
  const auto weak = Hosts(83, 120);
  const auto known = weak + Hosts(8, 500, 'z');
  const auto advertised = SelectAdvertisedHosts(weak + Hosts(5, 500, 'z'));
  BOOST_TEST(advertised.size() == 5U);
  const sending_hosts counted =
      CountSendingHosts(weak[0].id, advertised, known);
  BOOST_TEST(counted.advertised == 8U);
  BOOST_TEST(counted.standby == 83U);
  BOOST_TEST(!counted.is_advertised);
  BOOST_TEST(
      CountSendingHosts(advertised[0].id, advertised, known).is_advertised);
}

BOOST_AUTO_TEST_CASE(weak_hosts_count_once_they_are_advertised) {
  const auto weak = Hosts(83, 120);
  const auto known = weak + Hosts(8, 500, 'z');
  const auto advertised = SelectAdvertisedHosts(weak);
  const sending_hosts counted =
      CountSendingHosts(weak[0].id, advertised, known);
  BOOST_TEST(counted.advertised == 83U);
  BOOST_TEST(counted.standby == 8U);
  BOOST_TEST(counted.is_advertised);
}

BOOST_AUTO_TEST_CASE(a_host_without_a_list_counts_as_advertised) {
  BOOST_TEST(IsAdvertised(host_id("a"), {}));
  BOOST_TEST(CountSendingHosts(host_id("a"), {}, Hosts(1, 120)).advertised ==
             1U);
}

}  // namespace trefoilmill
