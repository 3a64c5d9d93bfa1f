#define BOOST_TEST_MODULE snapshot_choice
#include "trefoilmill/snapshot_choice.h"

#include <boost/test/unit_test.hpp>

#include "entry_test_fixture.h"

namespace trefoilmill {
namespace {

const std::vector<service_id> services{service_id("s")};

/// A catalog where version 7 has 2 shards and version 8 has 3. The deployment
/// contains endpoints for the first `deployed_shards` shards only.
struct fixture {
  explicit fixture(int deployed_shards) {
    endpoints.Configure(MakeDeployment({{"s", deployed_shards}}));
    catalog.versions = {MakeLayout(7, {{"s", 2}}), MakeLayout(8, {{"s", 3}})};
  }
  result<snapshot_selection> Choose(
      const std::set<snapshot_version>& unavailable = {}) const {
    return ChooseSnapshot(At(0), catalog, services, unavailable, endpoints);
  }
  endpoint_table endpoints;
  snapshot_catalog catalog;
};

}  // namespace

BOOST_AUTO_TEST_CASE(newest_fully_servable_version_is_chosen) {
  BOOST_TEST(
      (fixture(3).Choose().value().layout->version == snapshot_version(8)));
  BOOST_TEST(
      (fixture(2).Choose().value().layout->version == snapshot_version(7)));
}

BOOST_AUTO_TEST_CASE(
    greatest_coverage_is_chosen_if_no_version_is_fully_servable) {
  fixture partial(1);
  const snapshot_selection selection = partial.Choose().value();
  BOOST_TEST((selection.layout->version == snapshot_version(7)));
  BOOST_TEST(selection.servable_shards == 1U);
  BOOST_TEST(selection.total_shards == 2U);
  BOOST_TEST(
      (fixture(0).Choose().value().layout->version == snapshot_version(8)));
}

BOOST_AUTO_TEST_CASE(
    unavailable_versions_and_versions_without_a_service_are_skipped) {
  fixture complete(3);
  BOOST_TEST((complete.Choose({snapshot_version(8)}).value().layout->version ==
              snapshot_version(7)));
  complete.catalog.versions[1] = MakeLayout(8, {{"other", 1}});
  BOOST_TEST(
      (complete.Choose().value().layout->version == snapshot_version(7)));
  const auto none = complete.Choose({snapshot_version(7)});
  BOOST_REQUIRE(!none);
  BOOST_TEST((none.error().reason == reason_code::kNoSnapshot));
}

}  // namespace trefoilmill
