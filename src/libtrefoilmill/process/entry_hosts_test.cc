#define BOOST_TEST_MODULE entry_hosts
#include "trefoilmill/process/entry_hosts.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

namespace trefoilmill {
namespace {

std::vector<host_record> Hosts(int count, int millicores, char first = 'a') {
  std::vector<host_record> hosts;
  for (int number = 0; number < count; ++number) {
    host_record host;
    host.id = host_id(std::string(1, first) + std::to_string(100 + number));
    host.millicores = millicores;
    hosts.push_back(host);
  }
  return hosts;
}

std::vector<host_record> operator+(std::vector<host_record> some,
                                   const std::vector<host_record>& more) {
  some.insert(some.end(), more.begin(), more.end());
  return some;
}

}  // namespace

BOOST_AUTO_TEST_CASE(equal_hosts_are_all_named) {
  BOOST_TEST(ChooseEntryHosts(Hosts(9, 250)).size() == 9U);
  BOOST_TEST(ChooseEntryHosts(Hosts(9, 0)).size() == 9U);
  BOOST_TEST(ChooseEntryHosts({}).empty());
}

// Pattern: a fleet that grew needs all of its equal hosts.
BOOST_AUTO_TEST_CASE(no_host_of_a_large_fleet_is_idle) {
  BOOST_TEST(ChooseEntryHosts(Hosts(2400, 250)).size() == 2400U);
}

// Pattern: 8 hosts of half a core beside 83 of an eighth.
BOOST_AUTO_TEST_CASE(strong_hosts_spare_the_weak_ones) {
  const auto named = ChooseEntryHosts(Hosts(83, 120) + Hosts(8, 500, 'z'));
  BOOST_TEST(named.size() == 8U);
  BOOST_TEST(std::ranges::all_of(
      named, [](const host_record& host) { return host.millicores == 500; }));
}

// Pattern: strong hosts die one after the other.
BOOST_AUTO_TEST_CASE(weak_hosts_take_over_as_strong_ones_are_lost) {
  std::size_t weak_before = 0;
  for (int strong = 8; strong >= 0; --strong) {
    const auto named =
        ChooseEntryHosts(Hosts(83, 120) + Hosts(strong, 500, 'z'));
    const auto weak = static_cast<std::size_t>(
        std::ranges::count(named, 120, &host_record::millicores));
    BOOST_TEST(named.size() >= 4U);
    BOOST_TEST(weak >= weak_before);
    weak_before = weak;
  }
  BOOST_TEST(weak_before == 83U);
}

BOOST_AUTO_TEST_CASE(all_hosts_choose_alike_whatever_the_order) {
  auto hosts = Hosts(20, 120) + Hosts(5, 500, 'z');
  const auto named = ChooseEntryHosts(hosts);
  std::ranges::reverse(hosts);
  BOOST_TEST((ChooseEntryHosts(hosts) == named));
}

BOOST_AUTO_TEST_CASE(one_strong_host_does_not_stand_alone) {
  const auto named = ChooseEntryHosts(Hosts(10, 120) + Hosts(1, 500, 'z'));
  BOOST_TEST(named.size() == 4U);
  BOOST_TEST(named.front().millicores == 500);
}

// Pattern: strong hosts die and may come back, or be cut off and still send.
BOOST_AUTO_TEST_CASE(dead_strong_hosts_still_count_as_named) {
  const auto weak = Hosts(83, 120);
  const auto known = weak + Hosts(8, 500, 'z');
  const auto named = ChooseEntryHosts(weak + Hosts(5, 500, 'z'));
  BOOST_TEST(named.size() == 5U);
  const sending_hosts counted = CountSendingHosts(weak[0].id, named, known);
  BOOST_TEST(counted.named == 8U);
  BOOST_TEST(counted.standing_by == 83U);
  BOOST_TEST(!counted.is_named);
  BOOST_TEST(CountSendingHosts(named[0].id, named, known).is_named);
}

BOOST_AUTO_TEST_CASE(weak_hosts_count_once_they_are_named) {
  const auto weak = Hosts(83, 120);
  const auto known = weak + Hosts(8, 500, 'z');
  const auto named = ChooseEntryHosts(weak);
  const sending_hosts counted = CountSendingHosts(weak[0].id, named, known);
  BOOST_TEST(counted.named == 83U);
  BOOST_TEST(counted.standing_by == 8U);
  BOOST_TEST(counted.is_named);
}

BOOST_AUTO_TEST_CASE(a_host_that_knows_nobody_serves) {
  BOOST_TEST(IsNamed(host_id("a"), {}));
  BOOST_TEST(CountSendingHosts(host_id("a"), {}, Hosts(1, 120)).named == 1U);
}

}  // namespace trefoilmill
