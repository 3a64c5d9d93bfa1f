/// Judgements on what operators declared: zones, draining endpoints, planned
/// stops and configuration.
#include <algorithm>
#include <map>

#include "judge.h"

namespace trefoilmill {
namespace {

/// How long after its notice a stopping host may still serve: the longest
/// time to live of an entry list, the longest deadline, and some slack.
constexpr wall_us kPlannedStopSpan = 30 * kMicrosPerSecond;

bool Concerns(const mark& declared, const endpoint_record& record) {
  const bool zone = !declared.zone.has_value() || *declared.zone == record.zone;
  const bool endpoint =
      !declared.endpoint.has_value() || *declared.endpoint == record.endpoint;
  return zone && endpoint;
}

/// Whether the last mark on this record's endpoint that is old enough, is of
/// kind `out`.
bool MustHaveStopped(const run_observations& run,
                     const endpoint_record& record,
                     mark_kind out,
                     mark_kind back) {
  std::optional<wall_us> out_since;
  for (const mark& declared : run.marks) {
    if (declared.at > record.at || !Concerns(declared, record)) {
      continue;
    }
    if (declared.kind == out && !out_since.has_value()) {
      out_since = declared.at;
    } else if (declared.kind == back) {
      out_since.reset();
    }
  }
  return out_since.has_value() && record.at > *out_since + kStopWithin;
}

std::int64_t CountLateWork(const run_observations& run,
                           mark_kind out,
                           mark_kind back) {
  return std::ranges::count_if(run.records, [&](const endpoint_record& record) {
    return record.event == "arrived" && MustHaveStopped(run, record, out, back);
  });
}

bool StopsByPlan(const run_observations& run, const query_try& sent) {
  return std::ranges::any_of(run.marks, [&](const mark& declared) {
    return declared.kind == mark_kind::kPlannedStop &&
           declared.host == sent.host && sent.ended >= declared.at &&
           sent.sent <= declared.at + kPlannedStopSpan;
  });
}

bool BrokeOff(const query_try& sent) {
  return sent.end == try_end::kReset || sent.end == try_end::kTimeout ||
         sent.end == try_end::kMalformed;
}

}  // namespace

std::int64_t CountLateZoneWork(const run_observations& run) {
  return CountLateWork(run, mark_kind::kZoneOut, mark_kind::kZoneBack);
}

std::int64_t CountLateLeavingWork(const run_observations& run) {
  return CountLateWork(run, mark_kind::kEndpointDraining,
                       mark_kind::kEndpointBack);
}

std::int64_t CountCutRequests(const run_observations& run) {
  std::int64_t count = 0;
  for (const query_row& row : run.queries) {
    count += std::ranges::count_if(row.tries, [&](const query_try& sent) {
      return BrokeOff(sent) && StopsByPlan(run, sent);
    });
  }
  return count;
}

std::int64_t CountRevertedConfig(const run_observations& run) {
  std::map<socket_address, std::uint64_t> highest;
  std::int64_t count = 0;
  for (const config_observation& seen : run.config) {
    std::uint64_t& before = highest[seen.host];
    count += seen.revision < before ? 1 : 0;
    before = std::max(before, seen.revision);
  }
  return count;
}

}  // namespace trefoilmill
