#include "trefoilmill/version/copy_fetch_plan.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace trefoilmill {
namespace {

/// Delays are drawn between this fraction of their length and the full length,
/// so that hosts do not come back together.
constexpr double kMinJitterFraction = 0.4;
/// Bounds the shift that computes the backoff; max_backoff is reached earlier.
constexpr int kMaxDoublings = 10;

}  // namespace

copy_fetch_plan::copy_fetch_plan(const config& settings, std::mt19937_64 random)
    : config_(settings), random_(random) {}

std::optional<socket_address> copy_fetch_plan::NextSource(
    time_point now,
    bool has_content,
    const std::vector<socket_address>& peers_ahead) {
  if (in_progress_) {
    return std::nullopt;
  }
  if (peers_ahead.empty()) {
    behind_since_.reset();
    continues_ = false;
    return std::nullopt;
  }
  if (!behind_since_.has_value()) {
    behind_since_ = now;
  }
  const bool waited = now - *behind_since_ >= config_.fetch_delay;
  if ((has_content && !waited) || now < not_before_) {
    return std::nullopt;
  }
  const bool source_is_ahead =
      std::ranges::find(peers_ahead, source_) != peers_ahead.end();
  if (!std::exchange(continues_, false) || !source_is_ahead) {
    source_ = Choose(now, peers_ahead);
  }
  in_progress_ = true;
  return source_;
}

socket_address copy_fetch_plan::Choose(
    time_point now,
    const std::vector<socket_address>& peers) {
  std::erase_if(avoided_until_,
                [now](const auto& entry) { return now >= entry.second; });
  std::vector<socket_address> usable;
  std::ranges::copy_if(peers, std::back_inserter(usable),
                       [this](const socket_address& peer) {
                         return !avoided_until_.contains(peer);
                       });
  const auto& candidates = usable.empty() ? peers : usable;
  std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
  return candidates[index(random_)];
}

duration copy_fetch_plan::Jittered(duration length) {
  std::uniform_real_distribution<double> fraction(kMinJitterFraction, 1);
  const double drawn = static_cast<double>(length.count()) * fraction(random_);
  return duration(static_cast<duration::rep>(drawn));
}

void copy_fetch_plan::OnPage() {
  in_progress_ = false;
  failures_in_a_row_ = 0;
  continues_ = true;
}

void copy_fetch_plan::OnComplete() {
  in_progress_ = false;
  failures_in_a_row_ = 0;
  behind_since_.reset();
}

void copy_fetch_plan::OnBusy(time_point now) {
  in_progress_ = false;
  not_before_ = now + Jittered(config_.busy_delay);
}

void copy_fetch_plan::OnFailed(time_point now) {
  in_progress_ = false;
  avoided_until_[source_] = now + config_.avoidance;
  const int doublings = std::min(failures_in_a_row_++, kMaxDoublings);
  const duration backoff =
      std::min(config_.max_backoff, config_.initial_backoff * (1 << doublings));
  not_before_ = now + Jittered(backoff);
}

}  // namespace trefoilmill
