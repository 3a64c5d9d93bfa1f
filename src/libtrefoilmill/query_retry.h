/// Retry policy for the sub-request of a shard: whether a retry is safe,
/// whether the retry budget permits it, and how long to wait.
#ifndef TREFOILMILL_QUERY_RETRY_H_
#define TREFOILMILL_QUERY_RETRY_H_

#include <optional>
#include <random>

#include "trefoilmill/time.h"
#include "trefoilmill/token_budget.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// Maximum attempts for one shard under one plan, including hedges.
inline constexpr int kMaxAttemptsPerShard = 24;

/// Whether a shard whose attempts ended with `outcome` may be retried: always
/// if it certainly did not run, otherwise only if the query is idempotent.
bool MayRetry(verdict outcome, bool idempotent);

/// Whether `budget` permits a retry after an attempt that ended with `outcome`
/// and `reason`; takes its tokens if so. Retries are free after refusals that
/// never reached the endpoint. If a host was lost that may have run the
/// request, or the replica no longer has the index version, they are granted
/// even without a token, but charged: a lost host is no sign of overload. All
/// others need a token.
bool GrantRetry(verdict outcome, reason_code reason, token_budget& budget);

/// How long to wait after every replica was tried: an exponential delay with
/// jitter, but at least `retry_after`, the delay that the receiver requested.
/// `attempts` is the number of attempts already sent for the shard.
duration RetryDelay(std::optional<duration> retry_after,
                    int attempts,
                    std::mt19937_64& random);

}  // namespace trefoilmill

#endif  // TREFOILMILL_QUERY_RETRY_H_
