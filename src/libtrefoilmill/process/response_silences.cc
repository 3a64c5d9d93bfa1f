#include "trefoilmill/process/response_silences.h"

#include <algorithm>

namespace trefoilmill {
namespace {

/// What counts as around a time. Endpoints that are lost together are back
/// later than that.
constexpr duration kShortlyBefore = std::chrono::milliseconds(100);
constexpr duration kShortlyAfter = std::chrono::milliseconds(1000);
/// Shorter silences are not kept: a host with few requests has many.
constexpr duration kLongSilence = std::chrono::milliseconds(600);
/// Silences that are kept: those in the time that a request may take.
constexpr std::size_t kMaxSilences = 16;

}  // namespace

void response_silences::OnResponse(time_point now) {
  if (latest_.has_value() && now - *latest_ >= kLongSilence) {
    silences_.push_back({.began = *latest_, .ended = now});
    if (silences_.size() > kMaxSilences) {
      silences_.pop_front();
    }
  }
  latest_ = now;
}

bool response_silences::AnyAround(time_point at) const {
  const time_point begin = at - kShortlyBefore;
  const time_point end = at + kShortlyAfter;
  return AnyAfter(begin) &&
         std::ranges::none_of(silences_, [begin, end](const silence& s) {
           return s.began <= begin && s.ended >= end;
         });
}

bool response_silences::WasSilent(time_point since) const {
  return std::ranges::any_of(silences_, [since](const silence& s) {
    return s.ended - std::max(s.began, since) >= kLongSilence;
  });
}

}  // namespace trefoilmill
