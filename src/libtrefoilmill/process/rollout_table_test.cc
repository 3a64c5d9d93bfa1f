/// Orders that are replaced, withdrawn or late, and writes that are lost or
/// race.
#define BOOST_TEST_MODULE rollout_table
#include "trefoilmill/process/rollout_table.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id service("shelf");
const host_id self("h0");
constexpr time_point kStart(seconds(100));
constexpr exposure_limit kLimit = {.ratio = 0.1, .slack = 50};

/// One host, the first decider, with an endpoint of each version.
struct fixture {
  rollout_table table{kLimit, std::mt19937_64(1)};
  endpoint_registry registry{seconds(2)};
  time_point now = kStart;
  std::size_t rank = 0;

  fixture() {
    table.SetOrders(now, {});
    Announce("v1");
    Update();
  }
  void Announce(const std::string& version) {
    registry.Put(now, {.id = endpoint_id("e-" + version),
                       .service = service,
                       .slots = 4,
                       .software = software_version(version)});
  }
  rollout_record Order(const std::string& target,
                       std::uint64_t revision_number,
                       std::optional<rollout_state> state = std::nullopt,
                       duration length = seconds(12)) const {
    return {.order = {.service = service,
                      .target = software_version(target),
                      .length = length},
            .state = state,
            .at = revision(revision_number)};
  }
  rollout_table::fleet Fleet() const {
    return {.self = self,
            .sharing_hosts = 1,
            .senders = {self},
            .rank = [this](const service_id&) { return std::optional(rank); }};
  }
  void Update() {
    table.Update(now, registry, [](const endpoint_id&) { return 0U; }, Fleet());
  }
  std::vector<rollout_table::write> Writes() {
    Update();
    return table.TakeWrites(now, Fleet());
  }
  bool IsWithheld(const std::string& version) {
    Update();
    return table.withheld().contains(endpoint_id("e-" + version));
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(a_host, fixture)

BOOST_AUTO_TEST_CASE(writes_that_it_runs_until_the_store_has_it) {
  table.SetOrders(now, {Order("v2", 5)});
  const auto first = Writes();
  BOOST_REQUIRE(first.size() == 1U);
  BOOST_TEST((first.front().state == rollout_state::kRunning));
  BOOST_TEST((first.front().at == revision(5)));
  BOOST_TEST(Writes().empty());
  // The store's answer was lost: the same condition again.
  now += seconds(1);
  BOOST_TEST(Writes().size() == 1U);
  table.SetOrders(now, {Order("v2", 6, rollout_state::kRunning)});
  now += seconds(1);
  BOOST_TEST(Writes().empty());
}

// Two hosts decide at once: what the store has counts, whatever this host made
// of it.
BOOST_AUTO_TEST_CASE(follows_the_final_state_of_the_store) {
  Announce("v2");
  table.SetOrders(now, {Order("v2", 5)});
  table.OnNews(now, {.order = Order("v2", 5).order,
                     .stage = rollout_stage::kRejected,
                     .elapsed = seconds(1)});
  BOOST_TEST(IsWithheld("v2"));
  table.SetOrders(now, {Order("v2", 6, rollout_state::kCompleted)});
  BOOST_TEST(!IsWithheld("v2"));
  BOOST_TEST(IsWithheld("v1"));
  now += seconds(20);
  BOOST_TEST(Writes().empty());
}

// The first decider ended between its decision and its write.
BOOST_AUTO_TEST_CASE(that_is_second_in_line_writes_later) {
  rank = 1;
  table.SetOrders(now, {Order("v2", 5)});
  table.OnNews(now, {.order = Order("v2", 5).order,
                     .stage = rollout_stage::kRejected,
                     .elapsed = seconds(1)});
  BOOST_TEST(Writes().empty());
  now += milliseconds(800);
  const auto late = Writes();
  BOOST_REQUIRE(late.size() == 1U);
  BOOST_TEST((late.front().state == rollout_state::kRolledBack));
}

BOOST_AUTO_TEST_CASE(sends_nothing_to_a_version_whose_order_is_withdrawn) {
  Announce("v2");
  table.SetOrders(now, {Order("v2", 5)});
  Update();
  table.SetOrders(now, {});
  now += seconds(10);
  BOOST_TEST(IsWithheld("v2"));
  BOOST_TEST(!IsWithheld("v1"));
  BOOST_TEST(Writes().empty());
}

BOOST_AUTO_TEST_CASE(follows_an_order_that_replaces_another) {
  Announce("v2");
  table.SetOrders(now, {Order("v2", 5)});
  Update();
  Announce("v3");
  table.SetOrders(now, {Order("v3", 6)});
  now += seconds(3);
  BOOST_TEST(IsWithheld("v2"));
  BOOST_TEST(!IsWithheld("v3"));
  // Old, and new again.
  table.SetOrders(now, {Order("v2", 7)});
  now += seconds(3);
  BOOST_TEST(IsWithheld("v3"));
  BOOST_TEST(!IsWithheld("v2"));
}

BOOST_AUTO_TEST_CASE(rolls_back_an_order_whose_deadline_has_passed) {
  table.SetOrders(now, {Order("v2", 5, std::nullopt, milliseconds(100))});
  now += milliseconds(200);
  const auto writes = Writes();
  BOOST_REQUIRE(writes.size() == 1U);
  BOOST_TEST((writes.front().state == rollout_state::kRolledBack));
}

// The record of a new endpoint may arrive before its order.
BOOST_AUTO_TEST_CASE(holds_a_version_back_that_it_sees_for_the_first_time) {
  now += seconds(5);
  Announce("v2");
  BOOST_TEST(IsWithheld("v2"));
  now += seconds(1);
  BOOST_TEST(IsWithheld("v2"));
  now += seconds(2);
  BOOST_TEST(!IsWithheld("v2"));
}

// A process that starts in mid roll-out, before it has the orders.
BOOST_AUTO_TEST_CASE(without_orders_uses_the_version_that_started_first) {
  rollout_table fresh(kLimit, std::mt19937_64(1));
  registry.Put(now, {.id = endpoint_id("e-v2"),
                     .service = service,
                     .started_ms = 9,
                     .software = software_version("v2")});
  fresh.Update(now, registry, [](const endpoint_id&) { return 0U; }, Fleet());
  BOOST_TEST(fresh.withheld().contains(endpoint_id("e-v2")));
  BOOST_TEST(!fresh.withheld().contains(endpoint_id("e-v1")));
}

BOOST_AUTO_TEST_CASE(serves_no_rollouts_without_a_limit) {
  rollout_table off;
  off.SetOrders(now, {Order("v2", 5)});
  off.Update(now, registry, [](const endpoint_id&) { return 0U; }, Fleet());
  BOOST_TEST(!off.has_orders());
  BOOST_TEST(off.withheld().empty());
  BOOST_TEST(
      (off.Choose(now, service, true) == rollout_table::version_choice::kAny));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace trefoilmill
