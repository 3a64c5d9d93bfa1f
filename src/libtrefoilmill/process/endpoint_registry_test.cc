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

}  // namespace trefoilmill
