/// Tests which requests are let in under overload.
#define BOOST_TEST_MODULE deadline_admission
#include "trefoilmill/process/deadline_admission.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

using prospect = deadline_admission::prospect;

prospect Expect(std::vector<std::optional<duration>> latencies) {
  return {.shard_latencies = std::move(latencies),
          .min_coverage = 0.75,
          .time_left = milliseconds(200),
          .priority = {.route = 1}};
}

/// Fraction of 1000 requests that are let in.
double Admitted(const prospect& expected) {
  deadline_admission admission(std::mt19937_64(1));
  int admitted = 0;
  for (int request = 0; request < 1000; ++request) {
    admitted += admission.RetryAfterIfRefused(expected).has_value() ? 0 : 1;
  }
  return admitted / 1000.0;
}

}  // namespace

BOOST_AUTO_TEST_CASE(shards_that_the_coverage_does_not_need_do_not_count) {
  const auto latency = deadline_admission::LatencyForCoverage(
      Expect({milliseconds(10), milliseconds(900), milliseconds(30),
              milliseconds(20)}));
  BOOST_TEST((latency == milliseconds(30)));
  BOOST_TEST((deadline_admission::LatencyForCoverage(
                  Expect({milliseconds(10), std::nullopt, milliseconds(30),
                          milliseconds(20)})) == milliseconds(30)));
}

// That case is refused for its own reason once the request is planned.
BOOST_AUTO_TEST_CASE(a_request_without_enough_usable_shards_is_let_in) {
  const prospect lost =
      Expect({milliseconds(10), std::nullopt, std::nullopt, milliseconds(20)});
  BOOST_TEST(!deadline_admission::LatencyForCoverage(lost).has_value());
  BOOST_TEST(Admitted(lost) == 1.0);
}

BOOST_AUTO_TEST_CASE(fewer_are_let_in_the_longer_the_expected_latency) {
  double last = 1.0;
  for (const int latency_ms : {50, 100, 150, 300, 2000}) {
    const duration each = milliseconds(latency_ms);
    const double admitted = Admitted(Expect({each, each, each, each}));
    BOOST_TEST(admitted <= last);
    last = admitted;
  }
  BOOST_TEST(last > 0.02);
  BOOST_TEST(last < 0.1);
  BOOST_TEST(Admitted(Expect({milliseconds(50)})) == 1.0);
}

BOOST_AUTO_TEST_CASE(callers_that_return_are_let_in_more_readily) {
  prospect expected = Expect({milliseconds(150)});
  const double first = Admitted(expected);
  expected.returned = true;
  BOOST_TEST(Admitted(expected) > first + 0.05);
}

BOOST_AUTO_TEST_CASE(a_latency_is_safe_far_below_the_objective) {
  BOOST_TEST(deadline_admission::IsSafe(Expect({milliseconds(50)})));
  BOOST_TEST(!deadline_admission::IsSafe(Expect({milliseconds(150)})));
  BOOST_TEST(!deadline_admission::IsSafe(Expect({std::nullopt})));
}

BOOST_AUTO_TEST_CASE(the_most_urgent_requests_are_let_in) {
  prospect expected = Expect({milliseconds(2000)});
  expected.priority = {};
  BOOST_TEST(Admitted(expected) == 1.0);
}

BOOST_AUTO_TEST_CASE(callers_are_told_to_return_at_different_times) {
  deadline_admission admission(std::mt19937_64(1));
  std::vector<duration> returns;
  while (returns.size() < 100) {
    if (const auto at =
            admission.RetryAfterIfRefused(Expect({milliseconds(2000)}))) {
      returns.push_back(*at);
    }
  }
  std::ranges::sort(returns);
  BOOST_TEST((returns.back() - returns.front() > milliseconds(200)));
}

}  // namespace trefoilmill
