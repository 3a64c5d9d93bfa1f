#include "trefoilmill/process/extra_send_budget.h"

#include <algorithm>
#include <chrono>

namespace trefoilmill {
namespace {

/// Part of the ratio that is handed out; the rest covers requests that are
/// counted in another window than their extra sends.
constexpr double kRatioShare = 0.92;
/// A host's share of the slack up to which it may save up all of it.
constexpr double kUndividedShare = 3;
/// Part of the slack that is handed out.
constexpr double kSlackShare = 0.85;
/// What a host that stands by may have saved up.
constexpr double kStandbySends = 1;

}  // namespace

extra_send_budget::extra_send_budget(const extra_send_bound& bound)
    : bound_(bound) {}

double extra_send_budget::cap() const {
  const double share = SlackShare();
  return std::max({kStandbySends, share / 2, std::min(share, kUndividedShare)});
}

double extra_send_budget::SlackShare() const {
  if (!hosts_.is_named) {
    return 0;
  }
  const double kept = kStandbySends * static_cast<double>(hosts_.standing_by);
  const auto named =
      static_cast<double>(std::max<std::size_t>(1, hosts_.named));
  return std::max(0.0, kSlackShare * bound_.slack - kept) / named;
}

extra_send_budget::account& extra_send_budget::Refilled(
    time_point now,
    const service_id& service) {
  const auto [found, fresh] = accounts_.try_emplace(service);
  account& held = found->second;
  if (fresh) {
    held.refilled = now;
  }
  const std::chrono::duration<double> passed = now - held.refilled;
  const std::chrono::duration<double> window = bound_.window;
  const double per_window = std::max(0.0, SlackShare() - cap());
  held.refilled = now;
  held.balance = std::min(cap(), held.balance + per_window * (passed / window));
  return held;
}

void extra_send_budget::OnFirstSend(time_point now, const service_id& service) {
  account& held = Refilled(now, service);
  held.balance = std::min(cap(), held.balance + kRatioShare * bound_.ratio);
}

bool extra_send_budget::TrySpend(time_point now,
                                 const service_id& service,
                                 double reserve) {
  account& held = Refilled(now, service);
  if (held.balance < 1 + reserve) {
    return false;
  }
  held.balance -= 1;
  return true;
}

}  // namespace trefoilmill
