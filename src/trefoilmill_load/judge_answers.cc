/// Judgements on answers: one snapshot, true coverage, the caller's own
/// request.
#include <algorithm>
#include <compare>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>

#include "judge.h"

namespace trefoilmill {
namespace {

using nlohmann::json;

/// What an endpoint truly finished.
struct finished_run {
  std::string body;
  shard_ref shard;
  snapshot_version version;
  endpoint_id endpoint;
  friend auto operator<=>(const finished_run&, const finished_run&) = default;
};

/// What a result's payload says of its origin.
struct origin {
  shard_ref shard;
  snapshot_version version;
  endpoint_id endpoint;
  /// Unset if the payload does not echo it.
  std::optional<std::string> body;
};

std::optional<origin> ParseOrigin(const std::string& payload) {
  const json parsed = json::parse(payload, nullptr, false);
  if (!parsed.is_object()) {
    return std::nullopt;
  }
  try {
    origin from;
    from.shard.service = service_id(parsed.at("service").get<std::string>());
    from.shard.shard = shard_id(parsed.at("shard").get<std::uint32_t>());
    from.version = snapshot_version(parsed.at("version").get<std::uint64_t>());
    from.endpoint = endpoint_id(parsed.at("endpoint").get<std::string>());
    if (parsed.contains("body")) {
      from.body = parsed.at("body").get<std::string>();
    }
    return from;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::set<finished_run> FinishedRuns(const run_observations& run) {
  std::set<finished_run> runs;
  for (const endpoint_record& record : run.records) {
    if (record.event == "run_end") {
      runs.insert({.body = record.body,
                   .shard = record.shard,
                   .version = record.version,
                   .endpoint = record.endpoint});
    }
  }
  return runs;
}

/// Counts the tries with an answer that `broken` finds fault with.
template <class predicate>
std::int64_t CountAnswers(const run_observations& run, predicate broken) {
  std::int64_t count = 0;
  for (const query_row& row : run.queries) {
    count += std::ranges::count_if(row.tries, [&](const query_try& sent) {
      return sent.answered.has_value() && broken(sent);
    });
  }
  return count;
}

bool HasOtherVersion(const answer& given) {
  return std::ranges::any_of(given.results, [&](const shard_result& result) {
    const auto from = ParseOrigin(result.payload);
    return from.has_value() && from->version != given.snapshot;
  });
}

/// Shards that the answer accounts for, each once; unset if one stands twice.
std::optional<std::set<shard_ref>> AccountedShards(const answer& given) {
  std::set<shard_ref> shards;
  bool once = true;
  for (const shard_result& result : given.results) {
    once = shards.insert(result.shard).second && once;
  }
  for (const shard_missing& missing : given.missing) {
    once = shards.insert(missing.shard).second && once;
  }
  return once ? std::optional(shards) : std::nullopt;
}

std::set<shard_ref> ExpectedShards(const run_observations& run,
                                   snapshot_version version) {
  std::set<shard_ref> expected;
  const auto layout = run.layouts.find(version);
  if (layout == run.layouts.end()) {
    return expected;
  }
  for (const auto& [shard, replicas] : layout->second) {
    if (run.services.empty() || run.services.contains(shard.service)) {
      expected.insert(shard);
    }
  }
  return expected;
}

bool CoverageIsFalse(const run_observations& run, const answer& given) {
  const auto shards = AccountedShards(given);
  const auto answered = static_cast<int>(given.results.size());
  const auto missing = static_cast<int>(given.missing.size());
  const bool consistent = shards.has_value() && given.answered == answered &&
                          given.total == answered + missing &&
                          given.whole == (missing == 0);
  if (!consistent) {
    return true;
  }
  return !run.layouts.empty() && *shards != ExpectedShards(run, given.snapshot);
}

bool IsForeign(const shard_result& result,
               const std::string& body,
               const std::set<finished_run>& runs) {
  const auto from = ParseOrigin(result.payload);
  if (!from.has_value() || from->shard != result.shard ||
      from->body.value_or(body) != body) {
    return true;
  }
  return !runs.empty() && !runs.contains({.body = body,
                                          .shard = from->shard,
                                          .version = from->version,
                                          .endpoint = from->endpoint});
}

}  // namespace

std::int64_t CountMixedSnapshots(const run_observations& run) {
  return CountAnswers(run, [](const query_try& sent) {
    return HasOtherVersion(*sent.answered);
  });
}

std::int64_t CountFalseCoverage(const run_observations& run) {
  return CountAnswers(run, [&](const query_try& sent) {
    return CoverageIsFalse(run, *sent.answered);
  });
}

std::int64_t CountWrongRequests(const run_observations& run) {
  const std::set<finished_run> runs = FinishedRuns(run);
  return CountAnswers(run, [&](const query_try& sent) {
    return sent.answered->request != sent.request ||
           std::ranges::any_of(sent.answered->results,
                               [&](const shard_result& result) {
                                 return IsForeign(result, sent.body, runs);
                               });
  });
}

}  // namespace trefoilmill
