#include "trefoilmill/process/watch_duty.h"

#include <algorithm>
#include <utility>

#include "../rendezvous.h"

namespace trefoilmill {
namespace {

/// What the hosts of a zone are ranked for.
constexpr std::string_view kDuty = "watch the store";

std::uint64_t RankOf(const host_id& host) {
  return RendezvousScore(HashName(kDuty), HashName(host.value()));
}

}  // namespace

watch_duty::watch_duty(host_id self, const config& settings, time_point now)
    : self_(std::move(self)),
      config_(settings),
      patience_(settings.patience),
      last_feed_(now) {}

void watch_duty::SetZoneHosts(const std::vector<host_id>& hosts) {
  const std::uint64_t own = RankOf(self_);
  const auto before = std::ranges::count_if(hosts, [&](const host_id& other) {
    return other != self_ && RankOf(other) > own;
  });
  const auto rank = static_cast<std::size_t>(before);
  chosen_ = rank < config_.watchers;
  const auto behind =
      static_cast<duration::rep>(chosen_ ? 0 : rank - config_.watchers);
  patience_ = std::min(config_.most_patience,
                       config_.patience + config_.patience_step * behind);
}

void watch_duty::OnFreshFeed(time_point now) {
  last_feed_ = now;
}

bool watch_duty::MustWatch(time_point now) const {
  return chosen_ || now - last_feed_ > patience_;
}

}  // namespace trefoilmill
