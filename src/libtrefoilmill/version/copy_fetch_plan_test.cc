/// Tests when and from whom a host fetches copies.
#define BOOST_TEST_MODULE copy_fetch_plan
#include "trefoilmill/version/copy_fetch_plan.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

const socket_address first_peer{.ip = "10.0.0.1", .port = 1};
const socket_address second_peer{.ip = "10.0.0.2", .port = 1};

struct fixture {
  time_point now{std::chrono::seconds(1)};
  copy_fetch_plan plan{{}, std::mt19937_64(1)};

  /// Advances the time until a fetch begins; returns how long that took.
  duration Wait(const std::vector<socket_address>& peers,
                socket_address* source = nullptr) {
    const time_point began = now;
    for (; now < began + std::chrono::seconds(5); now += milliseconds(10)) {
      if (const auto chosen = plan.NextSource(now, true, peers)) {
        if (source != nullptr) {
          *source = *chosen;
        }
        return now - began;
      }
    }
    return duration::max();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_host_without_content_fetches_at_once, fixture) {
  BOOST_TEST((plan.NextSource(now, false, {first_peer}) == first_peer));
}

BOOST_FIXTURE_TEST_CASE(a_patch_has_time_to_arrive_first, fixture) {
  BOOST_TEST((Wait({first_peer}) >= copy_fetch_plan::config().fetch_delay));
  plan.OnComplete();
  // The time counts anew for the next version.
  BOOST_TEST(!plan.NextSource(now, true, {}).has_value());
  BOOST_TEST(!plan.NextSource(now, true, {first_peer}).has_value());
}

BOOST_FIXTURE_TEST_CASE(one_fetch_is_in_progress_at_a_time, fixture) {
  Wait({first_peer});
  now += std::chrono::seconds(1);
  BOOST_TEST(
      !plan.NextSource(now, true, {first_peer, second_peer}).has_value());
}

BOOST_FIXTURE_TEST_CASE(pages_come_from_one_peer_without_delay, fixture) {
  socket_address source;
  Wait({first_peer, second_peer}, &source);
  for (int page = 0; page < 20; ++page) {
    plan.OnPage();
    BOOST_TEST((plan.NextSource(now, true, {first_peer, second_peer}) ==
                std::optional(source)));
  }
}

BOOST_FIXTURE_TEST_CASE(a_page_s_source_that_is_no_longer_ahead_is_left,
                        fixture) {
  socket_address source;
  Wait({first_peer}, &source);
  plan.OnPage();
  BOOST_TEST((plan.NextSource(now, true, {second_peer}) == second_peer));
}

BOOST_FIXTURE_TEST_CASE(another_peer_is_asked_after_a_failure, fixture) {
  socket_address failed;
  Wait({first_peer, second_peer}, &failed);
  for (int times = 0; times < 10; ++times) {
    plan.OnFailed(now);
    socket_address next;
    BOOST_TEST((Wait({first_peer, second_peer}, &next) < milliseconds(900)));
    if (times == 0) {
      BOOST_TEST((next != failed));
    }
  }
  // The only peer there is gets asked again.
  plan.OnFailed(now);
  BOOST_TEST((Wait({failed}) < milliseconds(900)));
}

BOOST_FIXTURE_TEST_CASE(failures_make_the_delay_grow_up_to_its_limit, fixture) {
  Wait({first_peer});
  duration last{};
  for (int failures = 0; failures < 12; ++failures) {
    plan.OnFailed(now);
    last = Wait({first_peer});
    BOOST_TEST(
        (last <= copy_fetch_plan::config().max_backoff + milliseconds(10)));
  }
  BOOST_TEST((last >= milliseconds(300)));
}

BOOST_FIXTURE_TEST_CASE(busy_peers_are_asked_again_soon_but_not_together,
                        fixture) {
  std::set<duration> delays;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    plan = copy_fetch_plan({}, std::mt19937_64(seed));
    now = time_point(std::chrono::seconds(1));
    Wait({first_peer});
    plan.OnBusy(now);
    const duration delay = Wait({first_peer});
    delays.insert(delay);
    BOOST_TEST(
        (delay <= copy_fetch_plan::config().busy_delay + milliseconds(10)));
    BOOST_TEST((delay >= milliseconds(20)));
  }
  BOOST_TEST(delays.size() >= 4U);
}

}  // namespace trefoilmill
