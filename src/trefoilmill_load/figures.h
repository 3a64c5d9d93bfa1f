/// The figures of a run: latency, coverage, extra load, the clairvoyant
/// floor.
#ifndef TREFOILMILL_LOAD_FIGURES_H_
#define TREFOILMILL_LOAD_FIGURES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "observations.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// A figure that the run does not give is unset.
struct run_figures {
  std::int64_t queries = 0;
  std::int64_t answered = 0;
  std::int64_t refused = 0;
  std::int64_t failed = 0;
  /// Over answers.
  std::optional<double> coverage_mean;
  std::optional<double> coverage_whole_share;
  /// Over answers, from the intended time.
  std::optional<double> p50_ms;
  std::optional<double> p99_ms;
  std::optional<double> p999_ms;
  /// p99 over queries before the first event, and from it until 5 s after the
  /// last one.
  std::optional<double> p99_before_ms;
  std::optional<double> p99_change_ms;
  std::optional<double> floor_p99_ms;
  /// Arrivals at endpoints beyond the first of each query's shard, as a
  /// share of the first ones.
  std::optional<double> extra_load_ratio;
  /// From acceptance until every watched host has it in force; the longest.
  std::optional<double> config_in_force_s;
};

/// The value below which the share `quantile` of them lies; unset if none.
std::optional<double> Quantile(std::vector<double> values, double quantile);

/// `counted_from`: queries intended earlier are left out.
run_figures Measure(const run_observations& run,
                    wall_us counted_from,
                    duration client_latency);

/// The latency that a query could have had at best: its slowest shard on that
/// shard's fastest replica, by the service time nearest in time at each
/// replica, plus the network to the caller. Unset if a shard has no sample.
std::vector<double> FloorMs(const run_observations& run,
                            wall_us counted_from,
                            duration client_latency);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LOAD_FIGURES_H_
