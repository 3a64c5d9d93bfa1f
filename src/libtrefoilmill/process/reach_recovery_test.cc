/// A host that was cut off from the endpoints finds out that it reaches them
/// again, whatever the endpoints have said of themselves.
#define BOOST_TEST_MODULE reach_recovery
#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "trefoilmill/process/endpoint_selector.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kProbeInterval = milliseconds(100);
constexpr std::size_t kProbesAtOnce = 2;
/// The platform allows an endpoint that asked for a pause so many requests.
constexpr int kProbesPerPause = 1;

/// One host and its endpoints, of which every connection has hung.
struct cut_off_host {
  time_point now{seconds(100)};
  endpoint_registry registry{seconds(2)};
  endpoint_selector selector{zone_id("erie"), std::mt19937_64(3)};
  std::mt19937_64 random{5};
  std::map<endpoint_id, int> probes;
  std::vector<endpoint_id> ids;

  explicit cut_off_host(int endpoints) {
    const std::vector<host_id> hosts = {host_id("host-0"), host_id("host-1"),
                                        host_id("host-2")};
    selector.limits().SetSenders(hosts[0], hosts);
    for (int number = 0; number < endpoints; ++number) {
      ids.emplace_back("i-" + std::to_string(number));
      registry.Put(now, {.id = ids.back(),
                         .service = service_id("s"),
                         .zone = zone_id("erie"),
                         .address = {.ip = "10.0.0.1", .port = 80},
                         .slots = 2});
      selector.SetIdleConnections(ids.back(), 0);
    }
    selector.reach().SetKnownEndpoints(ids.size());
  }

  /// All requests go unanswered until the host is cut off.
  void CutOff() {
    while (!selector.reach().is_cut_off()) {
      for (const endpoint_id& id : ids) {
        selector.reach().OnLost(now, id);
      }
      now += kProbeInterval;
      selector.reach().Update(now);
    }
  }

  /// Links are whole again: each probe is answered at once. Returns how long
  /// the host takes to serve, `limit` at most.
  duration TimeToServe(duration limit) {
    const time_point began = now;
    while (selector.reach().is_cut_off() && now - began < limit) {
      auto candidates = selector.ProbeCandidates(now, registry);
      std::ranges::shuffle(candidates, random);
      candidates.resize(std::min(candidates.size(), kProbesAtOnce));
      for (const endpoint_id& id : candidates) {
        selector.OnProbe(now, id);
        ++probes[id];
        selector.reach().OnResponse(now, id);
      }
      now += kProbeInterval;
    }
    return now - began;
  }
};

}  // namespace

// All endpoints state limits, far above their load: no endpoint was asked, so
// that the host refused its callers for good.
BOOST_AUTO_TEST_CASE(a_host_comes_back_when_all_endpoints_state_limits) {
  cut_off_host host(6);
  for (const endpoint_id& id : host.ids) {
    host.selector.limits().OnResponse(host.now, id,
                                      request_rate::PerSecond(200));
  }
  host.CutOff();
  BOOST_TEST((host.TimeToServe(seconds(20)) <= seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_host_comes_back_when_all_endpoints_pause) {
  cut_off_host host(6);
  for (const endpoint_id& id : host.ids) {
    host.selector.OnPauseRequested(host.now, id, seconds(300));
  }
  host.CutOff();
  BOOST_TEST((host.TimeToServe(seconds(20)) <= seconds(1)));
  for (const auto& [id, count] : host.probes) {
    BOOST_TEST(count <= kProbesPerPause);
  }
}

// From any state of the endpoints: limits that may be small, pauses, drains,
// and cold starts, which last some seconds.
BOOST_AUTO_TEST_CASE(a_host_comes_back_from_any_state_of_its_endpoints) {
  constexpr duration kLongestColdStart = seconds(4);
  const auto holds = [&] {
    cut_off_host host(*rc::gen::inRange(1, 12));
    for (const endpoint_id& id : host.ids) {
      auto record = host.registry.Find(id)->record;
      record.draining = *rc::gen::inRange(0, 3) == 0;
      if (*rc::gen::inRange(0, 3) == 0) {
        record.cold_for = milliseconds(*rc::gen::inRange(1, 4000));
      }
      host.registry.Put(host.now, record);
      if (*rc::gen::inRange(0, 2) == 0) {
        const int per_ten_seconds = *rc::gen::inRange(5, 2000);
        host.selector.limits().OnResponse(
            host.now, id, request_rate::PerSecond(per_ten_seconds / 10.0));
      }
      if (*rc::gen::inRange(0, 2) == 0) {
        host.selector.OnPauseRequested(
            host.now, id, milliseconds(*rc::gen::inRange(1, 60000)));
      }
    }
    host.CutOff();
    RC_ASSERT(host.TimeToServe(seconds(60)) <= kLongestColdStart + seconds(8));
  };
  BOOST_TEST(rc::check("it serves within 12 s", holds));
}

}  // namespace trefoilmill
