/// What one request has done so far.
#ifndef TREFOILMILL_REQUEST_REQUEST_SUMMARY_H_
#define TREFOILMILL_REQUEST_REQUEST_SUMMARY_H_

#include <cstddef>

#include "trefoilmill/request/request_caution.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// Counters for logs and metrics.
struct request_summary {
  std::size_t shards = 0;
  /// Shards with a good reply.
  std::size_t answered = 0;
  /// Shards for which no endpoint was usable.
  std::size_t without_endpoint = 0;
  /// All sends, including hedges and retries.
  std::size_t sends = 0;
  std::size_t hedges = 0;
  std::size_t retries = 0;
  /// Hedges and retries that the extra-send budget did not allow.
  std::size_t budget_refusals = 0;
  /// What other hosts were told of it, as it got no reply.
  silence_warning warned = silence_warning::kNone;
  /// Why an attempt or a shard last failed.
  reason_code last_failure = reason_code::kNone;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_REQUEST_REQUEST_SUMMARY_H_
