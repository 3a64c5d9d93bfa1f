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
/// An endpoint that responded so long ago at most was probably up. Callers
/// whose endpoints have all ended return later than this.
constexpr duration kFreshTime = std::chrono::milliseconds(500);
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
  last_alive_[id] = now;
  latest_alive_at_ = now;
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
  found->second.refused_at.reset();
  found->second.closes = false;
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
  if (!found->second.closes) {
    found->second.refused_at.reset();
  }
}

void endpoint_crashes::OnConnectRefused(time_point now, const endpoint_id& id) {
  DropExpired(now);
  const auto found = losses_.find(id);
  if (found != losses_.end() && !found->second.refused_at.has_value() &&
      !found->second.accepted) {
    found->second.refused_at = now;
  }
}

void endpoint_crashes::OnClosedUnused(time_point now, const endpoint_id& id) {
  DropExpired(now);
  const auto found = losses_.find(id);
  if (found == losses_.end()) {
    return;
  }
  endpoint_losses& at_endpoint = found->second;
  if (!at_endpoint.refused_at.has_value()) {
    at_endpoint.refused_at = now;
    at_endpoint.closes = true;
    at_endpoint.has_closed_again = false;
    at_endpoint.checked_again = false;
    return;
  }
  at_endpoint.has_closed_again =
      at_endpoint.has_closed_again ||
      OthersAliveAfter(id, *at_endpoint.refused_at + kSettleTime);
}

bool endpoint_crashes::HasRefused(const endpoint_id& id,
                                  const endpoint_losses& lost) const {
  return lost.refused_at.has_value() &&
         (lost.has_closed_again ||
          (!lost.closes &&
           OthersAliveAfter(id, *lost.refused_at + kSettleTime)));
}

void endpoint_crashes::OnInstanceGone(time_point now, const endpoint_id& id) {
  DropExpired(now);
  const auto found = losses_.find(id);
  if (found != losses_.end()) {
    found->second.is_gone = true;
  }
}

bool endpoint_crashes::IsFresh(time_point now, const endpoint_id& id) const {
  const auto found = last_alive_.find(id);
  return found != last_alive_.end() && now - found->second <= kFreshTime;
}

bool endpoint_crashes::AnyAliveAfter(time_point since) const {
  return latest_alive_at_ > since;
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
    const auto& refused_at = at_endpoint.refused_at;
    const bool has_refused = HasRefused(id, at_endpoint);
    std::erase_if(at_endpoint.suspects, [&](crash_suspect& s) {
      const bool broke_with_it =
          has_refused && *refused_at - s.lost_at <= kMaxAge;
      const bool was_silent =
          s.sent_to_live_at.has_value() &&
          (!broke_with_it || s.lost_at - *s.sent_to_live_at > kFreshTime);
      const bool fell_silent_with_it =
          s.sent_to_live_at.has_value() && (has_refused || at_endpoint.is_gone);
      if (!broke_with_it && !fell_silent_with_it) {
        return has_refused;
      }
      s.lost_at = was_silent ? *s.sent_to_live_at : s.lost_at;
      s.evidence = !has_refused         ? end_evidence::kInstanceGone
                   : at_endpoint.closes ? end_evidence::kClosed
                                        : end_evidence::kRefused;
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
    const auto& refused_at = at_endpoint.refused_at;
    if (is_due && !at_endpoint.checked && !refused_at.has_value()) {
      at_endpoint.checked = true;
      unchecked.push_back(id);
    } else if (refused_at.has_value() && at_endpoint.closes &&
               !at_endpoint.checked_again &&
               OthersAliveAfter(id, *refused_at + kSettleTime)) {
      at_endpoint.checked_again = true;
      unchecked.push_back(id);
    }
  }
  return unchecked;
}

bool endpoint_crashes::TakeNeedForSignOfLife(time_point now) {
  bool needed = false;
  for (endpoint_losses& at_endpoint : losses_ | std::views::values) {
    if (at_endpoint.refused_at.has_value() &&
        now - *at_endpoint.refused_at >= kSignOfLifeDelay &&
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
    std::optional<time_point>& refused_at = at_endpoint.refused_at;
    if (refused_at.has_value() && now - *refused_at > kMaxAge) {
      refused_at.reset();
      at_endpoint.closes = false;
    }
    std::erase_if(at_endpoint.suspects, [&](const crash_suspect& s) {
      if (refused_at.has_value() && *refused_at - s.lost_at <= kMaxAge) {
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
        return at_endpoint.refused_at.has_value() ||
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
