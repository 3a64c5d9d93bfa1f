#include "trefoilmill/process/extra_send_budget.h"

#include <algorithm>
#include <chrono>

namespace trefoilmill {
namespace {

/// Fraction of the ratio that is credited to hosts. The rest covers requests
/// that fall into a different window than their extra sends.
constexpr double kRatioFraction = 0.92;
/// A host whose share of the slack is at most this many sends may save up all
/// of it; a larger share is split between the cap and the refill.
constexpr double kMaxUnsplitShare = 3;
/// Fraction of the slack that is distributed over the hosts.
constexpr double kSlackFraction = 0.85;
/// Cap of a standby host, and minimum cap of any host, in sends.
constexpr double kStandbyCap = 1;

}  // namespace

extra_send_budget::extra_send_budget(const extra_send_limit& limit,
                                     time_point started)
    : limit_(limit), started_(started) {}

double extra_send_budget::max_balance() const {
  const double share = SlackShare();
  return std::max({kStandbyCap, share / 2, std::min(share, kMaxUnsplitShare)});
}

double extra_send_budget::SlackShare() const {
  if (!hosts_.is_advertised) {
    return 0;
  }
  const double standby_sends =
      kStandbyCap * static_cast<double>(hosts_.standby);
  const auto advertised =
      static_cast<double>(std::max<std::size_t>(1, hosts_.advertised));
  return std::max(0.0, kSlackFraction * limit_.slack - standby_sends) /
         advertised;
}

extra_send_budget::token_bucket& extra_send_budget::RefilledBucket(
    time_point now,
    const service_id& service) {
  const auto [found, inserted] = buckets_.try_emplace(service);
  token_bucket& bucket = found->second;
  if (inserted) {
    bucket.refilled_at = std::min(started_, now);
  }
  const std::chrono::duration<double> elapsed = now - bucket.refilled_at;
  const std::chrono::duration<double> window = limit_.window;
  const double refill_per_window = std::max(0.0, SlackShare() - max_balance());
  bucket.refilled_at = now;
  bucket.tokens = std::min(
      max_balance(), bucket.tokens + refill_per_window * (elapsed / window));
  return bucket;
}

void extra_send_budget::OnFirstSend(time_point now, const service_id& service) {
  token_bucket& bucket = RefilledBucket(now, service);
  bucket.tokens =
      std::min(max_balance(), bucket.tokens + kRatioFraction * limit_.ratio);
}

bool extra_send_budget::TrySpend(time_point now,
                                 const service_id& service,
                                 double reserve) {
  token_bucket& bucket = RefilledBucket(now, service);
  if (bucket.tokens < 1 + reserve) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

bool extra_send_budget::TrySpendEach(time_point now,
                                     const std::vector<service_id>& services) {
  const bool enough =
      std::ranges::all_of(services, [&](const service_id& service) {
        return RefilledBucket(now, service).tokens >= 1;
      });
  if (!enough) {
    return false;
  }
  for (const service_id& service : services) {
    TrySpend(now, service);
  }
  return true;
}

}  // namespace trefoilmill
