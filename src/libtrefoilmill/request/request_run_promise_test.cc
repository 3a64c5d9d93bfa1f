/// What callers are promised of requests that may run only once: "not run" only
/// if no endpoint has run it or may still do so.
#define BOOST_TEST_MODULE request_run_promise
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>

#include "request_run_fixture_test.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

enum class outcome_kind {
  kSucceeded,
  kFailed,
  kFailedWithPromise,  ///< Status 503, without a word of the endpoint itself.
  kRefused,
  kLost,
  kTimedOut,
  kNone,  ///< The attempt is in flight until the end.
};
constexpr int kOutcomeKinds = 7;

attempt_outcome MakeOutcome(outcome_kind kind) {
  switch (kind) {
    case outcome_kind::kSucceeded:
      return endpoint_replied{.response = {.status = 200}, .stamp = "s"};
    case outcome_kind::kFailed:
      return endpoint_replied{.response = {.status = 500}, .stamp = "s"};
    case outcome_kind::kFailedWithPromise:
      return endpoint_replied{
          .response = {.status = 503}, .stamp = "s", .promises_not_run = true};
    case outcome_kind::kRefused:
      return endpoint_refused{reason_code::kShed};
    case outcome_kind::kLost:
      return reply_lost{reason_code::kConnectionReset};
    default:
      return reply_lost{reason_code::kDeadlineExceeded};
  }
}

/// Whether the answer promises that the request has not run and never will.
bool PromisesNotRun(const caller_answer& answer) {
  if (const auto* relayed = std::get_if<relayed_answer>(&answer)) {
    return relayed->response.status == 503;
  }
  return std::holds_alternative<refused_answer>(answer);
}

}  // namespace

// Guards against requests that callers send again, and that run twice, because
// of a status such as 503 for a request that has run.
BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_never_called_not_run) {
  const auto holds = [] {
    request_fixture f;
    f.Start("/book/1");
    bool may_have_run = false;
    std::size_t reported = 0;
    while (!f.answer.has_value() && reported < f.sends.size()) {
      const auto kind =
          static_cast<outcome_kind>(*rc::gen::inRange(0, kOutcomeKinds));
      may_have_run = may_have_run || kind != outcome_kind::kRefused;
      if (*rc::gen::inRange(0, 8) == 0) {
        f.shared.answer_by = f.now + milliseconds(*rc::gen::inRange(0, 30));
        f.Apply(f.run->OnStop(f.now, f.shared));
      }
      f.RunUntil(f.now + milliseconds(*rc::gen::inRange(0, 200)));
      if (kind != outcome_kind::kNone && !f.answer.has_value()) {
        f.ReportOutcome(request_run::send(f.sends[reported]),
                        MakeOutcome(kind));
      }
      ++reported;
    }
    f.RunUntil(f.now + 2 * request_fixture::kTimeout);
    RC_ASSERT(f.answer.has_value());
    RC_ASSERT(!may_have_run || !PromisesNotRun(*f.answer));
  };
  BOOST_TEST(rc::check("not run is true", holds));
}

BOOST_FIXTURE_TEST_CASE(a_failure_with_a_promise_is_the_host_s_own,
                        request_fixture) {
  Start("/book/1");
  ReportOutcome(request_run::send(sends.at(0)),
                MakeOutcome(outcome_kind::kFailedWithPromise));
  BOOST_TEST(AnswerAs<failed_answer>() != nullptr);
}

BOOST_FIXTURE_TEST_CASE(other_failures_of_an_endpoint_are_relayed,
                        request_fixture) {
  Start("/book/1");
  ReportOutcome(request_run::send(sends.at(0)),
                MakeOutcome(outcome_kind::kFailed));
  const auto* relayed = AnswerAs<relayed_answer>();
  BOOST_TEST_REQUIRE(relayed != nullptr);
  BOOST_TEST(relayed->response.status == 500);
}

}  // namespace trefoilmill
