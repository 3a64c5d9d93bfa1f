#define BOOST_TEST_MODULE fair_shares
#include "trefoilmill/process/fair_shares.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{seconds(10)};
constexpr bool kUrgent = true;
constexpr bool kOther = false;

organisation_id Large() {
  return organisation_id("large");
}
organisation_id Small() {
  return organisation_id("small");
}

organisation_demand Demand(const organisation_id& id,
                           std::int64_t urgent,
                           std::int64_t other) {
  return {.organisation = id, .urgent = urgent, .other = other};
}

/// Knows of these demands by another host's report.
fair_shares SharesWith(std::vector<organisation_demand> demands) {
  fair_shares shares;
  shares.OnReport(kStart, host_id("h1"), std::move(demands));
  return shares;
}

}  // namespace

BOOST_AUTO_TEST_CASE(below_the_level_everything_is_let_in) {
  fair_shares shares =
      SharesWith({Demand(Large(), 0, 8000), Demand(Small(), 0, 1000)});
  // 4,500 can run: 1,000 for the small one and 3,500 for the other.
  BOOST_TEST(shares.AdmittedFraction(kStart, Small(), kOther, 0.5) == 1.0);
  BOOST_TEST(
      shares.AdmittedFraction(kStart, Large(), kOther, 0.5) == 3500.0 / 8000,
      boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(everything_is_let_in_while_endpoints_can_run_it) {
  fair_shares shares = SharesWith({Demand(Large(), 0, 8000)});
  BOOST_TEST(shares.AdmittedFraction(kStart, Large(), kOther, 1.0) == 1.0);
}

BOOST_AUTO_TEST_CASE(urgent_requests_use_an_organisations_share_first) {
  fair_shares shares =
      SharesWith({Demand(Large(), 2000, 6000), Demand(Small(), 0, 1000)});
  BOOST_TEST(shares.AdmittedFraction(kStart, Large(), kUrgent, 0.5) == 1.0);
  BOOST_TEST(
      shares.AdmittedFraction(kStart, Large(), kOther, 0.5) == 1500.0 / 6000,
      boost::test_tools::tolerance(1e-9));
}

// A large organisation would otherwise pay for a burst of all.
BOOST_AUTO_TEST_CASE(shares_are_in_proportion_to_quotas) {
  fair_shares shares =
      SharesWith({Demand(Large(), 0, 8000), Demand(Small(), 0, 2000)});
  shares.SetWeights(
      {{.id = Large(), .quota = {.rate_per_s = 40, .burst = 10}},
       {.id = Small(), .quota = {.rate_per_s = 10, .burst = 10}}});
  for (const organisation_id& id : {Large(), Small()}) {
    BOOST_TEST(shares.AdmittedFraction(kStart, id, kOther, 0.5) == 0.5,
               boost::test_tools::tolerance(1e-9));
  }
}

// Otherwise a burst of urgent requests of one organisation would take what the
// others need.
BOOST_AUTO_TEST_CASE(urgent_requests_beyond_a_share_are_not_let_in) {
  fair_shares shares =
      SharesWith({Demand(Large(), 9000, 0), Demand(Small(), 0, 1000)});
  BOOST_TEST(shares.AdmittedFraction(kStart, Small(), kOther, 0.5) == 1.0);
  BOOST_TEST(
      shares.AdmittedFraction(kStart, Large(), kUrgent, 0.5) == 4000.0 / 9000,
      boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(own_demand_counts_at_once_and_fades) {
  fair_shares shares;
  shares.OnRequest(kStart, Large(), kOther, milliseconds(300));
  shares.OnRequest(kStart, Small(), kOther, milliseconds(100));
  BOOST_TEST(shares.AdmittedFraction(kStart, Small(), kOther, 0.5) == 1.0);
  BOOST_TEST(shares.AdmittedFraction(kStart, Large(), kOther, 0.5) < 0.5);
  shares.RemoveIdle(kStart + seconds(5));
  BOOST_TEST(shares.size() == 2U);
  shares.RemoveIdle(kStart + seconds(60));
  BOOST_TEST(shares.size() == 0U);
}

// A host that stopped must not go on counting.
BOOST_AUTO_TEST_CASE(reports_expire) {
  fair_shares shares = SharesWith({Demand(Large(), 0, 8000)});
  const time_point later = kStart + seconds(2);
  shares.OnRequest(later, Small(), kOther, milliseconds(1));
  const auto demands = shares.ZoneDemands(later, 10);
  BOOST_REQUIRE(demands.size() == 1U);
  BOOST_TEST(demands.front().organisation == Small());
}

// A wrong report must not give an organisation more than all there is.
BOOST_AUTO_TEST_CASE(a_negative_demand_counts_as_none) {
  fair_shares shares =
      SharesWith({Demand(Large(), -8000, -8000), Demand(Small(), 0, 1000)});
  BOOST_TEST(shares.AdmittedFraction(kStart, Small(), kOther, 0.5) == 0.5,
             boost::test_tools::tolerance(1e-9));
}

// Each zone would otherwise count the others' demand again.
BOOST_AUTO_TEST_CASE(a_zones_sum_leaves_out_other_zones) {
  fair_shares shares;
  shares.OnReport(kStart, host_id("h1"), {Demand(Small(), 10, 20)});
  shares.OnReport(kStart, zone_id("perth"), {Demand(Large(), 0, 8000)});
  shares.OnRequest(kStart, Small(), kUrgent, duration(5));
  const auto demands = shares.ZoneDemands(kStart, 10);
  BOOST_REQUIRE(demands.size() == 1U);
  BOOST_TEST((demands.front() == Demand(Small(), 15, 20)));
}

BOOST_AUTO_TEST_CASE(the_greatest_demands_are_reported) {
  fair_shares shares;
  for (int number = 1; number <= 50; ++number) {
    shares.OnRequest(kStart, organisation_id(std::to_string(number)), kOther,
                     milliseconds(number));
  }
  const auto demands = shares.OwnDemands(kStart, 10);
  BOOST_TEST(demands.size() == 10U);
  for (const organisation_demand& demand : demands) {
    BOOST_TEST(demand.other > 40'000);
  }
}

BOOST_AUTO_TEST_CASE(shortage_is_remembered_for_a_while) {
  fair_shares shares = SharesWith({Demand(Large(), 0, 8000)});
  BOOST_TEST(!shares.IsShort(kStart));
  BOOST_TEST(!shares.IsOverShare(kStart, Large()));
  for (int number = 0; number < 50; ++number) {
    shares.OnRunnableFraction(kStart, 0.2);
  }
  BOOST_TEST(shares.IsShort(kStart));
  BOOST_TEST(shares.IsOverShare(kStart, Large()));
  BOOST_TEST(!shares.IsOverShare(kStart, Small()));
  BOOST_TEST(shares.RunnableFraction(kStart) < 0.3);
  BOOST_TEST(shares.RunnableFraction(kStart + seconds(2)) > 0.99);
  BOOST_TEST(shares.IsShort(kStart + seconds(1)));
  BOOST_TEST(!shares.IsShort(kStart + seconds(3)));
}

}  // namespace trefoilmill
