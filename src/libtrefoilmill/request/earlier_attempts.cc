#include "trefoilmill/request/earlier_attempts.h"

#include <chrono>

namespace trefoilmill {
namespace {

/// Longest time that a host needs to forward a request which it just received,
/// with what it reserves for the other host's answer.
constexpr duration kMaxForwardingTime = std::chrono::milliseconds(15);

}  // namespace

bool IsJustReceived(duration time_left, duration longest_wait) {
  return time_left + kMaxForwardingTime >= longest_wait;
}

}  // namespace trefoilmill
