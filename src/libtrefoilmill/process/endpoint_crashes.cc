#include "trefoilmill/process/endpoint_crashes.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace trefoilmill {
namespace {

/// How long a lost reply may be due to an end that a refusal shows, and how
/// long a refusal waits to be confirmed: long enough for several connections,
/// as a busy host may take a refusal for a timeout.
constexpr duration kMaxAge = std::chrono::milliseconds(1200);
/// How long a lost reply may be due to an end that a change of the instance
/// shows: an entry may lapse, and be replaced, some seconds after the end.
constexpr duration kMaxAgeUntilGone = std::chrono::seconds(15);
/// A reply that was lost so much later than its request was sent was silent
/// before: the end may have been at any time in between.
constexpr duration kSilentTime = std::chrono::milliseconds(500);
/// What was on its way when a link broke may still arrive for so long.
constexpr duration kSettleTime = std::chrono::milliseconds(10);
/// A pool that reconnects by itself does so sooner than this.
constexpr duration kCheckDelay = std::chrono::milliseconds(20);
/// On a host with callers, responses show sooner that endpoints are reached.
constexpr duration kSignOfLifeDelay = std::chrono::milliseconds(50);
/// Most losses kept, of all endpoints together.
constexpr std::size_t kMaxLosses = 2048;

}  // namespace

void endpoint_crashes::OnReplyLost(const crash_suspect& suspect) {
  DropExpired(suspect.lost_at);
  if (size() >= kMaxLosses) {
    return;
  }
  endpoint_losses& at_endpoint = losses_[suspect.endpoint];
  if (!at_endpoint.suspects.empty() &&
      at_endpoint.suspects.front().started_ms != suspect.started_ms) {
    // Another instance has the id.
    at_endpoint = {};
  }
  at_endpoint.checked = at_endpoint.checked && suspect.abandoned;
  at_endpoint.accepted = at_endpoint.accepted && suspect.abandoned;
  at_endpoint.suspects.push_back(suspect);
}

void endpoint_crashes::OnAlive(time_point now, const endpoint_id& id) {
  if (losses_.empty()) {
    return;
  }
  if (latest_alive_.endpoint != id) {
    other_alive_ = std::exchange(latest_alive_, {});
  }
  latest_alive_ = {.endpoint = id, .at = now};
  const auto found = losses_.find(id);
  if (found == losses_.end()) {
    return;
  }
  found->second.refused.reset();
  // What was abandoned may still be running, and end it yet.
  std::erase_if(found->second.suspects,
                [](const crash_suspect& s) { return !s.abandoned; });
  for (crash_suspect& s : found->second.suspects) {
    s.sent_to_live_at.reset();
  }
  if (found->second.suspects.empty()) {
    losses_.erase(found);
  }
}

void endpoint_crashes::OnConnected(const endpoint_id& id) {
  const auto found = losses_.find(id);
  if (found == losses_.end()) {
    return;
  }
  found->second.accepted = true;
  if (found->second.refused.has_value() && !found->second.refused->closes) {
    found->second.refused.reset();
  }
}

void endpoint_crashes::OnConnectRefused(time_point now, const endpoint_id& id) {
  DropExpired(now);
  const auto found = losses_.find(id);
  if (found == losses_.end() || found->second.accepted) {
    return;
  }
  // Connections that were idle may have been closed just before.
  std::optional<refusal>& refused = found->second.refused;
  if (!refused.has_value() || refused->closes) {
    refused = refusal{.first = now};
  }
}

void endpoint_crashes::OnClosedUnused(time_point now, const endpoint_id& id) {
  DropExpired(now);
  const auto found = losses_.find(id);
  if (found == losses_.end()) {
    return;
  }
  std::optional<refusal>& refused = found->second.refused;
  if (!refused.has_value()) {
    refused = refusal{.first = now, .closes = true};
  } else if (OthersAliveAfter(id, refused->first + kSettleTime)) {
    refused->has_closed_again = true;
  }
}

bool endpoint_crashes::HasRefused(const endpoint_id& id,
                                  const endpoint_losses& lost) const {
  const auto& refused = lost.refused;
  if (!refused.has_value()) {
    return false;
  }
  return refused->closes ? refused->has_closed_again
                         : OthersAliveAfter(id, refused->first + kSettleTime);
}

void endpoint_crashes::OnInstanceGone(time_point now, const endpoint_id& id) {
  DropExpired(now);
  const auto found = losses_.find(id);
  if (found != losses_.end()) {
    found->second.is_gone = true;
  }
}

void endpoint_crashes::Exonerate(const request_identity& request) {
  for (endpoint_losses& at_endpoint : losses_ | std::views::values) {
    std::erase_if(at_endpoint.suspects,
                  [&](const crash_suspect& s) { return s.request == request; });
  }
  DropEmpty();
}

std::vector<crash_suspect> endpoint_crashes::TakeConfirmed(time_point now) {
  DropExpired(now);
  std::vector<crash_suspect> confirmed;
  for (auto& [id, at_endpoint] : losses_) {
    const bool has_refused = HasRefused(id, at_endpoint);
    if (!has_refused && !at_endpoint.is_gone) {
      continue;
    }
    const end_evidence evidence = !has_refused ? end_evidence::kInstanceGone
                                  : at_endpoint.refused->closes
                                      ? end_evidence::kClosed
                                      : end_evidence::kRefused;
    std::erase_if(at_endpoint.suspects, [&](crash_suspect& s) {
      const bool lost_shortly_before =
          has_refused && at_endpoint.refused->first - s.lost_at <= kMaxAge;
      const bool was_silent = s.sent_to_live_at.has_value() &&
                              (!lost_shortly_before ||
                               s.lost_at - *s.sent_to_live_at > kSilentTime);
      if (!lost_shortly_before && !was_silent) {
        return has_refused;
      }
      s.lost_at = was_silent ? *s.sent_to_live_at : s.lost_at;
      s.evidence = evidence;
      confirmed.push_back(s);
      return true;
    });
  }
  DropEmpty();
  return confirmed;
}

std::vector<std::pair<endpoint_id, std::uint64_t>>
endpoint_crashes::SuspectedInstances() const {
  std::vector<std::pair<endpoint_id, std::uint64_t>> instances;
  std::ranges::transform(
      losses_, std::back_inserter(instances), [](const auto& entry) {
        const auto& [id, at_endpoint] = entry;
        return std::pair(id, at_endpoint.suspects.front().started_ms);
      });
  return instances;
}

std::vector<endpoint_id> endpoint_crashes::TakeUnchecked(time_point now) {
  std::vector<endpoint_id> unchecked;
  for (auto& [id, at_endpoint] : losses_) {
    const bool is_due = std::ranges::any_of(
        at_endpoint.suspects, [now](const crash_suspect& s) {
          return !s.abandoned && now - s.lost_at >= kCheckDelay;
        });
    std::optional<refusal>& refused = at_endpoint.refused;
    if (is_due && !at_endpoint.checked && !refused.has_value()) {
      at_endpoint.checked = true;
      unchecked.push_back(id);
    } else if (refused.has_value() && refused->closes &&
               !refused->checked_again &&
               OthersAliveAfter(id, refused->first + kSettleTime)) {
      refused->checked_again = true;
      unchecked.push_back(id);
    }
  }
  return unchecked;
}

bool endpoint_crashes::TakeNeedForSignOfLife(time_point now) {
  bool needed = false;
  for (endpoint_losses& at_endpoint : losses_ | std::views::values) {
    if (at_endpoint.refused.has_value() &&
        now - at_endpoint.refused->first >= kSignOfLifeDelay &&
        !at_endpoint.sign_of_life_requested) {
      at_endpoint.sign_of_life_requested = true;
      needed = true;
    }
  }
  return needed;
}

bool endpoint_crashes::OthersAliveAfter(const endpoint_id& id,
                                        time_point since) const {
  const sign_of_life& sign =
      latest_alive_.endpoint == id ? other_alive_ : latest_alive_;
  return sign.endpoint != endpoint_id() && sign.at > since;
}

void endpoint_crashes::DropExpired(time_point now) {
  for (endpoint_losses& at_endpoint : losses_ | std::views::values) {
    std::optional<refusal>& refused = at_endpoint.refused;
    if (refused.has_value() && now - refused->first > kMaxAge) {
      refused.reset();
    }
    std::erase_if(at_endpoint.suspects, [&](const crash_suspect& s) {
      if (refused.has_value() && refused->first - s.lost_at <= kMaxAge) {
        return false;
      }
      return now - s.lost_at >
             (s.sent_to_live_at.has_value() ? kMaxAgeUntilGone : kMaxAge);
    });
  }
  DropEmpty();
}

void endpoint_crashes::DropEmpty() {
  std::erase_if(
      losses_, [](const auto& entry) { return entry.second.suspects.empty(); });
}

bool endpoint_crashes::IsUndecided(time_point now) const {
  return std::ranges::any_of(
      losses_ | std::views::values, [now](const endpoint_losses& at_endpoint) {
        return at_endpoint.refused.has_value() ||
               now - at_endpoint.suspects.back().lost_at <= kMaxAge;
      });
}

std::size_t endpoint_crashes::size() const {
  std::size_t count = 0;
  for (const endpoint_losses& at_endpoint : losses_ | std::views::values) {
    count += at_endpoint.suspects.size();
  }
  return count;
}

}  // namespace trefoilmill
