#include "trefoilmill/request/request_caution.h"

#include <algorithm>

namespace trefoilmill {
namespace {

/// Unanswered attempts after which a request that is not suspect goes to one
/// endpoint at a time.
constexpr std::size_t kUnansweredToCaution = 2;
/// Unanswered attempts, sent one at a time, after which it goes to no other.
/// Several may be in flight, for no fault of their own, at endpoints that end
/// together.
constexpr std::size_t kUnansweredToStop = 2;
/// Others are warned after so many expected latencies, and after this time at
/// least. Every host hears of each warning, and a request that is merely slow
/// is not worth one.
constexpr int kWarningLatencies = 8;
constexpr duration kMinWarningDelay = std::chrono::milliseconds(200);

}  // namespace

void request_caution::OnUnanswered(bool sent_alone) {
  ++unanswered_;
  unanswered_alone_ += sent_alone ? 1 : 0;
}

bool request_caution::is_cautious() const {
  return suspect_ || unanswered_ >= kUnansweredToCaution;
}

bool request_caution::MustStop(bool has_strikes) const {
  return unanswered_alone_ >= (has_strikes ? 1 : kUnansweredToStop);
}

silence_warning request_caution::NextWarning(std::size_t possible_attempts,
                                             bool has_strikes) const {
  // A single late reply says little where a second endpoint may be tried.
  const bool is_silent =
      has_unanswered() &&
      unanswered_ >= std::min(possible_attempts, kUnansweredToCaution);
  if (warned_ == silence_warning::kNone && is_silent) {
    return silence_warning::kSuspect;
  }
  // One with strikes goes to no second endpoint after a late one.
  return warned_ != silence_warning::kRefuse && MustStop(has_strikes)
             ? silence_warning::kRefuse
             : silence_warning::kNone;
}

duration request_caution::WarningDelay(duration expected) {
  return std::max<duration>(kMinWarningDelay, kWarningLatencies * expected);
}

}  // namespace trefoilmill
