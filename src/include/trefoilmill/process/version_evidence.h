/// Evidence that a new version of a service's software is worse than the one in
/// use: that it fails more of its requests, or answers more of them slowly.
///
/// For each route and each endpoint of the new version, the logarithm of a
/// likelihood ratio is summed over the answers: the probability of the outcome
/// if the version is bad, over that if it is not worse than the other version
/// by more than a margin. The rates of the other version are those of its
/// recent answers on the same route, so that a trouble which all endpoints have
/// speaks against neither. If answers were independent and the old version's
/// rates known, the ratio would have an expected value of at most 1 for a good
/// version, and the probability that its product, begun anew whenever it falls
/// below 1, reaches e^t would be at most e^-t for each time that it is begun
/// (Ville's inequality), however often one looks. The rates are estimates; the
/// margin has to cover their error.
///
/// Only requests that do not overlap at an endpoint are counted: all requests
/// that wait while it pauses tell the same.
#ifndef TREFOILMILL_PROCESS_VERSION_EVIDENCE_H_
#define TREFOILMILL_PROCESS_VERSION_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"
#include "trefoilmill/version/routing_config.h"

namespace trefoilmill {

/// An answer of an endpoint, as evidence on its software.
struct version_answer {
  route_id route;
  endpoint_id endpoint;
  time_point sent;
  /// Latency to expect on this route.
  duration expected{};
  /// The endpoint answered with an error.
  bool failed = false;
};

/// What one process has seen of one endpoint of the new version on one route,
/// in total.
struct evidence_total {
  route_id route;
  endpoint_id endpoint;
  std::int64_t answers = 0;
  std::int64_t failures = 0;
  /// Sums of log-likelihood ratios, in thousandths: of failures and of slow
  /// answers.
  std::int64_t failing_milli = 0;
  std::int64_t slow_milli = 0;
};

/// The answers that this host got from both versions of one service.
class version_evidence {
 public:
  /// An endpoint of the version in use answered.
  void OnOldAnswer(time_point now, const version_answer& answer);
  /// An endpoint of the new version answered.
  void OnNewAnswer(time_point now, const version_answer& answer);

  /// One total for each route and endpoint of the new version.
  std::vector<evidence_total> Totals() const;

 private:
  /// Part of the recent answers of the old version that had a defect.
  struct defect_rate {
    double answers = 0;
    double defects = 0;
    void Add(bool defect);
    /// The rate, with `prior` in place of answers that are still missing.
    double Value(double prior) const;
  };
  struct route_rates {
    defect_rate failing;
    defect_rate slow;
  };

  /// Whether the answer counts: the request was sent after the last one that
  /// counted for the endpoint was answered.
  bool Counts(time_point now, const version_answer& answer);

  /// Rate of a defect among the old version's answers on the route; where
  /// those are few, among its answers on all routes.
  double OldRate(const route_id& route,
                 defect_rate route_rates::* defect,
                 double prior);

  /// By route, and for all routes together under an empty one.
  std::map<route_id, route_rates> old_rates_;
  std::map<std::pair<route_id, endpoint_id>, evidence_total> totals_;
  /// When the last answer that counted arrived.
  std::unordered_map<endpoint_id, time_point> counted_at_;
};

/// Adds up the totals of several processes, in any order and repeatedly, and
/// says whether they suffice to reject the new version.
class evidence_sum {
 public:
  /// Why a version is rejected.
  struct finding {
    /// Empty if it is all routes together.
    route_id route;
    /// "failing" or "slow".
    std::string_view defect;
    /// Sum of the evidence, and what suffices; see kSufficientEvidence.
    double evidence = 0;
  };

  /// Replaces what a process reported before by its totals of now.
  void Update(const std::vector<evidence_total>& before,
              const std::vector<evidence_total>& now);
  /// Unset unless the evidence suffices. The evidence of one endpoint counts up
  /// to half of what is needed if the version has several: one endpoint may be
  /// in trouble of its own.
  std::optional<finding> Find(std::size_t endpoints) const;
  /// Answers of the new version that count.
  std::int64_t answers() const { return answers_; }

 private:
  /// Evidence since it was least: the product of likelihood ratios begins anew
  /// when it falls below 1.
  struct restarted_sum {
    std::int64_t sum = 0;
    std::int64_t least = 0;
    void Add(std::int64_t change);
    double Value() const;
  };
  struct endpoint_sums {
    restarted_sum failing;
    restarted_sum slow;
  };

  /// By route, and for all routes together.
  std::map<route_id, std::map<endpoint_id, endpoint_sums>> sums_;
  std::int64_t answers_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_VERSION_EVIDENCE_H_
