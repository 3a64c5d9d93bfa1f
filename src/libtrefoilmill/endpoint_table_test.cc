#define BOOST_TEST_MODULE endpoint_table
#include "trefoilmill/endpoint_table.h"

#include <boost/test/unit_test.hpp>

#include "entry_test_fixture.h"
#include "trefoilmill/replica_choice.h"

namespace trefoilmill {
namespace {

const endpoint_id slow_endpoint = Replica("s", 0, "a");

endpoint_table MakeTable(int shards = 1) {
  endpoint_table table;
  table.Configure(MakeDeployment({{"s", shards}}));
  return table;
}

/// Records `samples` answers of each replica of shard 0: 100 ms for the one in
/// zone a, which is 10 times slower than the others.
void AnswerAll(time_point now, endpoint_table& table, int samples) {
  for (int sample = 0; sample < samples; ++sample) {
    for (const std::string& zone : Zones()) {
      const endpoint_id endpoint = Replica("s", 0, zone);
      table.OnSent(endpoint);
      table.OnAnswered(now, endpoint, zone == "a" ? Ms(100) : Ms(10));
    }
  }
}

/// Whether the eligibility of `slow_endpoint` at `at` ms is `use`.
bool HasUse(const endpoint_table& table, double at, endpoint_eligibility use) {
  return table.EligibilityOf(At(at), slow_endpoint) == use;
}

}  // namespace

BOOST_AUTO_TEST_CASE(
    outlier_is_ejected_then_limited_to_one_request_on_probation) {
  endpoint_table table = MakeTable();
  AnswerAll(At(0), table, 5);
  BOOST_TEST(table.IsEjected(At(1), slow_endpoint));
  BOOST_TEST(HasUse(table, 1, endpoint_eligibility::kLastResort));
  BOOST_TEST(HasUse(table, 2500, endpoint_eligibility::kPreferred));
  table.OnSent(slow_endpoint);
  BOOST_TEST(HasUse(table, 2500, endpoint_eligibility::kLastResort));
  table.OnAnswered(At(2600), slow_endpoint, Ms(100));
  BOOST_TEST(table.IsEjected(At(2600 + 3000), slow_endpoint));
  BOOST_TEST(!table.IsEjected(At(2600 + 4100), slow_endpoint));
}

BOOST_AUTO_TEST_CASE(stale_report_does_not_starve_an_endpoint) {
  endpoint_table table = MakeTable();
  AnswerAll(At(0), table, 5);
  for (const std::string& zone : Zones()) {
    endpoint_load load = WarmLoad(Replica("s", 0, zone));
    load.allowance = zone == "a" ? 1 : 6;
    table.OnLoadReport(At(0), load);
  }
  const endpoint_id other = Replica("s", 0, "b");
  BOOST_TEST(table.Score(At(1), slow_endpoint) > table.Score(At(1), other));
  // Without requests there are no new reports. The stale one is ignored, so
  // that the endpoint scores like its peers again.
  BOOST_TEST(table.Score(At(20000), slow_endpoint) ==
             table.Score(At(20000), other));
}

BOOST_AUTO_TEST_CASE(recovered_outlier_is_used_again) {
  endpoint_table table = MakeTable();
  AnswerAll(At(0), table, 5);
  for (int sample = 0; sample < 4; ++sample) {
    table.OnSent(slow_endpoint);
    table.OnAnswered(At(3000), slow_endpoint, Ms(10));
  }
  table.OnSent(slow_endpoint);
  BOOST_TEST(HasUse(table, 3000, endpoint_eligibility::kPreferred));
}

BOOST_AUTO_TEST_CASE(abandoned_requests_are_a_lower_bound_of_the_latency) {
  endpoint_table table = MakeTable();
  for (int sample = 0; sample < 5; ++sample) {
    for (const std::string& zone : Zones()) {
      const endpoint_id endpoint = Replica("s", 0, zone);
      table.OnSent(endpoint);
      if (zone == "a") {
        table.OnAbandoned(At(0), endpoint, Ms(50));
      } else {
        table.OnAnswered(At(0), endpoint, Ms(10));
      }
    }
  }
  BOOST_TEST(table.IsEjected(At(1), slow_endpoint));
}

BOOST_AUTO_TEST_CASE(ejections_are_limited_to_the_configured_share) {
  endpoint_table table = MakeTable(4);
  for (int sample = 0; sample < 40; ++sample) {
    for (int shard = 0; shard < 4; ++shard) {
      for (const std::string& zone : Zones()) {
        const bool slow = zone == "a" || (zone == "b" && shard == 0);
        const endpoint_id endpoint = Replica("s", shard, zone);
        table.OnSent(endpoint);
        table.OnAnswered(At(sample * 10), endpoint, slow ? Ms(500) : Ms(10));
      }
    }
  }
  int ejected = 0;
  for (int shard = 0; shard < 4; ++shard) {
    for (const std::string& zone : Zones())
      ejected += table.IsEjected(At(401), Replica("s", shard, zone)) ? 1 : 0;
  }
  BOOST_TEST(ejected == 4);
}

BOOST_AUTO_TEST_CASE(endpoint_is_excluded_while_draining_or_its_zone_is_out) {
  endpoint_table table = MakeTable();
  table.SetZoneStates({.out = {zone_id("a")}});
  BOOST_TEST(HasUse(table, 0, endpoint_eligibility::kExcluded));
  table.SetZoneStates({});
  BOOST_TEST(HasUse(table, 0, endpoint_eligibility::kPreferred));
  endpoint_load load = WarmLoad(slow_endpoint);
  load.draining = true;
  table.OnLoadReport(At(0), load);
  BOOST_TEST(HasUse(table, 1, endpoint_eligibility::kExcluded));
  table.OnLoadReport(At(2), WarmLoad(slow_endpoint));
  BOOST_TEST(HasUse(table, 2, endpoint_eligibility::kPreferred));
  table.OnFailed(At(3), slow_endpoint, reason_code::kDraining);
  BOOST_TEST(HasUse(table, 4, endpoint_eligibility::kExcluded));
}

BOOST_AUTO_TEST_CASE(cold_endpoint_is_free_only_within_its_allowance) {
  endpoint_table table = MakeTable();
  endpoint_load load = WarmLoad(slow_endpoint);
  load.cold = true;
  load.allowance = 1;
  table.OnLoadReport(At(0), load);
  BOOST_TEST(HasUse(table, 1, endpoint_eligibility::kPreferred));
  BOOST_TEST(!table.HasFreeSlot(At(1), slow_endpoint));
  table.OnSent(slow_endpoint);
  BOOST_TEST(HasUse(table, 1, endpoint_eligibility::kLastResort));
  BOOST_TEST(table.TakeoverHintFor(slow_endpoint)->cold);
  BOOST_TEST(table.TakeoverHintFor(slow_endpoint)->allowance == 1);
  BOOST_TEST(!table.TakeoverHintFor(Replica("s", 0, "b")));
}

BOOST_AUTO_TEST_CASE(new_instance_starts_without_ejection) {
  endpoint_table table = MakeTable();
  table.OnLoadReport(At(0), WarmLoad(slow_endpoint));
  AnswerAll(At(0), table, 5);
  BOOST_TEST(table.IsEjected(At(1), slow_endpoint));
  endpoint_load restarted = WarmLoad(slow_endpoint);
  restarted.instance = instance_id("i-2");
  table.OnLoadReport(At(2), restarted);
  BOOST_TEST(!table.IsEjected(At(2), slow_endpoint));
}

BOOST_AUTO_TEST_CASE(changed_deployment_keeps_state_of_remaining_endpoints) {
  endpoint_table table = MakeTable(2);
  AnswerAll(At(0), table, 5);
  table.Configure(MakeDeployment({{"s", 1}}));
  BOOST_TEST(table.IsEjected(At(1), slow_endpoint));
  BOOST_TEST((table.Find(Replica("s", 1, "a")) == nullptr));
}

BOOST_AUTO_TEST_CASE(choice_avoids_tried_and_busy_replicas) {
  endpoint_table table = MakeTable();
  std::mt19937_64 random(1);
  std::vector<endpoint_id> replicas;
  for (const std::string& zone : Zones()) {
    replicas.push_back(Replica("s", 0, zone));
    table.OnLoadReport(At(0), WarmLoad(replicas.back()));
  }
  const std::vector<endpoint_id> tried{replicas[0]};
  for (int query = 0; query < 50; ++query) {
    table.OnSent(*ChooseReplica(At(1), table, replicas, tried,
                                attempt_kind::kFirstAttempt, random));
  }
  BOOST_TEST(table.Find(replicas[0])->outstanding == 0);
  BOOST_TEST(table.Find(replicas[1])->outstanding == 25);
  BOOST_TEST(!ChooseReplica(At(1), table, replicas, {}, attempt_kind::kHedge,
                            random) == false);
  BOOST_TEST(!ChooseReplica(At(1), table, replicas, tried, attempt_kind::kHedge,
                            random));
}

}  // namespace trefoilmill
