#include "trefoilmill/process/endpoint_responses.h"

namespace trefoilmill {
namespace {

/// An endpoint that has responded so recently counts as up. With a longer time
/// requests that callers repeat after a loss of all endpoints would be taken
/// for its reason.
constexpr duration kUpTime = std::chrono::milliseconds(500);

}  // namespace

void endpoint_responses::OnResponse(time_point now, const endpoint_id& id) {
  latest_[id] = now;
}

bool endpoint_responses::WasUp(time_point at, const endpoint_id& id) const {
  const auto found = latest_.find(id);
  return found != latest_.end() && at - found->second <= kUpTime;
}

}  // namespace trefoilmill
