#define BOOST_TEST_MODULE endpoint_registry
#include "trefoilmill/process/endpoint_registry.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

const service_id ledger("ledger");
constexpr duration kGrace = milliseconds(2200);

endpoint_record Record(const std::string& id, std::uint16_t port = 80) {
  return {.id = endpoint_id(id),
          .service = ledger,
          .zone = zone_id("perth"),
          .address = {.ip = "10.0.0.1", .port = port}};
}

struct fixture {
  time_point now{std::chrono::seconds(1)};
  endpoint_registry registry{kGrace};

  bool Knows(const std::string& id) const {
    return registry.OfService(ledger).contains(endpoint_id(id));
  }
};

}  // namespace

// Pattern: entries lapse while the store is away, and are back within seconds.
BOOST_FIXTURE_TEST_CASE(a_lapsed_endpoint_stays_for_its_grace, fixture) {
  registry.Put(now, Record("a"));
  BOOST_TEST(registry.Withdraw(now, endpoint_id("a")).empty());
  registry.Tick(now + kGrace - milliseconds(1));
  BOOST_TEST(Knows("a"));
  BOOST_TEST(registry.Put(now + milliseconds(1900), Record("a")).empty());
  BOOST_TEST(registry.Tick(now + kGrace).empty());
  BOOST_TEST(Knows("a"));
}

BOOST_FIXTURE_TEST_CASE(one_that_does_not_return_is_gone, fixture) {
  registry.Put(now, Record("a"));
  registry.Withdraw(now, endpoint_id("a"));
  // A second withdrawal does not prolong it.
  registry.Withdraw(now + milliseconds(1000), endpoint_id("a"));
  BOOST_TEST(registry.Tick(now + kGrace).size() == 1U);
  BOOST_TEST(!Knows("a"));
}

BOOST_FIXTURE_TEST_CASE(one_that_drained_goes_at_once, fixture) {
  endpoint_record record = Record("a");
  record.draining = true;
  registry.Put(now, record);
  BOOST_TEST(registry.Withdraw(now, endpoint_id("a")).size() == 1U);
  BOOST_TEST(!Knows("a"));
}

BOOST_FIXTURE_TEST_CASE(a_new_list_withdraws_what_it_lacks, fixture) {
  registry.Replace(now, {Record("a"), Record("b")});
  registry.Replace(now, {Record("b"), Record("c")});
  BOOST_TEST(registry.Find(endpoint_id("a"))->forget_at.has_value());
  BOOST_TEST(!registry.Find(endpoint_id("b"))->forget_at.has_value());
  BOOST_TEST(Knows("c"));
}

BOOST_FIXTURE_TEST_CASE(another_life_under_the_same_id_is_a_replacement,
                        fixture) {
  registry.Put(now, Record("a"));
  endpoint_record reborn = Record("a");
  reborn.started_ms = 77;
  const auto changes = registry.Put(now, reborn);
  BOOST_TEST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(
      std::holds_alternative<endpoint_registry::replaced>(changes.front()));
}

BOOST_FIXTURE_TEST_CASE(an_endpoint_that_moves_to_another_service, fixture) {
  registry.Put(now, Record("a"));
  endpoint_record moved = Record("a");
  moved.service = service_id("feed");
  registry.Put(now, moved);
  BOOST_TEST(!Knows("a"));
  BOOST_TEST(registry.OfService(service_id("feed")).size() == 1U);
}

// Pattern: an address is given to an endpoint of another service. Seen on
// phd-restock, day fresh-b96b: 369 sends to the new owner, 360 allowed.
BOOST_FIXTURE_TEST_CASE(a_displaced_endpoint_is_forgotten_at_once, fixture) {
  registry.Put(now, Record("a"));
  registry.Displace(now, endpoint_id("a"));
  BOOST_TEST(registry.Find(endpoint_id("a"))->displaced);
  BOOST_TEST(registry.Tick(now).size() == 1U);
  // Only a new announcement brings it back.
  BOOST_TEST(registry.Put(now, Record("a", 81)).size() == 1U);
  BOOST_TEST(!registry.Find(endpoint_id("a"))->displaced);
}

}  // namespace trefoilmill
