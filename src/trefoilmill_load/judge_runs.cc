/// Judgements on what ran: true refusals, at most once, and the endpoints' own
/// bounds.
#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "judge.h"

namespace trefoilmill {
namespace {

std::int64_t CountEvents(const run_observations& run,
                         const std::string& event) {
  return std::ranges::count(run.records, event, &endpoint_record::event);
}

/// Bodies and shards that began to run.
using begun_runs = std::set<std::pair<std::string, shard_ref>>;

begun_runs BegunRuns(const run_observations& run) {
  begun_runs begun;
  for (const endpoint_record& record : run.records) {
    if (record.event == "run_begin") {
      begun.emplace(record.body, record.shard);
    }
  }
  return begun;
}

bool RanAnywhere(const begun_runs& begun, const std::string& body) {
  const auto first = begun.lower_bound({body, shard_ref{}});
  return first != begun.end() && first->first == body;
}

std::int64_t CountUntrue(const query_try& sent, const begun_runs& begun) {
  const bool nothing =
      sent.refused.has_value() && sent.refused->outcome == verdict::kNotRun;
  if (nothing) {
    return RanAnywhere(begun, sent.body) ? 1 : 0;
  }
  if (!sent.answered.has_value()) {
    return 0;
  }
  return std::ranges::count_if(
      sent.answered->missing, [&](const shard_missing& missing) {
        return missing.outcome == verdict::kNotRun &&
               begun.contains({sent.body, missing.shard});
      });
}

}  // namespace

std::int64_t CountUntrueNotRun(const run_observations& run) {
  const begun_runs begun = BegunRuns(run);
  std::int64_t count = 0;
  for (const query_row& row : run.queries) {
    for (const query_try& sent : row.tries) {
      count += CountUntrue(sent, begun);
    }
  }
  return count;
}

std::int64_t CountSecondRuns(const run_observations& run) {
  std::map<std::string, std::uint64_t> query_of_body;
  for (const query_row& row : run.queries) {
    if (row.idempotent) {
      continue;
    }
    for (const query_try& sent : row.tries) {
      query_of_body[sent.body] = row.number;
    }
  }
  std::map<std::pair<std::uint64_t, shard_ref>, std::int64_t> runs;
  for (const endpoint_record& record : run.records) {
    const auto query = query_of_body.find(record.body);
    if (record.event == "run_begin" && query != query_of_body.end()) {
      ++runs[{query->second, record.shard}];
    }
  }
  std::int64_t count = 0;
  for (const auto& [shard, times] : runs) {
    count += times - 1;
  }
  return count;
}

std::int64_t CountColdOverloads(const run_observations& run) {
  return CountEvents(run, "cold_overload");
}

std::int64_t CountConnectionOverruns(const run_observations& run) {
  return CountEvents(run, "connection_overrun");
}

}  // namespace trefoilmill
