#include "trefoilmill/process/endpoint_crashes.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace trefoilmill {
namespace {

/// How long a lost reply may be due to the endpoint's end, and how long a
/// refusal waits to be confirmed: long enough for several connections, as a
/// busy host may take a refusal for a timeout.
constexpr duration kMaxAge = std::chrono::milliseconds(1200);
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
  at_endpoint.checked = at_endpoint.checked && suspect.abandoned;
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
  found->second.refused_at.reset();
  // What was abandoned may still be running, and end it yet.
  std::erase_if(found->second.suspects,
                [](const crash_suspect& s) { return !s.abandoned; });
  if (found->second.suspects.empty()) {
    losses_.erase(found);
  }
}

void endpoint_crashes::OnConnectRefused(time_point now, const endpoint_id& id) {
  DropExpired(now);
  const auto found = losses_.find(id);
  if (found != losses_.end() && !found->second.refused_at.has_value()) {
    found->second.refused_at = now;
  }
}

void endpoint_crashes::Exonerate(const request_identity& request) {
  for (endpoint_losses& at_endpoint : losses_ | std::views::values) {
    std::erase_if(at_endpoint.suspects,
                  [&](const crash_suspect& s) { return s.request == request; });
  }
  std::erase_if(
      losses_, [](const auto& entry) { return entry.second.suspects.empty(); });
}

std::vector<crash_suspect> endpoint_crashes::TakeConfirmed(time_point now) {
  DropExpired(now);
  std::vector<crash_suspect> confirmed;
  std::erase_if(losses_, [&](const auto& entry) {
    const auto& [id, at_endpoint] = entry;
    if (!at_endpoint.refused_at.has_value() ||
        !OthersAliveAfter(id, *at_endpoint.refused_at + kSettleTime)) {
      return false;
    }
    std::ranges::copy(at_endpoint.suspects, std::back_inserter(confirmed));
    return true;
  });
  return confirmed;
}

std::vector<endpoint_id> endpoint_crashes::TakeUnchecked(time_point now) {
  std::vector<endpoint_id> unchecked;
  for (auto& [id, at_endpoint] : losses_) {
    const bool is_due = std::ranges::any_of(
        at_endpoint.suspects, [now](const crash_suspect& s) {
          return !s.abandoned && now - s.lost_at >= kCheckDelay;
        });
    if (is_due && !at_endpoint.checked && !at_endpoint.refused_at.has_value()) {
      at_endpoint.checked = true;
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
    if (!at_endpoint.refused_at.has_value()) {
      std::erase_if(at_endpoint.suspects, [now](const crash_suspect& s) {
        return now - s.lost_at > kMaxAge;
      });
    }
  }
  std::erase_if(losses_, [now](const auto& entry) {
    const endpoint_losses& at_endpoint = entry.second;
    return at_endpoint.suspects.empty() ||
           (at_endpoint.refused_at.has_value() &&
            now - *at_endpoint.refused_at > kMaxAge);
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
