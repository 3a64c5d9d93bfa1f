/// Counts every broken promise in what a run observed. Trusts the stand-ins'
/// records, never what a daemon claims of itself.
#ifndef TREFOILMILL_LOAD_JUDGE_H_
#define TREFOILMILL_LOAD_JUDGE_H_

#include <cstdint>
#include <optional>

#include "observations.h"

namespace trefoilmill {

/// Each count is unset if the run could not have shown one.
struct violation_counts {
  std::optional<std::int64_t> mixed_snapshot;
  std::optional<std::int64_t> false_coverage;
  std::optional<std::int64_t> wrong_request;
  std::optional<std::int64_t> untrue_not_run;
  std::optional<std::int64_t> second_run;
  std::optional<std::int64_t> cold_overload;
  std::optional<std::int64_t> connection_overrun;
  std::optional<std::int64_t> late_zone_work;
  std::optional<std::int64_t> late_leaving_work;
  std::optional<std::int64_t> cut_request;
  std::optional<std::int64_t> config_reverted;
};

/// New work must have ended this long after a zone or an endpoint was taken
/// out.
constexpr wall_us kStopWithin = 5 * kMicrosPerSecond;

violation_counts Judge(const run_observations& run);

/// @name The single judgements
/// @{

/// Answers with a result of another version than the answer names.
std::int64_t CountMixedSnapshots(const run_observations& run);
/// Answers whose coverage does not follow from their own results, from the
/// layout, or from what the endpoints ran.
std::int64_t CountFalseCoverage(const run_observations& run);
/// Answers to another request than the one asked, or with a result that
/// no endpoint made for it.
std::int64_t CountWrongRequests(const run_observations& run);
/// Shards that were said not to have run, and did.
std::int64_t CountUntrueNotRun(const run_observations& run);
/// Runs of a non-idempotent shard beyond its first, over all tries.
std::int64_t CountSecondRuns(const run_observations& run);
std::int64_t CountColdOverloads(const run_observations& run);
std::int64_t CountConnectionOverruns(const run_observations& run);
/// Requests that arrived at endpoints of a zone kStopWithin after it was out.
std::int64_t CountLateZoneWork(const run_observations& run);
/// The same for endpoints that were told to drain.
std::int64_t CountLateLeavingWork(const run_observations& run);
/// Tries that broke off at a host while it stopped by plan.
std::int64_t CountCutRequests(const run_observations& run);
/// Observations of a lower revision than the same host had before.
std::int64_t CountRevertedConfig(const run_observations& run);
/// @}

}  // namespace trefoilmill

#endif  // TREFOILMILL_LOAD_JUDGE_H_
