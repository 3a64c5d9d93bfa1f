#include "trefoilmill/version/record_writer.h"

#include <algorithm>

namespace trefoilmill {
namespace {

/// Delay after a call without a reply, whose limit has kept the calls apart
/// already, and after a first failure; doubles with each further failure.
constexpr duration kInitialDelay = std::chrono::milliseconds(150);
/// With it, hosts that all wait for the store make one call a second each.
constexpr duration kMaxDelay = std::chrono::milliseconds(1000);
/// Delays are drawn uniformly between this fraction of their length and the
/// full length, so that hosts do not call the store simultaneously.
constexpr double kMinJitterFraction = 0.6;
/// Bounds the shift that computes the delay; kMaxDelay is reached earlier.
constexpr int kMaxDoublings = 10;

}  // namespace

record_writer::attempt record_writer::Begin() {
  last_ = call::kCreate;
  was_immediate_ = false;
  failures_ = 0;
  is_late_ = false;
  return {.next = last_, .delay = duration::zero()};
}

std::optional<record_writer::attempt> record_writer::OnEnded(outcome ended) {
  if (ended == outcome::kStored) {
    return std::nullopt;
  }
  const bool tells_other_call =
      ended == outcome::kExists || ended == outcome::kMissing;
  last_ = ended == outcome::kExists ? call::kReplace : call::kCreate;
  if (tells_other_call && !was_immediate_) {
    was_immediate_ = true;
    return attempt{.next = last_, .delay = duration::zero()};
  }
  was_immediate_ = false;
  is_late_ = true;
  const duration backoff = NextBackoff();
  return attempt{
      .next = last_,
      .delay = Jittered(ended == outcome::kNoReply ? kInitialDelay : backoff)};
}

duration record_writer::NextBackoff() {
  const int doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  return std::min(kMaxDelay, kInitialDelay * (1 << doublings));
}

duration record_writer::Jittered(duration length) {
  std::uniform_real_distribution<double> fraction(kMinJitterFraction, 1);
  return duration(static_cast<duration::rep>(
      static_cast<double>(length.count()) * fraction(random_)));
}

}  // namespace trefoilmill
