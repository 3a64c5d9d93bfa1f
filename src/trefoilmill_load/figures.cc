#include "figures.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace trefoilmill {
namespace {

/// How long after the last event a change is taken to last.
constexpr wall_us kChangeTail = 5 * kMicrosPerSecond;

bool IsAnswered(const query_row& row) {
  return !row.tries.empty() && row.tries.back().end == try_end::kAnswered;
}

bool IsRefused(const query_row& row) {
  return !row.tries.empty() && row.tries.back().end == try_end::kRefused;
}

std::vector<const query_row*> Counted(const run_observations& run,
                                      wall_us from) {
  std::vector<const query_row*> rows;
  for (const query_row& row : run.queries) {
    if (row.intended >= from) {
      rows.push_back(&row);
    }
  }
  return rows;
}

std::vector<double> Latencies(const std::vector<const query_row*>& rows,
                              wall_us from,
                              wall_us to) {
  std::vector<double> values;
  for (const query_row* row : rows) {
    if (IsAnswered(*row) && row->intended >= from && row->intended < to) {
      values.push_back(LatencyMs(*row));
    }
  }
  return values;
}

void MeasureCoverage(const std::vector<const query_row*>& rows,
                     run_figures& figures) {
  double sum = 0;
  double whole = 0;
  for (const query_row* row : rows) {
    if (!IsAnswered(*row)) {
      continue;
    }
    const answer& given = *row->tries.back().answered;
    sum += given.total == 0 ? 1.0
                            : static_cast<double>(given.answered) / given.total;
    whole += given.answered == given.total ? 1 : 0;
  }
  if (figures.answered > 0) {
    const auto count = static_cast<double>(figures.answered);
    figures.coverage_mean = sum / count;
    figures.coverage_whole_share = whole / count;
  }
}

void MeasureChange(const run_observations& run,
                   const std::vector<const query_row*>& rows,
                   run_figures& figures) {
  if (run.marks.empty()) {
    return;
  }
  const auto [first, last] =
      std::ranges::minmax_element(run.marks, {}, &mark::at);
  figures.p99_before_ms = Quantile(Latencies(rows, 0, first->at), 0.99);
  figures.p99_change_ms =
      Quantile(Latencies(rows, first->at, last->at + kChangeTail), 0.99);
}

std::optional<double> ExtraLoad(const run_observations& run) {
  std::unordered_map<std::string, std::uint64_t> query_of_body;
  for (const query_row& row : run.queries) {
    for (const query_try& sent : row.tries) {
      query_of_body[sent.body] = row.number;
    }
  }
  std::set<std::pair<std::uint64_t, shard_ref>> first;
  std::int64_t arrived = 0;
  for (const endpoint_record& record : run.records) {
    const auto query = query_of_body.find(record.body);
    if (record.event == "arrived" && query != query_of_body.end()) {
      first.emplace(query->second, record.shard);
      ++arrived;
    }
  }
  if (first.empty()) {
    return std::nullopt;
  }
  const auto firsts = static_cast<double>(first.size());
  return (static_cast<double>(arrived) - firsts) / firsts;
}

/// When each host first had at least `revision`; the latest of them.
std::optional<double> InForceSeconds(const run_observations& run,
                                     const config_acceptance& accepted) {
  std::map<socket_address, std::optional<wall_us>> since;
  for (const config_observation& seen : run.config) {
    std::optional<wall_us>& first = since[seen.host];
    if (!first.has_value() && seen.revision >= accepted.revision) {
      first = seen.at;
    }
  }
  double longest = 0;
  for (const auto& [host, first] : since) {
    if (!first.has_value()) {
      return std::nullopt;
    }
    const wall_us wait = *first > accepted.at ? *first - accepted.at : 0;
    longest = std::max(longest, static_cast<double>(wait) / kMicrosPerSecond);
  }
  return longest;
}

/// Service times of one endpoint, by the time at which they began.
using service_times = std::map<wall_us, double>;

std::map<endpoint_id, service_times> ServiceTimes(const run_observations& run) {
  std::unordered_map<std::string, wall_us> begun;
  std::map<endpoint_id, service_times> times;
  for (const endpoint_record& record : run.records) {
    if (record.event == "run_begin") {
      begun[record.attempt] = record.at;
    } else if (record.event == "run_end") {
      const auto from = begun.find(record.attempt);
      if (from != begun.end()) {
        times[record.endpoint][from->second] =
            static_cast<double>(record.at - from->second) / kMicrosPerMilli;
      }
    }
  }
  return times;
}

/// The service time whose beginning is nearest to `at`.
double Nearest(const service_times& times, wall_us at) {
  const auto after = times.lower_bound(at);
  if (after == times.end()) {
    return std::prev(after)->second;
  }
  if (after == times.begin()) {
    return after->second;
  }
  const auto before = std::prev(after);
  const bool later = after->first - at < at - before->first;
  return later ? after->second : before->second;
}

std::optional<double> FastestReplica(
    const std::vector<endpoint_id>& replicas,
    const std::map<endpoint_id, service_times>& times,
    wall_us at) {
  std::optional<double> fastest;
  for (const endpoint_id& replica : replicas) {
    const auto found = times.find(replica);
    if (found != times.end()) {
      const double time = Nearest(found->second, at);
      fastest = std::min(fastest.value_or(time), time);
    }
  }
  return fastest;
}

}  // namespace

std::optional<double> Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return std::nullopt;
  }
  const auto rank = static_cast<std::size_t>(
      std::ceil(quantile * static_cast<double>(values.size())));
  const std::size_t index =
      std::min(values.size(), std::max<std::size_t>(rank, 1)) - 1;
  std::ranges::nth_element(values,
                           values.begin() + static_cast<std::ptrdiff_t>(index));
  return values[index];
}

run_figures Measure(const run_observations& run,
                    wall_us counted_from,
                    duration client_latency) {
  const auto rows = Counted(run, counted_from);
  const auto count = [&](bool (*kind)(const query_row&)) {
    return std::ranges::count_if(
        rows, [&](const query_row* row) { return kind(*row); });
  };
  run_figures figures;
  figures.queries = static_cast<std::int64_t>(rows.size());
  figures.answered = count(IsAnswered);
  figures.refused = count(IsRefused);
  figures.failed = figures.queries - figures.answered - figures.refused;
  MeasureCoverage(rows, figures);
  const auto latencies = Latencies(rows, 0, UINT64_MAX);
  figures.p50_ms = Quantile(latencies, 0.5);
  figures.p99_ms = Quantile(latencies, 0.99);
  figures.p999_ms = Quantile(latencies, 0.999);
  MeasureChange(run, rows, figures);
  figures.floor_p99_ms =
      Quantile(FloorMs(run, counted_from, client_latency), 0.99);
  figures.extra_load_ratio = ExtraLoad(run);
  for (const config_acceptance& accepted : run.accepted) {
    const auto seconds = InForceSeconds(run, accepted);
    if (!seconds.has_value()) {
      figures.config_in_force_s.reset();
      break;
    }
    figures.config_in_force_s =
        std::max(figures.config_in_force_s.value_or(0), *seconds);
  }
  return figures;
}

std::vector<double> FloorMs(const run_observations& run,
                            wall_us counted_from,
                            duration client_latency) {
  const auto times = ServiceTimes(run);
  std::vector<double> floors;
  for (const query_row* row : Counted(run, counted_from)) {
    if (!IsAnswered(*row)) {
      continue;
    }
    const answer& given = *row->tries.back().answered;
    const auto layout = run.layouts.find(given.snapshot);
    if (layout == run.layouts.end()) {
      continue;
    }
    double slowest = 0;
    for (const auto& [shard, replicas] : layout->second) {
      if (!run.services.empty() && !run.services.contains(shard.service)) {
        continue;
      }
      slowest = std::max(
          slowest, FastestReplica(replicas, times, row->intended).value_or(0));
    }
    floors.push_back(slowest + 2 * ToMilliseconds(client_latency));
  }
  return floors;
}

}  // namespace trefoilmill
