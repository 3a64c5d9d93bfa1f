#define BOOST_TEST_MODULE host_lifecycle
#include "trefoilmill/host_lifecycle.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

using std::chrono::seconds;

/// Whether `actions` has one of type `wanted`.
template <class wanted>
bool Has(const host_lifecycle::actions& actions) {
  return std::ranges::any_of(actions, [](const auto& action) {
    return std::holds_alternative<wanted>(action);
  });
}

struct fixture {
  time_point now;
  host_lifecycle host{{.entry_ttl = seconds(5), .max_deadline = seconds(10)}};
};

}  // namespace

BOOST_AUTO_TEST_CASE(graceful_shutdown_waits_for_entry_lists_and_requests) {
  fixture f;
  f.host.SetInProgress(f.now, 2);
  BOOST_TEST(Has<host_lifecycle::start_leaving>(f.host.Terminate(f.now)));
  BOOST_TEST(f.host.AcceptsQueries());
  BOOST_TEST(f.host.ClosesConnections());
  f.now += seconds(14);
  BOOST_TEST(!Has<host_lifecycle::start_draining>(f.host.Tick(f.now)));
  f.now += seconds(1);
  BOOST_TEST(Has<host_lifecycle::start_draining>(f.host.Tick(f.now)));
  BOOST_TEST(!f.host.AcceptsQueries());
  BOOST_TEST(!Has<host_lifecycle::stop>(f.host.SetInProgress(f.now, 1)));
  BOOST_TEST(Has<host_lifecycle::stop>(f.host.SetInProgress(f.now, 0)));
}

BOOST_AUTO_TEST_CASE(second_signal_skips_the_wait_but_aborts_no_request) {
  fixture f;
  f.host.SetInProgress(f.now, 1);
  f.host.Terminate(f.now);
  BOOST_TEST(Has<host_lifecycle::start_draining>(f.host.Terminate(f.now)));
  BOOST_TEST(f.host.Terminate(f.now).empty());
  BOOST_TEST((f.host.phase() == lifecycle_phase::kDraining));
  BOOST_TEST(Has<host_lifecycle::stop>(f.host.SetInProgress(f.now, 0)));
}

BOOST_AUTO_TEST_CASE(endpoints_are_released_once_when_no_longer_used) {
  fixture f;
  f.host.SetUsesEndpoints(f.now, false);
  f.host.SetUsesEndpoints(f.now, true);
  f.host.Terminate(f.now);
  BOOST_TEST(Has<host_lifecycle::release_endpoints>(
      f.host.SetUsesEndpoints(f.now, false)));
  BOOST_TEST(!Has<host_lifecycle::release_endpoints>(f.host.Tick(f.now)));
}

BOOST_AUTO_TEST_CASE(longer_max_deadline_prolongs_a_shutdown_in_progress) {
  fixture f;
  f.host.Terminate(f.now);
  f.host.SetConfig(f.now,
                   {.entry_ttl = seconds(5), .max_deadline = seconds(20)});
  f.now += seconds(24);
  BOOST_TEST(!Has<host_lifecycle::start_draining>(f.host.Tick(f.now)));
  f.now += seconds(1);
  BOOST_TEST(Has<host_lifecycle::start_draining>(f.host.Tick(f.now)));
}

}  // namespace trefoilmill
