#define BOOST_TEST_MODULE admission
#include "trefoilmill/admission.h"

#include <boost/test/unit_test.hpp>
#include <deque>

#include "entry_test_fixture.h"

namespace trefoilmill {
namespace {

const service_id test_service("s");

admission_request RequestFrom(const std::string& caller, int priority = 5) {
  return {.caller = caller_id(caller),
          .services = {test_service},
          .priority = priority,
          .deadline = Ms(100)};
}

struct fixture {
  fixture() : controller(MakeDeployment({{"s", 1}})) {}

  std::optional<admission_ticket> Admit(time_point now,
                                        const admission_request& request) {
    auto admitted = controller.Admit(now, request, latencies);
    if (admitted)
      return admitted.value();
    BOOST_TEST((admitted.error().outcome == verdict::kNotRun));
    BOOST_TEST(admitted.error().retry_after.has_value());
    last_refusal = admitted.error().reason;
    return std::nullopt;
  }

  int AdmitMany(const admission_request& request, int count) {
    int admitted = 0;
    for (int query = 0; query < count; ++query)
      admitted += Admit(At(0), request) ? 1 : 0;
    return admitted;
  }

  admission controller;
  service_latency_estimator latencies;
  reason_code last_refusal = reason_code::kNone;
};

/// Simulates ten seconds of `per_second` queries against a service with a FIFO
/// queue and `slots` parallel slots, each of which takes `service_ms` per
/// query. Returns how many queries were answered within 100 ms.
int Goodput(int per_second, double service_ms, int slots) {
  fixture host;
  struct running_query {
    time_point done;
    admission_ticket ticket;
  };
  std::deque<running_query> running;
  std::vector<time_point> slot_free_at(slots, At(0));
  int in_time = 0;
  for (int query = 0; query < per_second * 10; ++query) {
    const time_point now = At(query * 1000.0 / per_second);
    while (!running.empty() && running.front().done <= now) {
      const running_query& oldest = running.front();
      const bool late = oldest.done - oldest.ticket.admitted_at > Ms(100);
      in_time += late ? 0 : 1;
      admission_outcome outcome;
      if (late)
        outcome.overloaded.push_back(test_service);
      host.controller.Release(oldest.done, oldest.ticket, outcome);
      running.pop_front();
    }
    const auto ticket =
        host.Admit(now, RequestFrom("c" + std::to_string(query % 5)));
    if (!ticket)
      continue;
    auto slot = std::ranges::min_element(slot_free_at);
    *slot = std::max(*slot, now) + Ms(service_ms);
    running.push_back({*slot, *ticket});
  }
  return in_time;
}

}  // namespace

BOOST_AUTO_TEST_CASE(goodput_at_twice_the_capacity_stays_near_its_peak) {
  constexpr int kSlots = 4;
  constexpr double kServiceMs = 20;
  constexpr int kCapacity = 200;
  const int peak = Goodput(kCapacity, kServiceMs, kSlots);
  const int overloaded = Goodput(2 * kCapacity, kServiceMs, kSlots);
  BOOST_TEST_MESSAGE("peak " << peak << ", at twice the load " << overloaded);
  BOOST_TEST(overloaded > 0.9 * peak);
}

BOOST_AUTO_TEST_CASE(limit_falls_with_overload_once_per_interval_and_recovers) {
  fixture host;
  const double before = host.controller.ServiceLimit(test_service);
  std::vector<admission_ticket> tickets;
  tickets.reserve(5);
  for (int query = 0; query < 5; ++query)
    tickets.push_back(*host.Admit(At(0), RequestFrom("a")));
  for (const admission_ticket& ticket : tickets)
    host.controller.Release(At(1000), ticket, {.overloaded = {test_service}});
  const double after = host.controller.ServiceLimit(test_service);
  BOOST_TEST(after < before);
  BOOST_TEST(after > before * 0.7);
  for (int round = 0; round < 200; ++round) {
    tickets.clear();
    while (const auto ticket = host.Admit(At(2000), RequestFrom("a", 9)))
      tickets.push_back(*ticket);
    for (const admission_ticket& ticket : tickets)
      host.controller.Release(At(2000), ticket, {});
  }
  BOOST_TEST(host.controller.ServiceLimit(test_service) > before);
}

BOOST_AUTO_TEST_CASE(caller_at_its_fair_share_leaves_room_for_others) {
  fixture host;
  BOOST_TEST(host.AdmitMany(RequestFrom("light"), 1) == 1);
  const int heavy_admitted = host.AdmitMany(RequestFrom("heavy"), 100);
  const int light_admitted = host.AdmitMany(RequestFrom("light"), 100);
  BOOST_TEST(heavy_admitted > 1);
  BOOST_TEST(light_admitted + 1 >= heavy_admitted - 1);
}

BOOST_AUTO_TEST_CASE(low_priority_is_refused_first) {
  fixture host;
  host.AdmitMany(RequestFrom("a", 0), 100);
  BOOST_TEST((host.last_refusal == reason_code::kOverloaded));
  BOOST_TEST(host.AdmitMany(RequestFrom("b", 0), 1) == 0);
  BOOST_TEST(host.AdmitMany(RequestFrom("b", 9), 1) == 1);
}

BOOST_AUTO_TEST_CASE(deadline_that_cannot_be_met_is_refused_but_not_forever) {
  fixture host;
  for (int sample = 0; sample < 50; ++sample)
    host.latencies.Record(At(0), test_service, Ms(500));
  const auto probe = host.Admit(At(0), RequestFrom("a"));
  BOOST_REQUIRE(probe.has_value());
  BOOST_TEST(!host.Admit(At(0), RequestFrom("a")));
  BOOST_TEST((host.last_refusal == reason_code::kDeadlineUnmeetable));
  host.controller.Release(At(500), *probe, {});
  BOOST_TEST(host.Admit(At(500), RequestFrom("a")).has_value());
}

BOOST_AUTO_TEST_CASE(busy_host_is_shared_between_services_by_weight) {
  deployment config = MakeDeployment({{"heavy", 10}, {"light", 10}});
  config.services[service_id("heavy")].weight = 3;
  config.scheduling.max_queries = 40;
  admission controller(config);
  const service_latency_estimator latencies;
  std::map<std::string, int> admitted;
  for (int query = 0; query < 100; ++query) {
    for (const std::string service : {"heavy", "light"}) {
      const admission_request request{.caller = caller_id("a"),
                                      .services = {service_id(service)},
                                      .priority = 9,
                                      .deadline = Ms(100)};
      admitted[service] += controller.Admit(At(0), request, latencies) ? 1 : 0;
    }
  }
  BOOST_TEST(admitted["heavy"] == 30);
  BOOST_TEST(admitted["light"] == 10);
}

}  // namespace trefoilmill
