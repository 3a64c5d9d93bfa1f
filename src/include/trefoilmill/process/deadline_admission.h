/// Admission of requests by the latency that they have to expect.
///
/// If most replicas of some shards are slow, the others get more sub-requests
/// than they can run, and queues grow until every answer is late: the work is
/// done, but for nobody. Requests are then refused before anything is sent, so
/// that those which are let in are answered within their objective.
///
/// Callers that were refused and came back are let in more readily, and their
/// requests may wait for the load to fall in place of a second refusal.
///
/// The latency of a request is that of the slowest shard it cannot do without.
/// The lower the coverage that its route accepts, the more slow shards may be
/// left out.
#ifndef TREFOILMILL_PROCESS_DEADLINE_ADMISSION_H_
#define TREFOILMILL_PROCESS_DEADLINE_ADMISSION_H_

#include <optional>
#include <random>
#include <vector>

#include "trefoilmill/time.h"
#include "trefoilmill/version/organisation.h"

namespace trefoilmill {

/// Decides at random, so that the fraction of requests let in changes steadily
/// with the load, and hosts do not all refuse at the same moment.
class deadline_admission {
 public:
  explicit deadline_admission(std::mt19937_64 random) : random_(random) {}

  /// What a request has to expect.
  struct prospect {
    /// Expected latency of each shard; nullopt if it has no usable endpoint.
    std::vector<std::optional<duration>> shard_latencies;
    /// Minimum fraction of shards that the answer must include, 0..1.
    double min_coverage = 1;
    /// Time until the answer misses the objective.
    duration time_left{};
    request_priority priority;
    /// The caller was refused before and came back.
    bool returned = false;
  };

  /// Returns nullopt to let the request in, else the time after which its
  /// caller may return.
  std::optional<duration> RetryAfterIfRefused(const prospect& expected);
  /// The same if this fraction of requests is let in.
  std::optional<duration> RetryAfterIfRefused(double admitted_fraction);

  /// Fraction of the requests with such a prospect that endpoints can run in
  /// time, whatever their priority; 1 if too few shards have a usable endpoint.
  static double RunnableFraction(const prospect& expected);

  /// Whether the expected latency leaves enough of the time for all requests to
  /// be let in.
  static bool IsSafe(const prospect& expected);

  /// The latency within which so many shards answer as the coverage requires;
  /// nullopt if too few have a usable endpoint.
  static std::optional<duration> LatencyForCoverage(const prospect& expected);

 private:
  std::mt19937_64 random_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_DEADLINE_ADMISSION_H_
