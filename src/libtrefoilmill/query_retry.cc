#include "query_retry.h"

#include <algorithm>

namespace trefoilmill {
namespace {

/// Bounds of the exponential retry delay. The limit on doublings also keeps the
/// shift in RetryDelay() in range.
constexpr duration kInitialRetryDelay = std::chrono::milliseconds(4);
constexpr duration kMaxRetryDelay = std::chrono::milliseconds(250);
constexpr int kMaxRetryDelayDoublings = 6;

/// How a retry draws on the retry budget.
enum class retry_cost {
  kFree,           ///< Takes no token.
  kChargedAlways,  ///< Takes a token, even if the balance becomes negative.
  kNeedsToken      ///< Permitted only if a token is left.
};

retry_cost CostOf(verdict outcome, reason_code reason) {
  switch (reason) {
    case reason_code::kNotOwner:
    case reason_code::kShuttingDown:
    case reason_code::kZoneOut:
    case reason_code::kDraining:
    case reason_code::kColdLimit:
    case reason_code::kCancelled:
      return retry_cost::kFree;
    case reason_code::kHostLost:
      return outcome == verdict::kNotRun ? retry_cost::kFree
                                         : retry_cost::kChargedAlways;
    case reason_code::kVersionGone:
      return retry_cost::kChargedAlways;
    default:
      return retry_cost::kNeedsToken;
  }
}

}  // namespace

bool MayRetry(verdict outcome, bool idempotent) {
  return outcome == verdict::kNotRun || idempotent;
}

bool GrantRetry(verdict outcome, reason_code reason, token_budget& budget) {
  switch (CostOf(outcome, reason)) {
    case retry_cost::kFree:
      return true;
    case retry_cost::kChargedAlways:
      budget.Charge(1);
      return true;
    case retry_cost::kNeedsToken:
      return budget.TrySpend();
  }
  return false;
}

duration RetryDelay(std::optional<duration> retry_after,
                    int attempts,
                    std::mt19937_64& random) {
  const int doublings = std::min(attempts, kMaxRetryDelayDoublings);
  const duration max_delay =
      std::min(kMaxRetryDelay, kInitialRetryDelay * (1 << doublings));
  std::uniform_int_distribution<duration::rep> jitter(max_delay.count() / 2,
                                                      max_delay.count());
  return std::max(retry_after.value_or(duration{0}), duration(jitter(random)));
}

}  // namespace trefoilmill
