/// Tests requests that are refused or wait, for lack of endpoints or
/// connections or under overload.
#define BOOST_TEST_MODULE request_run_refusal
#include <boost/test/unit_test.hpp>

#include "request_run_fixture_test.h"
#include "trefoilmill/request/request_run.h"

namespace trefoilmill {

using std::chrono::milliseconds;

BOOST_FIXTURE_TEST_CASE(
    a_request_with_too_few_shards_is_refused_before_any_send,
    request_fixture) {
  DisableShard(3);
  DisableShard(4);
  Start("/sweep/1");
  BOOST_TEST(sends.empty());
  BOOST_TEST(!run->in_flight());
  const auto* refused = AnswerAs<refused_answer>();
  BOOST_TEST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->retry_after > duration::zero()));
}

// There are more requests than free connections.
BOOST_FIXTURE_TEST_CASE(a_request_without_a_connection_is_refused_early,
                        request_fixture) {
  for (int replica = 0; replica < kReplicas; ++replica) {
    shared.selector.SetIdleConnections(Endpoint(0, replica), 0);
  }
  Start("/book/1");
  const time_point arrived = now;
  BOOST_TEST(sends.empty());
  RunUntil(arrived + kObjective / 4);
  BOOST_TEST(AnswerAs<refused_answer>() != nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_free_connection_goes_to_a_waiting_request,
                        request_fixture) {
  for (int replica = 0; replica < kReplicas; ++replica) {
    shared.selector.SetIdleConnections(Endpoint(0, replica), 0);
  }
  Start("/book/1");
  shared.selector.SetIdleConnections(Endpoint(0, 1), 1);
  now += milliseconds(5);
  Apply(run->OnCapacity(now, shared, 0));
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  BOOST_TEST((sends[0].endpoint == Endpoint(0, 1)));
  ReportReply(sends[0]);
  BOOST_TEST(AnswerAs<relayed_answer>() != nullptr);
}

/// Makes all endpoints look as slow as under overload.
struct overload_fixture : request_fixture {
  overload_fixture() {
    // The most urgent requests are never refused for the load.
    routing_config config;
    config.routes = {GatherRoute()};
    config.routes.front().priority = 1;
    table = route_table::Create(std::move(config)).value();
  }
  void ReportAllSlow(double slowdown) {
    for (int shard = 0; shard < kShards; ++shard) {
      for (int replica = 0; replica < kReplicas; ++replica) {
        for (int report = 0; report < 20; ++report) {
          shared.selector.OnPeerReport(
              now, {.endpoint = Endpoint(shard, replica),
                    .slowdown_milli = static_cast<int>(1000 * slowdown)});
        }
      }
    }
  }
  /// Starts requests until one is refused or deferred, with `time_left`.
  void StartUntilNotSent(duration time_left) {
    do {
      sends.clear();
      answer.reset();
      const route* r = table->Match("h", "/sweep/x");
      run = std::make_unique<request_run>(table, *r, ServicesOf(*r), now,
                                          now + time_left);
      Apply(run->Start(now, shared));
    } while (!sends.empty());
  }
};

BOOST_FIXTURE_TEST_CASE(overload_refuses_before_anything_is_sent,
                        overload_fixture) {
  ReportAllSlow(4);
  StartUntilNotSent(kTimeout);
  const auto* refused = AnswerAs<refused_answer>();
  BOOST_TEST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->reason == reason_code::kOverloaded));
  BOOST_TEST((refused->retry_after > duration::zero()));
}

BOOST_FIXTURE_TEST_CASE(a_returned_request_waits_for_the_load_to_fall,
                        overload_fixture) {
  ReportAllSlow(4);
  StartUntilNotSent(kTimeout);
  ReportAllSlow(4);
  StartUntilNotSent(kTimeout - std::chrono::milliseconds(200));
  BOOST_TEST(!answer.has_value());
  ReportAllSlow(0);
  RunUntil(now + std::chrono::milliseconds(40));
  BOOST_TEST(sends.size() == static_cast<std::size_t>(kShards));
}

BOOST_FIXTURE_TEST_CASE(a_deferred_request_is_refused_in_the_end,
                        overload_fixture) {
  ReportAllSlow(4);
  StartUntilNotSent(kTimeout);
  ReportAllSlow(4);
  StartUntilNotSent(kTimeout - std::chrono::milliseconds(100));
  const time_point started = now;
  while (!answer.has_value()) {
    ReportAllSlow(4);
    RunUntil(now + std::chrono::milliseconds(25));
  }
  BOOST_TEST((AnswerAs<refused_answer>() != nullptr));
  BOOST_TEST(sends.empty());
  BOOST_TEST((now - started <= 4 * kObjective + std::chrono::milliseconds(25)));
}

BOOST_FIXTURE_TEST_CASE(a_deferred_request_does_not_wait_for_a_pause_to_end,
                        overload_fixture) {
  ReportAllSlow(4);
  StartUntilNotSent(kTimeout);
  ReportAllSlow(4);
  StartUntilNotSent(kTimeout - std::chrono::milliseconds(100));
  BOOST_TEST_REQUIRE(!answer.has_value());
  for (int shard = 0; shard < 2; ++shard) {
    for (int replica = 0; replica < kReplicas; ++replica) {
      shared.selector.OnPauseRequested(now, Endpoint(shard, replica),
                                       std::chrono::seconds(2));
    }
  }
  const time_point paused = now;
  RunUntil(now + std::chrono::milliseconds(25));
  const auto* refused = AnswerAs<refused_answer>();
  BOOST_TEST_REQUIRE(refused != nullptr);
  BOOST_TEST((now + refused->retry_after >= paused + std::chrono::seconds(2)));
  BOOST_TEST(sends.empty());
}

}  // namespace trefoilmill
