/// Tests how the connections of an endpoint are divided among hosts.
#define BOOST_TEST_MODULE connection_share
#include "trefoilmill/connection/connection_share.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <map>
#include <string>

namespace trefoilmill {
namespace {

const std::set<endpoint_id> all_replicas = {endpoint_id("a"), endpoint_id("b"),
                                            endpoint_id("c")};

host_id Host(int number) {
  return host_id("front-" + std::to_string(number));
}

int Share(const host_id& self,
          std::size_t hosts,
          const endpoint_id& endpoint,
          int max_connections) {
  return ConnectionShare(self, {.advertised = hosts},
                         {.replicas = all_replicas,
                          .endpoint = endpoint,
                          .max_connections = max_connections,
                          .slots = 4});
}

}  // namespace

BOOST_AUTO_TEST_CASE(few_hosts_get_equal_shares_and_leave_headroom) {
  BOOST_TEST(Share(Host(1), 9, endpoint_id("a"), 45) == 2);
  // At most 80 % is allocated, which leaves room for hosts not yet counted.
  BOOST_TEST(9 * Share(Host(1), 9, endpoint_id("a"), 45) <= 45 * 0.8);
  // No more than one connection above the number of slots.
  BOOST_TEST(Share(Host(1), 1, endpoint_id("a"), 500) == 5);
}

// Entries come from other writers, too. One more than the largest number of
// slots was negative, so that the endpoint got no connection.
BOOST_AUTO_TEST_CASE(the_number_of_slots_has_no_bound) {
  const auto share = [](int slots) {
    return ConnectionShare(Host(1), {.advertised = 1},
                           {.replicas = all_replicas,
                            .endpoint = endpoint_id("a"),
                            .max_connections = 500,
                            .slots = slots});
  };
  BOOST_TEST(share(std::numeric_limits<int>::max()) == 250);
  BOOST_TEST(share(std::numeric_limits<int>::max() - 1) == 250);
  BOOST_TEST(share(4) == 5);
  BOOST_TEST(share(1) == 2);
}

// All hosts lose power and restart while the endpoint still counts their
// previous connections. In one run, 1,986 connections were reset because they
// exceeded the limit, and shards waited for a connection until the deadline.
BOOST_AUTO_TEST_CASE(all_hosts_can_reconnect_after_a_power_loss) {
  for (const auto& [hosts, max_connections] :
       {std::pair{9, 26}, std::pair{7, 46}, std::pair{9, 45}}) {
    const int share = Share(Host(1), static_cast<std::size_t>(hosts),
                            endpoint_id("a"), max_connections);
    BOOST_TEST(share >= 1);
    BOOST_TEST(2 * hosts * share <= max_connections);
  }
}

// 91 hosts but only 78 connections at each endpoint.
BOOST_AUTO_TEST_CASE(many_hosts_connect_to_two_replicas_within_the_limit) {
  constexpr int kHosts = 91;
  constexpr int kMaxConnections = 78;
  std::map<endpoint_id, int> connections;
  for (int number = 0; number < kHosts; ++number) {
    int connected_replicas = 0;
    for (const endpoint_id& endpoint : all_replicas) {
      const int share = Share(Host(number), kHosts, endpoint, kMaxConnections);
      connections[endpoint] += share;
      connected_replicas += share;
    }
    BOOST_TEST(connected_replicas == 2);
  }
  for (const auto& [endpoint, count] : connections) {
    BOOST_TEST(count <= kMaxConnections, endpoint);
    BOOST_TEST(count >= kHosts / 2, endpoint);
  }
}

BOOST_AUTO_TEST_CASE(an_added_host_moves_no_connections_of_other_hosts) {
  for (int number = 0; number < 91; ++number) {
    for (const endpoint_id& endpoint : all_replicas) {
      BOOST_TEST(Share(Host(number), 91, endpoint, 78) ==
                 Share(Host(number), 92, endpoint, 78));
    }
  }
}

// 8 strong hosts are advertised to callers; 83 weak hosts are on standby.
BOOST_AUTO_TEST_CASE(standby_hosts_leave_most_connections_to_advertised_hosts) {
  constexpr int kAdvertised = 8;
  constexpr int kStandby = 83;
  constexpr int kMaxConnections = 78;
  std::map<endpoint_id, int> connections;
  for (int number = 0; number < kAdvertised + kStandby; ++number) {
    int connected_replicas = 0;
    for (const endpoint_id& endpoint : all_replicas) {
      const bool is_advertised = number < kAdvertised;
      const int share = ConnectionShare(Host(number),
                                        {.advertised = kAdvertised,
                                         .standby = kStandby,
                                         .is_advertised = is_advertised},
                                        {.replicas = all_replicas,
                                         .endpoint = endpoint,
                                         .max_connections = kMaxConnections,
                                         .slots = 4});
      connections[endpoint] += share;
      connected_replicas += share > 0 ? 1 : 0;
      BOOST_TEST(share >= (is_advertised ? 3 : 0));
    }
    BOOST_TEST(connected_replicas >= 1);
  }
  for (const auto& [endpoint, count] : connections) {
    BOOST_TEST(count <= kMaxConnections, endpoint);
  }
}

BOOST_AUTO_TEST_CASE(all_hosts_connect_to_a_single_replica) {
  const std::set<endpoint_id> only = {endpoint_id("a")};
  BOOST_TEST(ConnectionShare(Host(1), {.advertised = 1000},
                             {.replicas = only,
                              .endpoint = endpoint_id("a"),
                              .max_connections = 10}) == 1);
}

}  // namespace trefoilmill
