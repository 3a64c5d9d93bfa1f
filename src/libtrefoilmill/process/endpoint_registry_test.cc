#define BOOST_TEST_MODULE endpoint_registry
#include "trefoilmill/process/endpoint_registry.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

const service_id test_service("ledger");
constexpr duration kGracePeriod = milliseconds(2200);

endpoint_record Record(const std::string& id, std::uint16_t port = 80) {
  return {.id = endpoint_id(id),
          .service = test_service,
          .zone = zone_id("perth"),
          .address = {.ip = "10.0.0.1", .port = port}};
}

struct fixture {
  time_point now{std::chrono::seconds(1)};
  endpoint_registry registry{kGracePeriod};

  bool IsListed(const std::string& id) const {
    return registry.EndpointsOf(test_service).contains(endpoint_id(id));
  }
};

}  // namespace

// Guards against dropping endpoints whose entries expired only because the
// platform's store was unreachable: they register again within seconds.
BOOST_FIXTURE_TEST_CASE(a_withdrawn_endpoint_is_kept_for_the_grace_period,
                        fixture) {
  registry.Put(now, Record("a"));
  BOOST_TEST(registry.Withdraw(now, endpoint_id("a")).empty());
  registry.RemoveExpired(now + kGracePeriod - milliseconds(1));
  BOOST_TEST(IsListed("a"));
  BOOST_TEST(registry.Put(now + milliseconds(1900), Record("a")).empty());
  BOOST_TEST(registry.RemoveExpired(now + kGracePeriod).empty());
  BOOST_TEST(IsListed("a"));
}

BOOST_FIXTURE_TEST_CASE(a_withdrawn_endpoint_is_removed_after_the_grace_period,
                        fixture) {
  registry.Put(now, Record("a"));
  registry.Withdraw(now, endpoint_id("a"));
  // A second withdrawal does not extend the grace period.
  registry.Withdraw(now + milliseconds(1000), endpoint_id("a"));
  BOOST_TEST(registry.RemoveExpired(now + kGracePeriod).size() == 1U);
  BOOST_TEST(!IsListed("a"));
}

BOOST_FIXTURE_TEST_CASE(a_draining_endpoint_is_removed_when_withdrawn,
                        fixture) {
  endpoint_record record = Record("a");
  record.draining = true;
  registry.Put(now, record);
  BOOST_TEST(registry.Withdraw(now, endpoint_id("a")).size() == 1U);
  BOOST_TEST(!IsListed("a"));
}

BOOST_FIXTURE_TEST_CASE(a_new_list_withdraws_endpoints_not_in_it, fixture) {
  registry.ReplaceAll(now, {Record("a"), Record("b")});
  registry.ReplaceAll(now, {Record("b"), Record("c")});
  BOOST_TEST(registry.Find(endpoint_id("a"))->remove_at.has_value());
  BOOST_TEST(!registry.Find(endpoint_id("b"))->remove_at.has_value());
  BOOST_TEST(IsListed("c"));
}

BOOST_FIXTURE_TEST_CASE(a_new_instance_with_the_same_id_is_a_replacement,
                        fixture) {
  registry.Put(now, Record("a"));
  endpoint_record restarted = Record("a");
  restarted.started_ms = 77;
  const auto changes = registry.Put(now, restarted);
  BOOST_TEST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(
      std::holds_alternative<endpoint_registry::replaced>(changes.front()));
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_moves_to_another_service, fixture) {
  registry.Put(now, Record("a"));
  endpoint_record moved = Record("a");
  moved.service = service_id("feed");
  registry.Put(now, moved);
  BOOST_TEST(!IsListed("a"));
  BOOST_TEST(registry.EndpointsOf(service_id("feed")).size() == 1U);
}

// Guards against sending to an address that was reassigned to an endpoint of
// another service. In one test run the new owner received 369 sends where 360
// were allowed.
BOOST_FIXTURE_TEST_CASE(a_displaced_endpoint_is_removed_at_the_next_tick,
                        fixture) {
  registry.Put(now, Record("a"));
  registry.MarkAddressReused(now, endpoint_id("a"));
  BOOST_TEST(registry.Find(endpoint_id("a"))->address_reused);
  BOOST_TEST(registry.RemoveExpired(now).size() == 1U);
  // Only a new announcement adds it again.
  BOOST_TEST(registry.Put(now, Record("a", 81)).size() == 1U);
  BOOST_TEST(!registry.Find(endpoint_id("a"))->address_reused);
}

// A heartbeat from before the drain, or a store restored from an older copy,
// shows the endpoint as ready again.
BOOST_FIXTURE_TEST_CASE(a_draining_instance_stays_so, fixture) {
  endpoint_record record = Record("a");
  record.started_ms = 7;
  record.draining = true;
  registry.Put(now, record);
  record.draining = false;
  registry.Put(now, record);
  BOOST_TEST(registry.Find(record.id)->record.draining);
  registry.Withdraw(now, record.id);
  BOOST_TEST(registry.Put(now, record).empty());
  BOOST_TEST(!IsListed("a"));
  record.started_ms = 8;
  BOOST_TEST(registry.Put(now, record).size() == 1U);
  BOOST_TEST(!registry.Find(record.id)->record.draining);
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_that_says_it_leaves_is_draining, fixture) {
  endpoint_record record = Record("a");
  record.started_ms = 7;
  registry.Put(now, record);
  BOOST_TEST(!registry.MarkLeaving(record.id, 6));
  BOOST_TEST(registry.MarkLeaving(record.id, 7));
  BOOST_TEST(!registry.MarkLeaving(record.id, 7));
  BOOST_TEST(!registry.MarkLeaving(endpoint_id("b"), 7));
  const auto* entry = registry.Find(record.id);
  BOOST_TEST(entry->record.draining);
}

BOOST_FIXTURE_TEST_CASE(an_instance_ends_when_another_takes_its_address,
                        fixture) {
  endpoint_record record = Record("a");
  record.started_ms = 7;
  registry.Put(now, record);
  BOOST_TEST(!registry.HasEnded(record.id, 7));
  endpoint_record next = record;
  next.id = endpoint_id("b");
  next.started_ms = 9;
  registry.Put(now, next);
  BOOST_TEST(registry.HasEnded(record.id, 7));
  BOOST_TEST(!registry.HasEnded(next.id, 9));
}

BOOST_FIXTURE_TEST_CASE(an_instance_ends_when_another_takes_its_id, fixture) {
  endpoint_record record = Record("a");
  record.started_ms = 7;
  registry.Put(now, record);
  record.started_ms = 8;
  registry.Put(now, record);
  BOOST_TEST(registry.HasEnded(record.id, 7));
  BOOST_TEST(!registry.HasEnded(record.id, 8));
}

// An entry can lapse while its endpoint lives.
BOOST_FIXTURE_TEST_CASE(an_instance_ends_when_its_entry_is_gone_for_good,
                        fixture) {
  endpoint_record record = Record("a");
  record.started_ms = 7;
  registry.Put(now, record);
  registry.Withdraw(now, record.id);
  BOOST_TEST(!registry.HasEnded(record.id, 7));
  now += std::chrono::minutes(1);
  registry.RemoveExpired(now);
  BOOST_TEST(registry.HasEnded(record.id, 7));
}

BOOST_FIXTURE_TEST_CASE(an_instance_that_drained_has_left_in_order, fixture) {
  endpoint_record record = Record("a");
  record.started_ms = 7;
  record.draining = true;
  registry.Put(now, record);
  endpoint_record next = record;
  next.id = endpoint_id("b");
  next.draining = false;
  next.started_ms = 9;
  registry.Put(now, next);
  BOOST_TEST(!registry.HasEnded(record.id, 7));
  registry.Withdraw(now, record.id);
  BOOST_TEST(!registry.HasEnded(record.id, 7));
}

BOOST_FIXTURE_TEST_CASE(departures_are_forgotten, fixture) {
  endpoint_record record = Record("a");
  record.started_ms = 7;
  record.draining = true;
  registry.Put(now, record);
  registry.Withdraw(now, record.id);
  now += std::chrono::minutes(3);
  registry.RemoveExpired(now);
  BOOST_TEST(registry.Put(now, record).size() == 1U);
}

}  // namespace trefoilmill
