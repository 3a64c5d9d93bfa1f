#define BOOST_TEST_MODULE entry_list
#include "trefoilmill/entry_list.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

namespace trefoilmill {
namespace {

std::vector<host_record> Hosts(int count) {
  std::vector<host_record> hosts;
  for (int i = 0; i < count; ++i) {
    host_record record;
    record.id = host_id("h" + std::to_string(i));
    record.zone = zone_id("z" + std::to_string(i % 3));
    hosts.push_back(record);
  }
  return hosts;
}

caller_id Caller(int number) {
  return caller_id("caller-" + std::to_string(number));
}

}  // namespace

BOOST_AUTO_TEST_CASE(callers_are_distributed_evenly) {
  const auto hosts = Hosts(9);
  std::map<host_id, int> first_choices;
  for (int i = 0; i < 9000; ++i) {
    ++first_choices
        [BuildEntryList(hosts, {}, {}, Caller(i), {}).hosts.at(0).id];
  }
  BOOST_TEST(first_choices.size() == 9U);
  for (const auto& [host, count] : first_choices) {
    BOOST_TEST(count > 850);
    BOOST_TEST(count < 1150);
  }
}

BOOST_AUTO_TEST_CASE(list_covers_all_zones) {
  for (int i = 0; i < 100; ++i) {
    std::set<zone_id> zones;
    const auto list = BuildEntryList(Hosts(9), {}, {}, Caller(i), {});
    std::ranges::transform(list.hosts, std::inserter(zones, zones.end()),
                           &host_record::zone);
    BOOST_TEST(zones.size() == 3U);
  }
}

BOOST_AUTO_TEST_CASE(removing_unlisted_hosts_does_not_change_a_list) {
  auto hosts = Hosts(9);
  const auto before = BuildEntryList(hosts, {}, {}, Caller(1), {}).hosts;
  std::erase_if(hosts, [&](const auto& h) {
    return std::ranges::find(before, h.id, &host_record::id) == before.end();
  });
  BOOST_TEST((BuildEntryList(hosts, {}, {}, Caller(1), {}).hosts == before));
}

BOOST_AUTO_TEST_CASE(zones_out_are_excluded_unless_the_list_would_be_empty) {
  const auto hosts = Hosts(9);
  const std::set<zone_id> zones_out = {zone_id("z1")};
  const auto list = BuildEntryList(hosts, {}, zones_out, Caller(1), {}).hosts;
  BOOST_TEST(std::ranges::none_of(
      list, [](const auto& h) { return h.zone == zone_id("z1"); }));
  const std::set<zone_id> all_zones = {zone_id("z0"), zone_id("z1"),
                                       zone_id("z2")};
  BOOST_TEST(BuildEntryList(hosts, {}, all_zones, Caller(1), {}).hosts.size() ==
             3U);
  BOOST_TEST(BuildEntryList({}, hosts, {}, Caller(1), {}).hosts.size() == 3U);
}

}  // namespace trefoilmill
