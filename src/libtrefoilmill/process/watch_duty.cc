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

watch_duty::watch_duty(host_id self,
                       const config& settings,
                       time_point now,
                       std::mt19937_64 random)
    : self_(std::move(self)), config_(settings), last_feed_(now) {
  std::uniform_int_distribution<duration::rep> drawn(
      config_.least_patience.count(), config_.most_patience.count());
  patience_ = duration(drawn(random));
}

void watch_duty::SetZoneHosts(const std::vector<host_id>& hosts) {
  const std::uint64_t own = RankOf(self_);
  const auto before = std::ranges::count_if(hosts, [&](const host_id& other) {
    return other != self_ && RankOf(other) > own;
  });
  chosen_ = static_cast<std::size_t>(before) < config_.watchers;
}

void watch_duty::OnFreshFeed(time_point now) {
  last_feed_ = now;
}

bool watch_duty::MustWatch(time_point now) const {
  return chosen_ || now - last_feed_ > patience_;
}

}  // namespace trefoilmill
