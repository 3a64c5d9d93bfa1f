/// Tests that the tables of a configuration follow its parts: work only for
/// what changed, in bounded steps, and never started over by newer versions.
#define BOOST_TEST_MODULE configuration_loader
#include "trefoilmill/version/configuration_loader.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace trefoilmill {
namespace {

/// Parts are texts such as "version 7", "route /a/ shelf" or "key mill secret".
struct fixture {
  int decoded = 0;
  configuration_loader loader{
      [this](const part& encoded) { return Decode(encoded); }};

  result<configuration_part> Decode(const part& encoded) {
    ++decoded;
    const std::string& text = encoded.text();
    const std::size_t space = text.find(' ');
    const std::string first = text.substr(0, space);
    const std::string rest = text.substr(space + 1);
    const std::size_t middle = rest.find(' ');
    if (encoded.section() == "version") {
      return configuration_part(config_version(std::stoull(rest)));
    }
    if (first == "route") {
      route r;
      r.id = route_id(rest);
      r.host = "shop";
      r.prefix = rest.substr(0, middle);
      r.target =
          relay_target{{{.service = service_id(rest.substr(middle + 1))}}};
      return configuration_part(std::make_shared<const route>(r));
    }
    if (first == "key") {
      return configuration_part(std::make_shared<const organisation>(
          organisation{.id = organisation_id(rest.substr(0, middle)),
                       .keys = {rest.substr(middle + 1)}}));
    }
    return failure{.reason = reason_code::kBadRequest, .detail = "malformed"};
  }

  static part_set Parts(int version, const std::vector<std::string>& texts) {
    part_set parts;
    parts.Insert(std::make_shared<const part>(
        "version", revision(), "version " + std::to_string(version)));
    for (const std::string& text : texts) {
      parts.Insert(std::make_shared<const part>("list[]", revision(), text));
    }
    return parts;
  }

  static std::vector<std::string> Routes(int count) {
    std::vector<std::string> routes;
    routes.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      routes.push_back("route /r" + std::to_string(i) + "/ shelf");
    }
    return routes;
  }

  /// Runs steps until one ends the target; returns it.
  configuration_loader::outcome_of_step Finish(std::size_t step = 16) {
    for (int steps = 0; steps < 100'000; ++steps) {
      auto outcome = loader.Step(step);
      if (!std::holds_alternative<configuration_loader::in_progress>(outcome)) {
        return outcome;
      }
    }
    BOOST_FAIL("the target is never reached");
    return configuration_loader::in_progress{};
  }

  configuration_loader::loaded Load(const part_set& parts) {
    loader.SetTarget(parts, revision(1));
    auto outcome = Finish();
    BOOST_TEST_REQUIRE(
        std::holds_alternative<configuration_loader::loaded>(outcome));
    return std::get<configuration_loader::loaded>(outcome);
  }
};

std::string ServiceOf(const route_table& table, const std::string& path) {
  const route* found = table.Match("shop", path);
  return found == nullptr ? "" : ServicesOf(*found).front().value();
}

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_change_is_decoded_alone, fixture) {
  auto routes = Routes(10'000);
  const auto before = Load(Parts(1, routes));
  decoded = 0;
  routes[7] = "route /r7/ ledger";
  const auto after = Load(Parts(2, routes));
  // The version twice, to see whether it is newer, and the route.
  BOOST_TEST(decoded <= 3);
  BOOST_TEST(after.changed_parts == 4U);
  BOOST_TEST(ServiceOf(*after.table, "/r7/x") == "ledger");
  BOOST_TEST(ServiceOf(*after.table, "/r8/x") == "shelf");
  BOOST_TEST(after.table->route_count() == 10'000U);
  // Requests that began with the version before still see it.
  BOOST_TEST(ServiceOf(*before.table, "/r7/x") == "shelf");
}

BOOST_FIXTURE_TEST_CASE(no_step_does_more_than_it_may, fixture) {
  loader.SetTarget(Parts(1, Routes(1000)), revision(1));
  int steps = 0;
  int most = 0;
  while (loader.has_target()) {
    decoded = 0;
    loader.Step(64);
    most = std::max(most, decoded);
    ++steps;
  }
  BOOST_TEST(steps >= 1000 / 64);
  BOOST_TEST(most <= 64 + 1);
}

BOOST_FIXTURE_TEST_CASE(newer_versions_do_not_start_the_work_over, fixture) {
  // A version every second step, each with one route moved: the routes that all
  // of them hold are decoded once, and the last one is in force after the
  // others' work, not after all of theirs together.
  auto routes = Routes(2000);
  int version = 1;
  loader.SetTarget(Parts(version, routes), revision(1));
  for (; version <= 40; ++version) {
    loader.Step(32);
    loader.Step(32);
    routes[static_cast<std::size_t>(version)] =
        "route /r" + std::to_string(version) + "/ ledger";
    loader.SetTarget(Parts(version + 1, routes), revision(1));
  }
  const auto outcome = Finish();
  const auto* loaded = std::get_if<configuration_loader::loaded>(&outcome);
  BOOST_TEST_REQUIRE(loaded != nullptr);
  BOOST_TEST((loaded->table->version() == config_version(41)));
  BOOST_TEST(decoded <= 2000 + 4 * 40);
  BOOST_TEST(ServiceOf(*loaded->table, "/r3/") == "ledger");
}

BOOST_FIXTURE_TEST_CASE(an_older_version_is_given_up, fixture) {
  Load(Parts(5, Routes(3)));
  loader.SetTarget(Parts(4, Routes(2)), revision(9));
  const auto outcome = Finish();
  const auto* outdated = std::get_if<configuration_loader::outdated>(&outcome);
  BOOST_TEST_REQUIRE(outdated != nullptr);
  BOOST_TEST((outdated->version == config_version(4)));
  // A newer one follows from what is in force.
  const auto newer = Load(Parts(6, Routes(4)));
  BOOST_TEST(newer.table->route_count() == 4U);
}

BOOST_FIXTURE_TEST_CASE(a_malformed_part_keeps_the_version_out, fixture) {
  Load(Parts(1, Routes(3)));
  loader.SetTarget(Parts(2, {"route /a/ shelf", "nonsense"}), revision(9));
  const auto outcome = Finish();
  const auto* refused = std::get_if<configuration_loader::refused>(&outcome);
  BOOST_TEST_REQUIRE(refused != nullptr);
  BOOST_TEST(refused->error.detail == "malformed");
  BOOST_TEST(!loader.has_target());
  const auto next = Load(Parts(3, {"route /a/ ledger"}));
  BOOST_TEST(next.table->route_count() == 1U);
  BOOST_TEST(ServiceOf(*next.table, "/a/") == "ledger");
}

BOOST_FIXTURE_TEST_CASE(the_same_version_again_changes_nothing, fixture) {
  Load(Parts(1, Routes(3)));
  loader.SetTarget(Parts(1, Routes(3)), revision(2));
  BOOST_TEST(!loader.has_target());
}

BOOST_FIXTURE_TEST_CASE(keys_move_between_organisations, fixture) {
  Load(Parts(1, {"key mill a", "key barn b"}));
  const auto moved = Load(Parts(2, {"key mill b", "key barn a"}));
  BOOST_TEST(moved.organisations_changed);
  BOOST_TEST(moved.table->FindByKey("b")->id.value() == "mill");
  BOOST_TEST(moved.table->FindByKey("a")->id.value() == "barn");
  const auto removed = Load(Parts(3, {"key mill b"}));
  BOOST_TEST(removed.table->FindByKey("a") == nullptr);
  loader.SetTarget(Parts(4, {"key mill b", "key shed b"}), revision(1));
  BOOST_TEST(std::holds_alternative<configuration_loader::refused>(Finish()));
}

// Versions that add, move and drop routes, loaded in steps and abandoned at
// random, give the same tables as when they are built at once.
BOOST_FIXTURE_TEST_CASE(tables_equal_those_built_at_once, fixture) {
  std::mt19937 random(1);
  for (int version = 1; version <= 200; ++version) {
    std::vector<std::string> routes;
    for (int i = 0; i < 60; ++i) {
      if (random() % 3 != 0) {
        routes.push_back("route /r" + std::to_string(i) + "/ s" +
                         std::to_string(random() % 3));
      }
    }
    loader.SetTarget(Parts(version, routes), revision(1));
    if (random() % 2 == 0) {
      loader.Step(random() % 40);
      continue;
    }
    const auto outcome = Finish(1 + random() % 20);
    const auto* loaded = std::get_if<configuration_loader::loaded>(&outcome);
    BOOST_TEST_REQUIRE(loaded != nullptr);
    BOOST_TEST(loaded->table->route_count() == routes.size());
    for (const std::string& text : routes) {
      const std::string path = text.substr(6, text.rfind(' ') - 6);
      BOOST_TEST(ServiceOf(*loaded->table, path) ==
                 text.substr(text.rfind(' ') + 1));
    }
  }
}

}  // namespace trefoilmill
