#include "trefoilmill/process/store_watcher_role.h"

#include <algorithm>
#include <utility>

#include "../rendezvous.h"

namespace trefoilmill {
namespace {

/// Key of the rendezvous hashing. Must be equal on all hosts.
constexpr std::string_view kRankingKey = "watch the store";

std::uint64_t ScoreOf(const host_id& host) {
  return RendezvousScore(HashName(kRankingKey), HashName(host.value()));
}

}  // namespace

store_watcher_role::store_watcher_role(host_id self,
                                       const config& settings,
                                       time_point now)
    : self_(std::move(self)),
      config_(settings),
      takeover_delay_(settings.takeover_delay),
      last_feed_(now) {}

void store_watcher_role::SetZoneHosts(const std::vector<host_id>& hosts,
                                      std::size_t zones) {
  const std::size_t zone_count = std::max<std::size_t>(zones, 1);
  const std::size_t watchers =
      std::min(config_.max_watchers_per_zone,
               (config_.min_watchers + zone_count - 1) / zone_count);
  const std::uint64_t own_score = ScoreOf(self_);
  const auto preceding =
      std::ranges::count_if(hosts, [&](const host_id& other) {
        return other != self_ && ScoreOf(other) > own_score;
      });
  const auto rank = static_cast<std::size_t>(preceding);
  is_designated_ = rank < watchers;
  const auto takeover_position =
      static_cast<duration::rep>(is_designated_ ? 0 : rank - watchers);
  takeover_delay_ = std::min(
      config_.max_takeover_delay,
      config_.takeover_delay + config_.takeover_step * takeover_position);
}

void store_watcher_role::OnStoreFeed(time_point now) {
  last_feed_ = now;
}

bool store_watcher_role::ShouldWatch(time_point now) const {
  return is_designated_ || now - last_feed_ > takeover_delay_;
}

}  // namespace trefoilmill
