#include "report.h"

#include <algorithm>
#include <array>
#include <fstream>

namespace trefoilmill {
namespace {

using nlohmann::json;

template <class value>
json OrNull(const std::optional<value>& figure) {
  return figure.has_value() ? json(*figure) : json();
}

const char* NameOf(try_end end) {
  switch (end) {
    case try_end::kAnswered:
      return "answered";
    case try_end::kRefused:
      return "refused";
    case try_end::kNoConnection:
      return "no_connection";
    case try_end::kReset:
      return "reset";
    case try_end::kTimeout:
      return "timeout";
    case try_end::kMalformed:
      return "malformed";
  }
  return "unknown";
}

const char* NameOf(mark_kind kind) {
  switch (kind) {
    case mark_kind::kZoneOut:
      return "zone_out";
    case mark_kind::kZoneBack:
      return "zone_back";
    case mark_kind::kEndpointDraining:
      return "endpoint_draining";
    case mark_kind::kEndpointBack:
      return "endpoint_back";
    case mark_kind::kPlannedStop:
      return "planned_stop";
  }
  return "unknown";
}

json ViolationsJson(const violation_counts& counts) {
  return {{"mixed_snapshot", OrNull(counts.mixed_snapshot)},
          {"false_coverage", OrNull(counts.false_coverage)},
          {"wrong_request", OrNull(counts.wrong_request)},
          {"untrue_not_run", OrNull(counts.untrue_not_run)},
          {"second_run", OrNull(counts.second_run)},
          {"cold_overload", OrNull(counts.cold_overload)},
          {"connection_overrun", OrNull(counts.connection_overrun)},
          {"late_zone_work", OrNull(counts.late_zone_work)},
          {"late_leaving_work", OrNull(counts.late_leaving_work)},
          {"cut_request", OrNull(counts.cut_request)},
          {"config_reverted", OrNull(counts.config_reverted)}};
}

double SecondsSince(wall_us started, wall_us at) {
  const auto span =
      static_cast<std::int64_t>(at) - static_cast<std::int64_t>(started);
  return static_cast<double>(span) / kMicrosPerSecond;
}

/// "service/shard reason" of each missing shard.
json MissingJson(const answer& given) {
  json missing = json::array();
  for (const shard_missing& shard : given.missing) {
    missing.push_back(shard.shard.service.value() + "/" +
                      std::to_string(shard.shard.shard.value()) + " " +
                      shard.reason);
  }
  return missing;
}

json RowJson(const query_row& row, wall_us started) {
  json line{{"number", row.number},
            {"at_s", SecondsSince(started, row.intended)},
            {"latency_ms", LatencyMs(row)},
            {"idempotent", row.idempotent},
            {"tries", row.tries.size()}};
  if (row.tries.empty()) {
    line["end"] = "no_entries";
    return line;
  }
  const query_try& last = row.tries.back();
  line["end"] = NameOf(last.end);
  line["host"] = last.host.ip + ":" + std::to_string(last.host.port);
  line["body"] = last.body;
  if (last.answered.has_value()) {
    line["snapshot"] = last.answered->snapshot.value();
    line["answered"] = last.answered->answered;
    line["total"] = last.answered->total;
    line["missing"] = MissingJson(*last.answered);
  }
  if (last.refused.has_value()) {
    line["verdict"] = ToString(last.refused->outcome);
    line["reason"] = ToString(last.refused->reason);
  }
  return line;
}

json RecordJson(const endpoint_record& record, wall_us started) {
  return {{"at_s", SecondsSince(started, record.at)},
          {"endpoint", record.endpoint.value()},
          {"instance", record.instance.value()},
          {"zone", record.zone.value()},
          {"event", record.event},
          {"attempt", record.attempt},
          {"body", record.body}};
}

json MarkJson(const mark& declared, wall_us started) {
  json line{{"at_s", SecondsSince(started, declared.at)},
            {"kind", NameOf(declared.kind)}};
  if (declared.zone.has_value()) {
    line["zone"] = declared.zone->value();
  }
  if (declared.endpoint.has_value()) {
    line["endpoint"] = declared.endpoint->value();
  }
  if (declared.host.has_value()) {
    line["host"] = declared.host->ip;
  }
  return line;
}

}  // namespace

json MakeSummary(const load_config& config,
                 const run_figures& figures,
                 const violation_counts& violations,
                 int failed_calls) {
  const double seconds = std::chrono::duration<double>(config.length).count();
  return {{"seed", config.seed},
          {"seconds", seconds},
          {"queries", figures.queries},
          {"answered", figures.answered},
          {"refused", figures.refused},
          {"failed", figures.failed},
          {"coverage_mean", OrNull(figures.coverage_mean)},
          {"coverage_whole_share", OrNull(figures.coverage_whole_share)},
          {"p50_ms", OrNull(figures.p50_ms)},
          {"p99_ms", OrNull(figures.p99_ms)},
          {"p999_ms", OrNull(figures.p999_ms)},
          {"p99_before_ms", OrNull(figures.p99_before_ms)},
          {"p99_change_ms", OrNull(figures.p99_change_ms)},
          {"floor_p99_ms", OrNull(figures.floor_p99_ms)},
          {"extra_load_ratio", OrNull(figures.extra_load_ratio)},
          {"config_in_force_s", OrNull(figures.config_in_force_s)},
          {"violations", ViolationsJson(violations)},
          {"failed_calls", failed_calls}};
}

bool IsClean(const violation_counts& counts) {
  const std::array all{counts.mixed_snapshot,     counts.false_coverage,
                       counts.wrong_request,      counts.untrue_not_run,
                       counts.second_run,         counts.cold_overload,
                       counts.connection_overrun, counts.late_zone_work,
                       counts.late_leaving_work,  counts.cut_request,
                       counts.config_reverted};
  return std::ranges::all_of(
      all, [](const auto& count) { return count.value_or(0) == 0; });
}

void WriteFiles(const std::string& directory,
                const run_observations& run,
                wall_us started,
                const json& summary) {
  const auto write = [&](const char* name, const auto& items, auto to_json) {
    std::ofstream file(directory + "/" + name);
    std::ranges::for_each(items, [&](const auto& item) {
      file << to_json(item, started) << '\n';
    });
  };
  write("queries.jsonl", run.queries, RowJson);
  write("endpoint_records.jsonl", run.records, RecordJson);
  write("marks.jsonl", run.marks, MarkJson);
  std::ofstream(directory + "/summary.json") << summary.dump(2) << '\n';
}

}  // namespace trefoilmill
