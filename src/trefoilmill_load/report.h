/// Writes what a run gave: one JSON object, and files for plots.
#ifndef TREFOILMILL_LOAD_REPORT_H_
#define TREFOILMILL_LOAD_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "figures.h"
#include "judge.h"
#include "load_config.h"
#include "observations.h"

namespace trefoilmill {

/// Fields that were not measured are null.
nlohmann::json MakeSummary(const load_config& config,
                           const run_figures& figures,
                           const violation_counts& violations,
                           int failed_calls);

/// Whether every judged count is 0.
bool IsClean(const violation_counts& violations);

/// Writes queries.jsonl, endpoint_records.jsonl, marks.jsonl and summary.json
/// into `directory`, which must exist.
void WriteFiles(const std::string& directory,
                const run_observations& run,
                wall_us started,
                const nlohmann::json& summary);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LOAD_REPORT_H_
