/// Tests route lookup and the validation of routes.
#define BOOST_TEST_MODULE route_table
#include "trefoilmill/version/route_table.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

route MakeRoute(const std::string& id, const std::string& prefix) {
  route r;
  r.id = route_id(id);
  r.host = "Shop.example";
  r.prefix = prefix;
  r.target = relay_target{{{.service = service_id("ledger")}}};
  return r;
}

std::shared_ptr<const route_table> MakeTable(std::vector<route> routes) {
  routing_config config;
  config.routes = std::move(routes);
  return route_table::Create(std::move(config)).value();
}

/// Returns the id of the matching route, or "" if there is none.
std::string MatchedRouteId(const route_table& table,
                           const std::string& host,
                           const std::string& target) {
  const route* found = table.Match(host, target);
  return found == nullptr ? "" : found->id.value();
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_key_belongs_to_one_organisation) {
  const auto create = [](std::vector<organisation> organisations) {
    routing_config config;
    config.organisations = std::move(organisations);
    return route_table::Create(std::move(config));
  };
  const organisation mill{.id = organisation_id("mill"), .keys = {"a", "b"}};
  const organisation barn{.id = organisation_id("barn"), .keys = {"c"}};
  const auto table = create({mill, barn}).value();
  BOOST_TEST(table->FindByKey("b")->id == mill.id);
  BOOST_TEST(table->Find(barn.id)->keys == barn.keys);
  BOOST_TEST(table->FindByKey("d") == nullptr);
  BOOST_TEST(table->FindByKey("") == nullptr);
  for (const organisation& wrong : std::initializer_list<organisation>{
           {.id = organisation_id("mill"), .keys = {"x"}},
           {.id = organisation_id(""), .keys = {"x"}},
           {.id = organisation_id("shed"), .keys = {"secret", "secret"}},
           {.id = organisation_id("shed"), .keys = {"a"}},
           {.id = organisation_id("shed"), .keys = {""}}}) {
    const auto created = create({mill, wrong});
    BOOST_TEST_REQUIRE(created.has_error());
    BOOST_TEST(created.error().detail.find("secret") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_path_wins) {
  const auto table =
      MakeTable({MakeRoute("all", "/"), MakeRoute("a", "/a/"),
                 MakeRoute("ab", "/a/b/"), MakeRoute("abc", "/a/b/c/")});
  BOOST_TEST(MatchedRouteId(*table, "shop.example", "/a/b/x?q=/a/b/c/") ==
             "ab");
  BOOST_TEST(MatchedRouteId(*table, "shop.example", "/a/b/c/") == "abc");
  BOOST_TEST(MatchedRouteId(*table, "shop.example", "/a/b/c") == "ab");
  BOOST_TEST(MatchedRouteId(*table, "shop.example", "/z") == "all");
  BOOST_TEST(MatchedRouteId(*table, "SHOP.example:8080", "/a/") == "a");
}

BOOST_AUTO_TEST_CASE(an_unknown_host_or_path_matches_no_route) {
  const auto table = MakeTable({MakeRoute("a", "/a/")});
  BOOST_TEST(MatchedRouteId(*table, "other.example", "/a/1") == "");
  BOOST_TEST(MatchedRouteId(*table, "shop.example", "/b/1") == "");
  BOOST_TEST(MatchedRouteId(*table, "shop.example", "*") == "");
  BOOST_TEST(MatchedRouteId(*table, "shop.example", "") == "");
}

BOOST_AUTO_TEST_CASE(the_error_names_the_invalid_route) {
  routing_config config;
  config.routes = {MakeRoute("good", "/g/"), MakeRoute("bad", "/b")};
  const auto table = route_table::Create(std::move(config));
  BOOST_TEST_REQUIRE(table.has_error());
  BOOST_TEST(table.error().detail.find("bad") != std::string::npos);
}

}  // namespace trefoilmill
