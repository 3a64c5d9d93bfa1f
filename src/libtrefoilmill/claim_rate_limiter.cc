#include <algorithm>

#include "trefoilmill/idempotency_claim.h"

namespace trefoilmill {

claim_rate_limiter::claim_rate_limiter(time_point now, int claims_per_second)
    : claims_per_second_(claims_per_second),
      tokens_(claims_per_second),
      last_refill_(now) {}

std::optional<duration> claim_rate_limiter::TryAcquire(time_point now) {
  const std::chrono::duration<double> elapsed = now - last_refill_;
  last_refill_ = now;
  tokens_ = std::min(claims_per_second_,
                     tokens_ + elapsed.count() * claims_per_second_);
  if (tokens_ >= 1) {
    tokens_ -= 1;
    return std::nullopt;
  }
  if (claims_per_second_ <= 0) {
    return std::chrono::seconds(1);
  }
  const std::chrono::duration<double> wait((1 - tokens_) / claims_per_second_);
  return std::chrono::ceil<duration>(wait);
}

}  // namespace trefoilmill
