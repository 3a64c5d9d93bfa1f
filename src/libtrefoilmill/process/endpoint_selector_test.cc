#define BOOST_TEST_MODULE endpoint_selector
#include "trefoilmill/process/endpoint_selector.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id test_service("unit-sweep-1");
const zone_id own_zone("erie");
constexpr duration kExpectedLatency = milliseconds(10);
constexpr duration kTimeLeft = seconds(1);

struct fixture {
  time_point now{seconds(1)};
  endpoint_registry registry{milliseconds(2200)};
  endpoint_selector selector{own_zone, std::mt19937_64(7)};
  std::uint64_t attempts = 0;

  fixture() {
    for (const char* id : {"a", "b", "c"}) {
      Put(id);
    }
  }

  endpoint_record Record(const std::string& id) const {
    return {.id = endpoint_id(id),
            .service = test_service,
            .zone = own_zone,
            .address = {.ip = "10.0.0.1", .port = 80},
            .slots = 2};
  }
  void Put(const std::string& id) {
    registry.Put(now, Record(id));
    selector.SetIdleConnections(endpoint_id(id), 2);
  }
  attempt_id Send(const std::string& id) {
    const attempt_id attempt(++attempts);
    selector.OnSend(now, endpoint_id(id), attempt);
    return attempt;
  }
  /// Sends one request to `id`, which ends after `latency`.
  void SendAndFinish(const std::string& id,
                     duration latency,
                     send_outcome outcome) {
    const attempt_id attempt = Send(id);
    now += latency;
    selector.OnSendFinished(now, endpoint_id(id), attempt, kExpectedLatency,
                            outcome);
  }
  /// How often each endpoint is selected in 1000 calls of Select().
  std::map<std::string, int> CountChoices(
      endpoint_selector::purpose send_purpose =
          endpoint_selector::purpose::kFirst,
      const std::vector<endpoint_id>& excluded = {}) {
    std::map<std::string, int> counts;
    for (int call = 0; call < 1000; ++call) {
      const auto selection =
          selector.Select(now, registry, test_service, excluded,
                          kExpectedLatency, kTimeLeft, send_purpose);
      if (const auto* selected =
              std::get_if<endpoint_selector::selected>(&selection)) {
        ++counts[selected->endpoint.value()];
      }
    }
    return counts;
  }
};

/// The first time from which on the fixture's service has a usable endpoint;
/// `from` is one at which it has none, `to` one at which it has.
time_point UsableFrom(fixture& f, time_point from, time_point to) {
  while (to - from > duration(1)) {
    const time_point middle = from + (to - from) / 2;
    const auto selection = f.selector.Select(
        middle, f.registry, test_service, {}, kExpectedLatency, kTimeLeft,
        endpoint_selector::purpose::kFirst);
    const bool usable =
        std::holds_alternative<endpoint_selector::selected>(selection);
    (usable ? to : from) = middle;
  }
  return to;
}

}  // namespace

BOOST_FIXTURE_TEST_CASE(equal_endpoints_share_the_load, fixture) {
  for (const auto& [id, count] : CountChoices()) {
    BOOST_TEST(count > 250, id);
  }
}

// Guards against requests that queue at a paused endpoint: each endpoint
// answers nothing for 120 ms in every 3 s.
BOOST_FIXTURE_TEST_CASE(a_pause_is_detected_from_requests_in_flight, fixture) {
  Send("a");
  now += 6 * kExpectedLatency;
  auto counts = CountChoices();
  BOOST_TEST(counts["a"] < 20);
  BOOST_TEST(CountChoices(endpoint_selector::purpose::kHedge)["a"] == 0);
}

BOOST_FIXTURE_TEST_CASE(a_single_pause_does_not_make_a_straggler, fixture) {
  SendAndFinish("a", 12 * kExpectedLatency, send_outcome::kSucceeded);
  BOOST_TEST(CountChoices()["a"] > 80);
}

// Guards against using a straggler, which is 8 times slower for seconds, and
// against avoiding it after it has recovered.
BOOST_FIXTURE_TEST_CASE(a_straggler_is_avoided_after_a_few_replies, fixture) {
  for (int i = 0; i < 8; ++i) {
    SendAndFinish("a", 8 * kExpectedLatency, send_outcome::kSucceeded);
  }
  BOOST_TEST(CountChoices()["a"] < 60);
  now += seconds(8);
  // It gets requests again, which is how its recovery is detected.
  BOOST_TEST(CountChoices()["a"] > 200);
}

// Guards against using an endpoint that fails half of its requests while it
// reports to be healthy.
BOOST_FIXTURE_TEST_CASE(an_endpoint_with_a_grey_failure_is_avoided, fixture) {
  for (int i = 0; i < 10; ++i) {
    SendAndFinish(
        "a", kExpectedLatency,
        i % 2 == 0 ? send_outcome::kFailed : send_outcome::kSucceeded);
  }
  BOOST_TEST(CountChoices()["a"] < 30);
}

// Guards against using an endpoint to which connection attempts fail.
BOOST_FIXTURE_TEST_CASE(
    an_unreachable_endpoint_gets_no_requests_during_the_backoff,
    fixture) {
  selector.OnConnectFailed(now, endpoint_id("a"));
  BOOST_TEST(CountChoices()["a"] == 0);
  now += seconds(3);
  BOOST_TEST(CountChoices()["a"] > 200);
}

BOOST_FIXTURE_TEST_CASE(no_idle_connection_differs_from_no_usable_endpoint,
                        fixture) {
  for (const char* id : {"a", "b", "c"}) {
    selector.SetIdleConnections(endpoint_id(id), 0);
  }
  auto selection =
      selector.Select(now, registry, test_service, {}, kExpectedLatency,
                      kTimeLeft, endpoint_selector::purpose::kFirst);
  BOOST_TEST(std::holds_alternative<endpoint_selector::no_capacity>(selection));
  selector.SetZonesOutOfService({own_zone});
  selection = selector.Select(now, registry, test_service, {}, kExpectedLatency,
                              kTimeLeft, endpoint_selector::purpose::kFirst);
  BOOST_TEST(
      std::holds_alternative<endpoint_selector::no_usable_endpoint>(selection));
}

BOOST_FIXTURE_TEST_CASE(draining_and_displaced_endpoints_get_no_requests,
                        fixture) {
  endpoint_record draining = Record("a");
  draining.draining = true;
  registry.Put(now, draining);
  registry.MarkAddressReused(now, endpoint_id("b"));
  BOOST_TEST(CountChoices()["c"] == 1000);
}

BOOST_FIXTURE_TEST_CASE(
    cold_endpoints_get_no_requests_while_a_warm_one_is_usable,
    fixture) {
  for (const char* id : {"a", "b"}) {
    endpoint_record cold = Record(id);
    cold.cold_for = seconds(3);
    registry.Put(now, cold);
  }
  BOOST_TEST(CountChoices()["c"] == 1000);
  BOOST_TEST(
      CountChoices(endpoint_selector::purpose::kFirst, {endpoint_id("c")})
          .size() == 2U);
  now += seconds(3);
  BOOST_TEST(CountChoices()["a"] > 200);
}

BOOST_FIXTURE_TEST_CASE(the_own_zone_and_announced_endpoints_are_preferred,
                        fixture) {
  endpoint_record in_other_zone = Record("a");
  in_other_zone.zone = zone_id("toledo");
  registry.Put(now, in_other_zone);
  registry.Withdraw(now, endpoint_id("b"));
  auto counts = CountChoices();
  BOOST_TEST(counts["c"] > counts["a"]);
  BOOST_TEST(counts["a"] > counts["b"]);
}

// Guards against traffic between zones that gains callers nothing, and against
// callers that pay for a preference of a zone whose endpoints are slow.
BOOST_FIXTURE_TEST_CASE(the_own_zone_is_preferred_while_it_is_fine, fixture) {
  for (const char* name : {"a", "b"}) {
    endpoint_record in_other_zone = Record(name);
    in_other_zone.zone = zone_id("toledo");
    registry.Put(now, in_other_zone);
  }
  const auto part_of_own_zone = [&](endpoint_selector::purpose purpose) {
    auto counts = CountChoices(purpose);
    return static_cast<double>(counts["c"]) /
           (counts["a"] + counts["b"] + counts["c"]);
  };
  using enum endpoint_selector::purpose;
  BOOST_TEST(part_of_own_zone(kFirst) > 0.9);
  // Hedges and retries must not depend on one zone.
  BOOST_TEST(part_of_own_zone(kHedge) < 0.85);
  auto retries = CountChoices(kFirst, {endpoint_id("a")});
  BOOST_TEST(retries["b"] > 0.08 * (retries["b"] + retries["c"]));
  for (int i = 0; i < 5; ++i) {
    SendAndFinish("c", 2 * kExpectedLatency, send_outcome::kSucceeded);
  }
  BOOST_TEST(part_of_own_zone(kFirst) < 2.0 / 3);
  for (int i = 0; i < 5; ++i) {
    SendAndFinish("c", 8 * kExpectedLatency, send_outcome::kSucceeded);
  }
  BOOST_TEST(part_of_own_zone(kFirst) < 1.0 / 3);
}

// What one of several hosts has in flight, the others probably have, too.
BOOST_FIXTURE_TEST_CASE(own_requests_weigh_more_if_more_hosts_choose, fixture) {
  Send("a");
  const int alone = CountChoices()["a"];
  selector.SetChoosingHosts(4);
  BOOST_TEST(CountChoices()["a"] < alone);
}

// Guards against slow detection of a straggler in a large fleet, where each
// host sends to it only once a second.
BOOST_FIXTURE_TEST_CASE(reports_of_one_host_are_used_by_another, fixture) {
  fixture other;
  for (int i = 0; i < 4; ++i) {
    SendAndFinish("a", 8 * kExpectedLatency, send_outcome::kSucceeded);
  }
  const auto reports = selector.UnhealthyEndpoints(now);
  BOOST_TEST_REQUIRE(reports.size() == 1U);
  BOOST_TEST((reports[0].endpoint == endpoint_id("a")));
  for (int i = 0; i < 3; ++i) {
    other.selector.OnPeerReport(other.now, reports[0]);
  }
  BOOST_TEST(other.CountChoices()["a"] < 60);
  // Received reports are not passed on, or they would circulate indefinitely.
  BOOST_TEST(other.selector.UnhealthyEndpoints(other.now).empty());
  other.now += seconds(6);
  BOOST_TEST(other.CountChoices()["a"] > 200);
}

BOOST_FIXTURE_TEST_CASE(a_late_reply_counts_as_slow_before_it_arrives,
                        fixture) {
  for (int i = 0; i < 4; ++i) {
    const attempt_id attempt = Send("a");
    now += 4 * kExpectedLatency;
    selector.OnSendLate(now, endpoint_id("a"), attempt, kExpectedLatency);
    selector.CancelSend(endpoint_id("a"), attempt);
  }
  BOOST_TEST(CountChoices()["a"] < 60);
}

BOOST_FIXTURE_TEST_CASE(a_paused_endpoint_gets_nothing_until_the_pause_ends,
                        fixture) {
  selector.OnPauseRequested(now, endpoint_id("a"), seconds(2));
  BOOST_TEST(!CountChoices().contains("a"));
  now += milliseconds(1999);
  BOOST_TEST(!CountChoices().contains("a"));
  now += milliseconds(202);
  BOOST_TEST(CountChoices().contains("a"));
}

BOOST_FIXTURE_TEST_CASE(a_shorter_pause_does_not_end_a_longer_one, fixture) {
  selector.OnPauseRequested(now, endpoint_id("a"), seconds(5));
  selector.OnPauseRequested(now, endpoint_id("a"), seconds(1));
  now += seconds(4);
  BOOST_TEST(!CountChoices().contains("a"));
}

// By then every host has ended its pause, each of which is prolonged by up to a
// tenth.
BOOST_FIXTURE_TEST_CASE(callers_return_to_a_service_after_all_hosts, fixture) {
  for (const char* id : {"a", "b", "c"}) {
    selector.OnPauseRequested(now, endpoint_id(id),
                              id[0] == 'b' ? seconds(1) : seconds(3));
  }
  const auto selection =
      selector.Select(now, registry, test_service, {}, kExpectedLatency,
                      kTimeLeft, endpoint_selector::purpose::kFirst);
  BOOST_TEST_REQUIRE(
      std::holds_alternative<endpoint_selector::no_usable_endpoint>(selection));
  std::set<time_point> returns;
  for (int caller = 0; caller < 20; ++caller) {
    const auto at = selector.CallersMayReturnAt(now, registry, test_service);
    BOOST_TEST_REQUIRE(at.has_value());
    BOOST_TEST((*at >= now + milliseconds(1100)));
    BOOST_TEST((*at <= now + milliseconds(1200)));
    returns.insert(*at);
  }
  BOOST_TEST(returns.size() == 20U);
}

BOOST_FIXTURE_TEST_CASE(a_service_with_a_usable_endpoint_is_not_on_pause,
                        fixture) {
  selector.OnPauseRequested(now, endpoint_id("a"), seconds(2));
  selector.OnPauseRequested(now, endpoint_id("b"), seconds(2));
  BOOST_TEST(
      !selector.CallersMayReturnAt(now, registry, test_service).has_value());
  // One that is not on pause but unusable says nothing of when it returns.
  selector.OnConnectFailed(now, endpoint_id("c"));
  BOOST_TEST(
      selector.CallersMayReturnAt(now, registry, test_service).has_value());
}

// All hosts are told to pause for the same time, by the same endpoint.
BOOST_AUTO_TEST_CASE(hosts_return_from_a_pause_at_different_times) {
  std::set<time_point> returns;
  for (unsigned host = 0; host < 20; ++host) {
    fixture f;
    f.selector = endpoint_selector(own_zone, std::mt19937_64(host));
    for (const char* id : {"a", "b", "c"}) {
      f.Put(id);
      f.selector.OnPauseRequested(f.now, endpoint_id(id), seconds(2));
    }
    returns.insert(
        UsableFrom(f, f.now + seconds(2), f.now + milliseconds(2201)));
  }
  BOOST_TEST(returns.size() == 20U);
  BOOST_TEST((*returns.rbegin() <= fixture().now + milliseconds(2200)));
}

// It may have announced that to the store long before, so that it is not known
// how long it may still be used.
BOOST_FIXTURE_TEST_CASE(a_leaving_endpoint_serves_not_even_alone, fixture) {
  registry.MarkLeaving(endpoint_id("a"), 0);
  BOOST_TEST(!CountChoices().contains("a"));
  selector.OnConnectFailed(now, endpoint_id("b"));
  selector.OnConnectFailed(now, endpoint_id("c"));
  BOOST_TEST(CountChoices().empty());
}

}  // namespace trefoilmill
