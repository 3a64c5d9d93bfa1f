#include "trefoilmill/process/endpoint_responses.h"

#include <algorithm>

namespace trefoilmill {
namespace {

/// An endpoint that has responded so recently counts as up. With a longer time
/// requests that callers repeat after a loss of all endpoints would be taken
/// for its reason.
constexpr duration kUpTime = std::chrono::milliseconds(500);
/// What counts as around a time. Endpoints that are lost together are back
/// later than that.
constexpr duration kShortlyBefore = std::chrono::milliseconds(100);
constexpr duration kShortlyAfter = std::chrono::milliseconds(1000);
/// Shorter silences are not kept: a host with few requests has many.
constexpr duration kLongSilence = std::chrono::milliseconds(600);
/// Silences that are kept: those in the time that a request may take.
constexpr std::size_t kMaxSilences = 16;

}  // namespace

void endpoint_responses::OnResponse(time_point now, const endpoint_id& id) {
  latest_[id] = now;
  const bool is_first = latest_of_all_ == time_point();
  if (!is_first && now - latest_of_all_ >= kLongSilence) {
    silences_.push_back({.began = latest_of_all_, .ended = now});
    if (silences_.size() > kMaxSilences) {
      silences_.pop_front();
    }
  }
  latest_of_all_ = now;
}

bool endpoint_responses::AnyAround(time_point at) const {
  const time_point begin = at - kShortlyBefore;
  const time_point end = at + kShortlyAfter;
  return latest_of_all_ > begin &&
         std::ranges::none_of(silences_, [begin, end](const silence& s) {
           return s.began <= begin && s.ended >= end;
         });
}

bool endpoint_responses::WasSilent(time_point since) const {
  return std::ranges::any_of(silences_, [since](const silence& s) {
    return s.ended - std::max(s.began, since) >= kLongSilence;
  });
}

bool endpoint_responses::WasUp(time_point at, const endpoint_id& id) const {
  const auto found = latest_.find(id);
  return found != latest_.end() && at - found->second <= kUpTime;
}

}  // namespace trefoilmill
