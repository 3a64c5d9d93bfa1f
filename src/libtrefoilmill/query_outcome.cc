#include "query_outcome.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace trefoilmill {
namespace {

/// Retry-after hint to the caller when a query is refused for overload.
constexpr duration kOverloadRetryAfter = std::chrono::milliseconds(50);

bool IsOverload(reason_code reason) {
  switch (reason) {
    case reason_code::kDeadlineExceeded:
    case reason_code::kDeadlineUnmeetable:
    case reason_code::kOverloaded:
    case reason_code::kShed:
    case reason_code::kColdLimit:
      return true;
    default:
      return false;
  }
}

/// Why the shard is missing. A shard still in progress missed the deadline.
reason_code MissingReason(const shard_progress& shard) {
  if (shard.phase == shard_phase::kMissing)
    return shard.reason;
  return reason_code::kDeadlineExceeded;
}

reason_code MostFrequentReason(const query_shards& shards) {
  std::map<reason_code, int> counts;
  for (const shard_progress& shard : shards.shards()) {
    if (shard.phase != shard_phase::kAnswered)
      ++counts[MissingReason(shard)];
  }
  const auto most_frequent = std::ranges::max_element(
      counts, {}, &std::pair<const reason_code, int>::second);
  return most_frequent == counts.end() ? reason_code::kNone
                                       : most_frequent->first;
}

/// Whether the shard has an attempt outstanding at an endpoint with queued
/// requests.
bool HasQueuedAttempt(time_point now,
                      const shard_progress& shard,
                      const query_shards& shards,
                      const endpoint_table& endpoints) {
  return std::ranges::any_of(shard.outstanding, [&](attempt_id id) {
    return endpoints.HasQueuedRequests(now, shards.FindAttempt(id)->endpoint);
  });
}

}  // namespace

verdict VerdictOf(const shard_progress& shard) {
  if (shard.outstanding.empty())
    return shard.outcome;
  return Combine(shard.outcome, verdict::kMayHaveRun);
}

verdict VerdictOf(const query_shards& shards) {
  verdict combined = verdict::kNotRun;
  for (const shard_progress& shard : shards.shards()) {
    combined = Combine(combined, VerdictOf(shard));
  }
  return combined;
}

query_answer MakeAnswer(const caller_query& query,
                        query_shards& shards,
                        verdict prior_verdict,
                        duration elapsed) {
  query_answer answer;
  answer.request = *query.request;
  answer.snapshot = shards.version();
  answer.total = shards.shards().size();
  answer.elapsed = elapsed;
  answer.results.reserve(shards.answered());
  for (shard_progress& shard : shards.shards()) {
    if (shard.phase == shard_phase::kAnswered) {
      answer.results.push_back({shard.ref, std::move(*shard.payload)});
    } else {
      answer.missing.push_back({shard.ref, MissingReason(shard),
                                Combine(VerdictOf(shard), prior_verdict)});
    }
  }
  return answer;
}

failure MakeRefusal(const caller_query& query,
                    const query_shards& shards,
                    verdict prior_verdict) {
  const std::size_t answered = shards.answered();
  const std::size_t total = shards.shards().size();
  failure error;
  error.outcome = Combine(VerdictOf(shards), prior_verdict);
  error.reason =
      answered == 0 ? MostFrequentReason(shards) : reason_code::kCoverageTooLow;
  error.detail = std::to_string(answered) + " of " + std::to_string(total) +
                 " shards answered; minimum coverage is " +
                 std::to_string(query.min_coverage);
  if (IsOverload(MostFrequentReason(shards)))
    error.retry_after = kOverloadRetryAfter;
  return error;
}

std::vector<service_id> FindOverloadedServices(
    time_point now,
    const query_shards& shards,
    const endpoint_table& endpoints) {
  std::vector<service_id> services;
  for (const shard_progress& shard : shards.shards()) {
    if (!services.empty() && services.back() == shard.ref.service)
      continue;
    const bool refused =
        shard.phase == shard_phase::kMissing && IsOverload(shard.reason);
    if (refused || HasQueuedAttempt(now, shard, shards, endpoints)) {
      services.push_back(shard.ref.service);
    }
  }
  return services;
}

}  // namespace trefoilmill
