#define BOOST_TEST_MODULE ownership
#include "trefoilmill/ownership.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kMaxDeadline = seconds(10);
const ownership_timing timing = OwnershipTiming(kMaxDeadline, {});

std::vector<host_record> Hosts(int count, int zones = 3) {
  std::vector<host_record> hosts;
  for (int i = 0; i < count; ++i) {
    host_record record;
    record.id = host_id("h" + std::to_string(i));
    record.zone = zone_id("z" + std::to_string(i % zones));
    hosts.push_back(record);
  }
  return hosts;
}

deployment Deployment(int services, int endpoints_each) {
  deployment config;
  config.zones = {zone_id("z0"), zone_id("z1"), zone_id("z2")};
  for (int s = 0; s < services; ++s) {
    const service_id id("s" + std::to_string(s));
    for (int e = 0; e < endpoints_each; ++e) {
      config.services[id].endpoints.push_back(
          {.id = endpoint_id(id.value() + "-" + std::to_string(e)),
           .zone = config.zones[static_cast<std::size_t>(e % 3)],
           .service = id,
           .address = {}});
    }
  }
  return config;
}

/// The tracker of host "h0" in a cluster of three hosts with one endpoint,
/// "s0-0".
struct fixture {
  fixture() : tracker(now, host_id("h0"), timing) {
    tracker.SetVoters(now, hosts, {});
    SetLiveHosts({hosts[0]});
  }
  void SetLiveHosts(const std::vector<host_record>& live) {
    tracker.SetOwners(now, ownership_map::Build(live, {}, Deployment(1, 1)));
  }
  /// Sends heartbeats every 100 ms for `length`, in which h1 and h2 answer or
  /// not.
  void RunHeartbeats(duration length, bool h1 = true, bool h2 = true) {
    for (const time_point end = now + length; now < end;) {
      now += milliseconds(100);
      tracker.Heartbeat(now,
                        {.self = host_id("h0"),
                         .answered = {{host_id("h1"), h1}, {host_id("h2"), h2}},
                         .unreachable = {}});
    }
  }
  bool IsCertain() const {
    return tracker.StandingOf(now, endpoint_id("s0-0")) ==
           ownership_standing::kCertain;
  }

  time_point now;
  std::vector<host_record> hosts = Hosts(3, 1);
  ownership_tracker tracker;
};

}  // namespace

BOOST_AUTO_TEST_CASE(map_does_not_depend_on_the_order_of_hosts) {
  std::vector<host_record> hosts = Hosts(9);
  const deployment config = Deployment(25, 3);
  const auto map = ownership_map::Build(hosts, {}, config);
  std::ranges::shuffle(hosts, std::mt19937_64(3));
  BOOST_TEST(
      (ownership_map::Build(hosts, {}, config).owners() == map.owners()));
}

BOOST_AUTO_TEST_CASE(owners_are_in_the_endpoints_zone_and_evenly_loaded) {
  const std::vector<host_record> hosts = Hosts(9);
  const deployment config = Deployment(25, 3);
  const auto map = ownership_map::Build(hosts, {}, config);
  BOOST_TEST(map.owners().size() == 75U);
  for (const host_record& host : hosts) {
    for (const endpoint_id& endpoint : map.EndpointsOf(host.id)) {
      BOOST_TEST(endpoint.value().back() == host.zone.value().back());
    }
    // The average of 25 endpoints over 3 hosts, times the load factor 1.25.
    BOOST_TEST(map.EndpointsOf(host.id).size() <= 11U);
  }
}

BOOST_AUTO_TEST_CASE(
    zone_without_hosts_is_served_by_the_next_and_a_zone_out_by_none) {
  std::vector<host_record> hosts = Hosts(9);
  std::erase_if(hosts, [](const auto& h) { return h.zone == zone_id("z2"); });
  const deployment config = Deployment(4, 3);
  const auto map = ownership_map::Build(hosts, {}, config);
  const auto owner = map.OwnerOf(endpoint_id("s0-2"));
  BOOST_REQUIRE(owner.has_value());
  BOOST_TEST((*std::ranges::find(hosts, *owner, &host_record::id)).zone ==
             zone_id("z0"));
  const auto without = ownership_map::Build(hosts, {zone_id("z2")}, config);
  BOOST_TEST(!without.OwnerOf(endpoint_id("s0-2")).has_value());
}

BOOST_AUTO_TEST_CASE(removing_a_host_reassigns_few_endpoints_of_other_hosts) {
  std::vector<host_record> hosts = Hosts(30);
  const deployment config = Deployment(100, 3);
  const auto before = ownership_map::Build(hosts, {}, config);
  const std::size_t own = before.EndpointsOf(hosts[4].id).size();
  hosts.erase(hosts.begin() + 4);
  const auto after = ownership_map::Build(hosts, {}, config);
  const auto moved = std::ranges::count_if(after.owners(), [&](const auto& e) {
    return before.OwnerOf(e.first) != e.second;
  });
  BOOST_TEST(static_cast<std::size_t>(moved) <= 3 * own);
}

BOOST_AUTO_TEST_CASE(ownership_is_certain_only_after_the_quiet_period) {
  fixture f;
  f.RunHeartbeats(timing.quiet_period);
  BOOST_TEST(!f.IsCertain());
  f.RunHeartbeats(milliseconds(200));
  BOOST_TEST(f.IsCertain());
  BOOST_TEST((f.tracker.StandingOf(f.now, endpoint_id("other")) ==
              ownership_standing::kNotOwner));
}

BOOST_AUTO_TEST_CASE(an_empty_host_list_does_not_extend_the_quiet_period) {
  fixture f;
  f.tracker = ownership_tracker(f.now, host_id("h0"), timing);
  f.SetLiveHosts({f.hosts[0]});
  f.tracker.SetVoters(f.now, {}, {});
  f.RunHeartbeats(milliseconds(100));
  BOOST_TEST(!f.tracker.HasMajority());
  f.tracker.SetVoters(f.now, f.hosts, {});
  f.RunHeartbeats(timing.quiet_period + milliseconds(200));
  BOOST_TEST(f.IsCertain());
}

BOOST_AUTO_TEST_CASE(a_lost_majority_ends_certainty_at_once) {
  fixture f;
  f.RunHeartbeats(seconds(20));
  f.RunHeartbeats(milliseconds(100), true, false);
  BOOST_TEST(f.IsCertain());
  f.RunHeartbeats(milliseconds(100), false, false);
  BOOST_TEST(!f.IsCertain());
  f.RunHeartbeats(timing.quiet_period);
  BOOST_TEST(!f.IsCertain());
  f.RunHeartbeats(milliseconds(200));
  BOOST_TEST(f.IsCertain());
}

BOOST_AUTO_TEST_CASE(ownership_is_uncertain_right_after_a_process_pause) {
  fixture f;
  f.RunHeartbeats(seconds(20));
  f.now += seconds(3);
  BOOST_TEST(!f.IsCertain());
  f.RunHeartbeats(milliseconds(500));
  BOOST_TEST(!f.IsCertain());
}

BOOST_AUTO_TEST_CASE(a_newly_assigned_endpoint_starts_its_own_quiet_period) {
  fixture f;
  f.SetLiveHosts({f.hosts[1]});
  f.RunHeartbeats(seconds(20));
  f.SetLiveHosts({f.hosts[0]});
  f.RunHeartbeats(timing.quiet_period - milliseconds(100));
  BOOST_TEST(!f.IsCertain());
}

BOOST_AUTO_TEST_CASE(a_released_endpoint_waits_for_view_convergence_only) {
  fixture f;
  f.SetLiveHosts({f.hosts[1]});
  f.RunHeartbeats(seconds(20));
  f.tracker.MarkReleased(host_id("h1"));
  f.SetLiveHosts({f.hosts[0]});
  f.RunHeartbeats(timing.view_convergence - milliseconds(100));
  BOOST_TEST(!f.IsCertain());
  f.RunHeartbeats(milliseconds(200));
  BOOST_TEST(f.IsCertain());
}

BOOST_AUTO_TEST_CASE(
    a_release_is_ignored_if_the_previous_owner_was_not_certain) {
  fixture f;
  f.SetLiveHosts({f.hosts[1]});
  f.RunHeartbeats(seconds(5));
  f.tracker.MarkReleased(host_id("h1"));
  f.SetLiveHosts({f.hosts[0]});
  f.RunHeartbeats(timing.view_convergence + seconds(1));
  BOOST_TEST(!f.IsCertain());
}

BOOST_AUTO_TEST_CASE(
    a_minority_of_the_previous_voters_is_not_enough_after_zones_go_out) {
  fixture f;
  std::vector<host_record> five = Hosts(5, 1);
  five[2].zone = five[3].zone = five[4].zone = zone_id("far");
  f.tracker.SetVoters(f.now, five, {});
  f.RunHeartbeats(seconds(20), true, true);
  BOOST_TEST(f.IsCertain());
  // h0 and h1 are all of the new voters, but a minority of the previous ones.
  f.tracker.SetVoters(f.now, five, {zone_id("far")});
  f.RunHeartbeats(seconds(60), true, false);
  BOOST_TEST(!f.IsCertain());
  // Once the platform removes the other hosts from its list, the previous voter
  // set expires after a quiet period.
  f.tracker.SetVoters(f.now, {five[0], five[1]}, {zone_id("far")});
  f.RunHeartbeats(2 * timing.quiet_period + seconds(1), true, false);
  BOOST_TEST(f.IsCertain());
}

BOOST_AUTO_TEST_CASE(zones_out_shrink_a_voter_set_whose_majority_was_heard) {
  fixture f;
  std::vector<host_record> five = Hosts(5, 1);
  five[2].zone = five[3].zone = five[4].zone = zone_id("far");
  f.tracker.SetVoters(f.now, five, {});
  f.RunHeartbeats(seconds(20));
  f.tracker.SetVoters(f.now, five, {zone_id("far")});
  f.RunHeartbeats(timing.quiet_period + seconds(1));
  // The hosts of the zone have no vote now, so losing all of them has no
  // effect.
  f.RunHeartbeats(seconds(1), true, false);
  BOOST_TEST(f.IsCertain());
}

BOOST_AUTO_TEST_CASE(
    share_heard_is_estimated_from_a_sample_of_a_large_cluster) {
  probe_results heard{.self = host_id("h0"), .answered = {}, .unreachable = {}};
  std::set<host_id> voters;
  for (const host_record& host : Hosts(1000)) {
    voters.insert(host.id);
  }
  for (int i = 1; i <= 14; ++i) {
    heard.answered[host_id("h" + std::to_string(i))] = true;
  }
  BOOST_TEST(MinReachableShare(heard, voters) > 0.7);
  for (int i = 1; i <= 6; ++i) {
    heard.answered[host_id("h" + std::to_string(i))] = false;
  }
  BOOST_TEST(MinReachableShare(heard, voters) < 0.5);
}

}  // namespace trefoilmill
