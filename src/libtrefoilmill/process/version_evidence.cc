#include "trefoilmill/process/version_evidence.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace trefoilmill {
namespace {

/// An answer is slow if it takes this many times as long as expected.
constexpr double kSlowRatio = 3;
/// Log-likelihood ratio that suffices to reject a version, that of 1 in 10,000;
/// see the header for what that means.
constexpr double kSufficientEvidence = 9.2;
constexpr double kMilli = 1000;

/// What is tolerated and what is expected of a bad version, as rates above that
/// of the old version.
struct defect_test {
  /// Rate assumed while the old version has given few answers.
  double prior;
  /// A version is good up to this much above the old one's rate.
  double margin;
  /// A bad version exceeds that by so much.
  double excess;
};
constexpr defect_test kFailingTest = {.prior = 0.01,
                                      .margin = 0.03,
                                      .excess = 0.25};
/// Pauses of endpoints make some answers slow, and do so in groups.
constexpr defect_test kSlowTest = {.prior = 0.05,
                                   .margin = 0.15,
                                   .excess = 0.3};

/// Number of answers that the prior stands for.
constexpr double kPriorAnswers = 15;
/// The old version's rates are those of about so many answers.
constexpr double kRecentAnswers = 200;
/// Rates are kept away from 1, where a single answer would decide.
constexpr double kMaxRate = 0.95;

/// Stands for all routes: a version that is bad on each shows sooner there.
route_id AllRoutes() {
  return {};
}

/// Log-likelihood ratio of one answer, in thousandths.
std::int64_t LogRatioMilli(const defect_test& test,
                           double old_rate,
                           bool defect) {
  const double good = std::min(old_rate + test.margin, kMaxRate);
  const double bad = std::min(good + test.excess, (1 + kMaxRate) / 2);
  const double ratio = defect ? bad / good : (1 - bad) / (1 - good);
  return std::lround(kMilli * std::log(ratio));
}

bool IsSlow(time_point now, const version_answer& answer) {
  const auto latency = static_cast<double>((now - answer.sent).count());
  return latency > kSlowRatio * static_cast<double>(answer.expected.count());
}

}  // namespace

void version_evidence::defect_rate::Add(bool defect) {
  const double kept = 1 - 1 / kRecentAnswers;
  answers = answers * kept + 1;
  defects = defects * kept + (defect ? 1 : 0);
}

double version_evidence::defect_rate::Value(double prior) const {
  return (defects + prior * kPriorAnswers) / (answers + kPriorAnswers);
}

bool version_evidence::Counts(time_point now, const version_answer& answer) {
  const auto [last, is_first] = counted_at_.try_emplace(answer.endpoint, now);
  if (!is_first && answer.sent < last->second) {
    return false;
  }
  last->second = now;
  return true;
}

void version_evidence::OnOldAnswer(time_point now,
                                   const version_answer& answer) {
  if (!Counts(now, answer)) {
    return;
  }
  for (const route_id& route : {answer.route, AllRoutes()}) {
    route_rates& rates = old_rates_[route];
    rates.failing.Add(answer.failed);
    if (!answer.failed) {
      rates.slow.Add(IsSlow(now, answer));
    }
  }
}

double version_evidence::OldRate(const route_id& route,
                                 defect_rate route_rates::* defect,
                                 double prior) {
  const double all_routes = (old_rates_[AllRoutes()].*defect).Value(prior);
  return (old_rates_[route].*defect).Value(all_routes);
}

void version_evidence::OnNewAnswer(time_point now,
                                   const version_answer& answer) {
  if (!Counts(now, answer)) {
    return;
  }
  evidence_total& total = totals_[{answer.route, answer.endpoint}];
  total.route = answer.route;
  total.endpoint = answer.endpoint;
  ++total.answers;
  total.failing_milli += LogRatioMilli(
      kFailingTest,
      OldRate(answer.route, &route_rates::failing, kFailingTest.prior),
      answer.failed);
  if (answer.failed) {
    ++total.failures;
    return;
  }
  total.slow_milli += LogRatioMilli(
      kSlowTest, OldRate(answer.route, &route_rates::slow, kSlowTest.prior),
      IsSlow(now, answer));
}

std::vector<evidence_total> version_evidence::Totals() const {
  const auto totals = std::views::values(totals_);
  return {totals.begin(), totals.end()};
}

void evidence_sum::restarted_sum::Add(std::int64_t change) {
  sum += change;
  least = std::min(least, sum);
}

double evidence_sum::restarted_sum::Value() const {
  return static_cast<double>(sum - least) / kMilli;
}

void evidence_sum::Update(const std::vector<evidence_total>& before,
                          const std::vector<evidence_total>& now) {
  for (const evidence_total& total : now) {
    const auto old = std::ranges::find_if(before, [&](const auto& other) {
      return other.route == total.route && other.endpoint == total.endpoint;
    });
    const evidence_total base = old == before.end() ? evidence_total{} : *old;
    for (const route_id& route : {total.route, AllRoutes()}) {
      endpoint_sums& sums = sums_[route][total.endpoint];
      sums.failing.Add(total.failing_milli - base.failing_milli);
      sums.slow.Add(total.slow_milli - base.slow_milli);
    }
    answers_ += total.answers - base.answers;
  }
}

std::optional<evidence_sum::finding> evidence_sum::Find(
    std::size_t endpoints) const {
  const double most_of_one =
      endpoints > 1 ? kSufficientEvidence / 2 : kSufficientEvidence;
  for (const auto& [route, by_endpoint] : sums_) {
    double failing = 0;
    double slow = 0;
    for (const endpoint_sums& sums : std::views::values(by_endpoint)) {
      failing += std::min(most_of_one, sums.failing.Value());
      slow += std::min(most_of_one, sums.slow.Value());
    }
    if (failing >= kSufficientEvidence) {
      return finding{.route = route, .defect = "failing", .evidence = failing};
    }
    if (slow >= kSufficientEvidence) {
      return finding{.route = route, .defect = "slow", .evidence = slow};
    }
  }
  return std::nullopt;
}

}  // namespace trefoilmill
