#include "trefoilmill/process/news_pacing.h"

#include <algorithm>
#include <utility>

namespace trefoilmill {
namespace {

/// How long news is collected before it is passed on.
constexpr duration kDelay = std::chrono::milliseconds(5);
/// The least time between two messages.
constexpr duration kMinInterval = std::chrono::milliseconds(50);

}  // namespace

std::optional<time_point> news_pacing::OnNews(time_point now) {
  if (std::exchange(is_planned_, true)) {
    return std::nullopt;
  }
  const time_point soon = now + kDelay;
  return sent_.has_value() ? std::max(soon, *sent_ + kMinInterval) : soon;
}

}  // namespace trefoilmill
