#define BOOST_TEST_MODULE version_evidence
#include "trefoilmill/process/version_evidence.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart(seconds(100));
constexpr duration kExpected = milliseconds(20);
constexpr duration kBetween = milliseconds(50);

version_answer Answer(time_point sent, std::string endpoint, bool failed) {
  return {.route = route_id("r"),
          .endpoint = endpoint_id(std::move(endpoint)),
          .sent = sent,
          .expected = kExpected,
          .failed = failed};
}

/// One host that gets answers in turn of both versions, of two endpoints each.
struct host {
  version_evidence evidence;
  std::mt19937_64 random{7};
  time_point now = kStart;

  /// Answers with the given parts of failures and of slow answers.
  void Play(int answers, bool is_new, double failing, double slow) {
    std::bernoulli_distribution fails(failing);
    std::bernoulli_distribution is_slow(slow);
    for (int n = 0; n < answers; ++n) {
      const duration latency = kExpected * (is_slow(random) ? 5 : 1);
      const std::string endpoint =
          (is_new ? "new-" : "old-") + std::to_string(n % 2);
      const auto answer = Answer(now, endpoint, fails(random));
      now += kBetween + latency;
      if (is_new) {
        evidence.OnNewAnswer(answer.sent + latency, answer);
      } else {
        evidence.OnOldAnswer(answer.sent + latency, answer);
      }
    }
  }
  std::optional<evidence_sum::finding> Find() const {
    evidence_sum sum;
    sum.Update({}, evidence.Totals());
    return sum.Find(2);
  }
};

}  // namespace

BOOST_AUTO_TEST_CASE(failures_and_slow_answers_are_found) {
  host failing;
  failing.Play(100, false, 0, 0.05);
  failing.Play(60, true, 0.3, 0);
  BOOST_TEST_REQUIRE(failing.Find().has_value());
  BOOST_TEST(failing.Find()->defect == "failing");
  host slow;
  slow.Play(100, false, 0, 0.05);
  slow.Play(60, true, 0, 0.8);
  BOOST_TEST_REQUIRE(slow.Find().has_value());
  BOOST_TEST(slow.Find()->defect == "slow");
}

BOOST_AUTO_TEST_CASE(troubles_of_both_versions_speak_against_neither) {
  host both;
  both.Play(200, false, 0.3, 0.3);
  both.Play(200, true, 0.3, 0.3);
  BOOST_TEST(!both.Find().has_value());
}

// All requests that wait while an endpoint pauses are answered late.
BOOST_AUTO_TEST_CASE(requests_that_overlap_count_once) {
  version_evidence evidence;
  for (int n = 0; n < 50; ++n) {
    evidence.OnNewAnswer(kStart + seconds(1), Answer(kStart, "new-0", false));
  }
  BOOST_TEST(evidence.Totals().front().answers == 1);
}

// A grey failure of one endpoint is not the fault of its version.
BOOST_AUTO_TEST_CASE(one_endpoint_alone_does_not_suffice) {
  version_evidence evidence;
  for (int n = 0; n < 100; ++n) {
    const time_point sent = kStart + n * kBetween;
    evidence.OnNewAnswer(sent + kExpected, Answer(sent, "new-0", true));
  }
  evidence_sum sum;
  sum.Update({}, evidence.Totals());
  BOOST_TEST(!sum.Find(2).has_value());
  BOOST_TEST(sum.Find(1).has_value());
}

BOOST_AUTO_TEST_CASE(totals_add_up_in_any_order_and_repeatedly) {
  host first;
  first.Play(20, true, 0.5, 0);
  const auto early = first.evidence.Totals();
  first.Play(20, true, 0.5, 0);
  const auto late = first.evidence.Totals();
  evidence_sum sum;
  sum.Update({}, early);
  sum.Update(early, late);
  sum.Update(late, late);
  BOOST_TEST(sum.answers() == 40);
}

}  // namespace trefoilmill
