#include "trefoilmill/process/request_limits.h"

namespace trefoilmill {

bool request_limits::OnResponse(const endpoint_id& id,
                                std::optional<request_rate> limit) {
  const std::optional<request_rate> before = LimitOf(id);
  if (limit.has_value()) {
    limits_[id] = *limit;
  } else {
    limits_.erase(id);
  }
  return before != limit;
}

std::optional<request_rate> request_limits::LimitOf(
    const endpoint_id& id) const {
  const auto found = limits_.find(id);
  if (found == limits_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace trefoilmill
