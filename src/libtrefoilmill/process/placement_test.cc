#define BOOST_TEST_MODULE placement
#include "trefoilmill/process/placement.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id sweep("unit-sweep-1");
const zone_id own_zone("erie");
constexpr duration kUsual = milliseconds(10);

struct fixture {
  time_point now{seconds(1)};
  endpoint_registry registry{milliseconds(2200)};
  placement places{own_zone, std::mt19937_64(7)};
  std::uint64_t attempts = 0;

  fixture() {
    for (const char* id : {"a", "b", "c"}) {
      Put(id);
    }
  }

  endpoint_record Record(const std::string& id) const {
    return {.id = endpoint_id(id),
            .service = sweep,
            .zone = own_zone,
            .address = {.ip = "10.0.0.1", .port = 80},
            .slots = 2};
  }
  void Put(const std::string& id) {
    registry.Put(now, Record(id));
    places.SetFree(endpoint_id(id), 2);
  }
  attempt_id Send(const std::string& id) {
    const attempt_id attempt(++attempts);
    places.OnSend(now, endpoint_id(id), attempt);
    return attempt;
  }
  /// One request to `id` that takes `latency`.
  void Exchange(const std::string& id, duration latency, send_end how) {
    const attempt_id attempt = Send(id);
    now += latency;
    places.OnEnd(now, endpoint_id(id), attempt, kUsual, how);
  }
  /// How often each endpoint is chosen in a thousand draws.
  std::map<std::string, int> Draw(
      placement::purpose why = placement::purpose::kFirst,
      const std::vector<endpoint_id>& excluded = {}) {
    std::map<std::string, int> counts;
    for (int draw = 0; draw < 1000; ++draw) {
      const auto choice =
          places.Choose(now, registry, sweep, excluded, kUsual, why);
      if (const auto* chosen = std::get_if<placement::chosen>(&choice)) {
        ++counts[chosen->endpoint.value()];
      }
    }
    return counts;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(equal_endpoints_share_the_load, fixture) {
  for (const auto& [id, count] : Draw()) {
    BOOST_TEST(count > 250, id);
  }
}

// Pattern: each endpoint answers nothing for 120 ms of every 3 s.
BOOST_FIXTURE_TEST_CASE(a_pause_is_seen_from_what_waits, fixture) {
  Send("a");
  now += 6 * kUsual;
  auto counts = Draw();
  BOOST_TEST(counts["a"] < 20);
  BOOST_TEST(Draw(placement::purpose::kHedge)["a"] == 0);
}

BOOST_FIXTURE_TEST_CASE(one_pause_does_not_make_a_straggler, fixture) {
  Exchange("a", 12 * kUsual, send_end::kAnswered);
  BOOST_TEST(Draw()["a"] > 80);
}

// Pattern: a straggler answers 8 times slower for seconds.
BOOST_FIXTURE_TEST_CASE(a_straggler_is_avoided_within_few_answers, fixture) {
  for (int i = 0; i < 8; ++i) {
    Exchange("a", 8 * kUsual, send_end::kAnswered);
  }
  BOOST_TEST(Draw()["a"] < 60);
  now += seconds(8);
  // It gets requests again, by which its recovery is seen.
  BOOST_TEST(Draw()["a"] > 200);
}

// Pattern: an endpoint fails half of its requests while it reports health.
BOOST_FIXTURE_TEST_CASE(a_grey_failure_is_avoided, fixture) {
  for (int i = 0; i < 10; ++i) {
    Exchange("a", kUsual, i % 2 == 0 ? send_end::kFailed : send_end::kAnswered);
  }
  BOOST_TEST(Draw()["a"] < 30);
}

// Pattern: an endpoint goes dark; connections to it cannot be made.
BOOST_FIXTURE_TEST_CASE(an_unreachable_endpoint_is_left_out_for_a_while,
                        fixture) {
  places.OnConnectFailed(now, endpoint_id("a"));
  BOOST_TEST(Draw()["a"] == 0);
  now += seconds(3);
  BOOST_TEST(Draw()["a"] > 200);
}

BOOST_FIXTURE_TEST_CASE(all_connections_in_use_is_not_the_same_as_none,
                        fixture) {
  for (const char* id : {"a", "b", "c"}) {
    places.SetFree(endpoint_id(id), 0);
  }
  auto choice = places.Choose(now, registry, sweep, {}, kUsual,
                              placement::purpose::kFirst);
  BOOST_TEST(std::holds_alternative<placement::no_capacity>(choice));
  places.SetZonesOut({own_zone});
  choice = places.Choose(now, registry, sweep, {}, kUsual,
                         placement::purpose::kFirst);
  BOOST_TEST(std::holds_alternative<placement::none_usable>(choice));
}

BOOST_FIXTURE_TEST_CASE(nothing_goes_to_draining_or_displaced_endpoints,
                        fixture) {
  endpoint_record leaving = Record("a");
  leaving.draining = true;
  registry.Put(now, leaving);
  registry.Displace(now, endpoint_id("b"));
  BOOST_TEST(Draw()["c"] == 1000);
}

BOOST_FIXTURE_TEST_CASE(cold_endpoints_get_nothing_while_a_warm_one_serves,
                        fixture) {
  for (const char* id : {"a", "b"}) {
    endpoint_record cold = Record(id);
    cold.cold_for = seconds(3);
    registry.Put(now, cold);
  }
  BOOST_TEST(Draw()["c"] == 1000);
  BOOST_TEST(Draw(placement::purpose::kFirst, {endpoint_id("c")}).size() == 2U);
  now += seconds(3);
  BOOST_TEST(Draw()["a"] > 200);
}

BOOST_FIXTURE_TEST_CASE(the_own_zone_and_announced_endpoints_come_first,
                        fixture) {
  endpoint_record far = Record("a");
  far.zone = zone_id("toledo");
  registry.Put(now, far);
  registry.Withdraw(now, endpoint_id("b"));
  auto counts = Draw();
  BOOST_TEST(counts["c"] > counts["a"]);
  BOOST_TEST(counts["a"] > counts["b"]);
}

// Pattern: a straggler in a fleet where each host meets it once a second.
BOOST_FIXTURE_TEST_CASE(what_one_host_saw_helps_another, fixture) {
  fixture other;
  for (int i = 0; i < 4; ++i) {
    Exchange("a", 8 * kUsual, send_end::kAnswered);
  }
  const auto reports = places.Reports(now);
  BOOST_TEST_REQUIRE(reports.size() == 1U);
  BOOST_TEST((reports[0].endpoint == endpoint_id("a")));
  for (int i = 0; i < 3; ++i) {
    other.places.OnReport(other.now, reports[0]);
  }
  BOOST_TEST(other.Draw()["a"] < 60);
  // What was only heard is not told again: no rumour keeps itself alive.
  BOOST_TEST(other.places.Reports(other.now).empty());
  other.now += seconds(6);
  BOOST_TEST(other.Draw()["a"] > 200);
}

BOOST_FIXTURE_TEST_CASE(a_late_reply_counts_before_it_arrives, fixture) {
  for (int i = 0; i < 4; ++i) {
    const attempt_id attempt = Send("a");
    now += 4 * kUsual;
    places.OnLate(now, endpoint_id("a"), attempt, kUsual);
    places.Withdraw(endpoint_id("a"), attempt);
  }
  BOOST_TEST(Draw()["a"] < 60);
}

}  // namespace trefoilmill
