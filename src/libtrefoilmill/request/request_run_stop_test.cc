/// Requests of a process that stops: each is answered before the process ends,
/// and one that could not be is refused at once.
#define BOOST_TEST_MODULE request_run_stop
#include <boost/test/unit_test.hpp>

#include "request_run_fixture_test.h"

namespace trefoilmill {

using std::chrono::milliseconds;

namespace {

struct fixture : request_fixture {
  /// Tells the process to stop, with every answer due after `left`.
  void Stop(duration left) {
    shared.answer_by = now + left;
    if (run != nullptr) {
      Apply(run->OnStop(now, shared));
    }
  }
  /// Makes sub-requests of a route take `latency`.
  void SetLatency(const std::string& route, duration latency) {
    for (int sample = 0; sample < 400; ++sample) {
      shared.latencies[route_id(route)].Record(latency);
    }
  }
};

}  // namespace

// An endpoint is silent for longer than the process has left.
BOOST_FIXTURE_TEST_CASE(a_request_is_answered_before_the_process_ends,
                        fixture) {
  Start("/book/1");
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  now += milliseconds(10);
  Stop(milliseconds(200));
  RunUntil(now + milliseconds(199));
  BOOST_TEST(!answer.has_value());
  RunUntil(now + milliseconds(1));
  const auto* failed = AnswerAs<failed_answer>();
  BOOST_TEST_REQUIRE(failed != nullptr);
  BOOST_TEST((failed->reason == reason_code::kShuttingDown));
  BOOST_TEST((run->counts().last_failure == reason_code::kShuttingDown));
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_waits_less_gets_its_answer_earlier,
                        fixture) {
  Start("/book/1");
  Stop(milliseconds(5000));
  RunUntil(now + kTimeout);
  const auto* failed = AnswerAs<failed_answer>();
  BOOST_TEST_REQUIRE(failed != nullptr);
  BOOST_TEST((failed->reason == reason_code::kDeadlineExceeded));
}

BOOST_FIXTURE_TEST_CASE(shards_that_replied_are_answered_with_at_the_stop,
                        fixture) {
  Start("/sweep/1");
  ReportReplies(0, 9);
  Stop(milliseconds(15));
  RunUntil(now + milliseconds(15));
  const auto* gathered = AnswerAs<gathered_answer>();
  BOOST_TEST_REQUIRE(gathered != nullptr);
  BOOST_TEST(gathered->missing == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_request_too_slow_for_the_stop_is_refused_at_once,
                        fixture) {
  SetLatency("read", milliseconds(300));
  Stop(milliseconds(500));
  Start("/read/1");
  BOOST_TEST(sends.empty());
  const auto* refused = AnswerAs<refused_answer>();
  BOOST_TEST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->reason == reason_code::kShuttingDown));
  BOOST_TEST((refused->retry_after == duration::zero()));
}

BOOST_FIXTURE_TEST_CASE(a_fast_request_is_served_until_shortly_before_the_stop,
                        fixture) {
  SetLatency("read", milliseconds(20));
  Stop(milliseconds(500));
  Start("/read/1");
  BOOST_TEST_REQUIRE(sends.size() == 1U);
  BOOST_TEST((sends[0].deadline == now + milliseconds(500)));
  ReportReply(sends[0]);
  BOOST_TEST(AnswerAs<relayed_answer>() != nullptr);
}

// No connection was free, so that nothing was sent: it has certainly not run.
BOOST_FIXTURE_TEST_CASE(a_request_that_was_not_sent_is_refused_at_the_stop,
                        fixture) {
  for (int replica = 0; replica < kReplicas; ++replica) {
    shared.selector.SetIdleConnections(Endpoint(0, replica), 0);
  }
  Start("/book/1");
  BOOST_TEST(sends.empty());
  Stop(milliseconds(5));
  RunUntil(now + milliseconds(5));
  const auto* refused = AnswerAs<refused_answer>();
  BOOST_TEST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->reason == reason_code::kShuttingDown));
}

}  // namespace trefoilmill
