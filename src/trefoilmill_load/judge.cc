#include "judge.h"

#include <algorithm>

namespace trefoilmill {
namespace {

bool HasMark(const run_observations& run, mark_kind kind) {
  return std::ranges::find(run.marks, kind, &mark::kind) != run.marks.end();
}

/// The count, or nothing if the run had no occasion for it.
std::optional<std::int64_t> If(bool occasion, std::int64_t count) {
  return occasion ? std::optional(count) : std::nullopt;
}

}  // namespace

violation_counts Judge(const run_observations& run) {
  const bool queries = !run.queries.empty();
  const bool records = !run.records.empty();
  const bool non_idempotent =
      std::ranges::find(run.queries, false, &query_row::idempotent) !=
      run.queries.end();
  violation_counts counts;
  counts.mixed_snapshot = If(queries, CountMixedSnapshots(run));
  counts.false_coverage = If(queries, CountFalseCoverage(run));
  counts.wrong_request = If(queries, CountWrongRequests(run));
  counts.untrue_not_run = If(queries && records, CountUntrueNotRun(run));
  counts.second_run = If(non_idempotent && records, CountSecondRuns(run));
  counts.cold_overload = If(records, CountColdOverloads(run));
  counts.connection_overrun = If(records, CountConnectionOverruns(run));
  counts.late_zone_work =
      If(records && HasMark(run, mark_kind::kZoneOut), CountLateZoneWork(run));
  counts.late_leaving_work =
      If(records && HasMark(run, mark_kind::kEndpointDraining),
         CountLateLeavingWork(run));
  counts.cut_request =
      If(HasMark(run, mark_kind::kPlannedStop), CountCutRequests(run));
  counts.config_reverted = If(!run.config.empty(), CountRevertedConfig(run));
  return counts;
}

}  // namespace trefoilmill
