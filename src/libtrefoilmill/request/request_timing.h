/// Times that the parts of request_run share.
#ifndef TREFOILMILL_REQUEST_REQUEST_TIMING_H_
#define TREFOILMILL_REQUEST_REQUEST_TIMING_H_

#include "trefoilmill/time.h"

namespace trefoilmill {

/// One-way network latency between a caller and a host.
inline constexpr duration kCallerOneWayLatency = std::chrono::milliseconds(3);
/// How late a timer may fire.
inline constexpr duration kMaxTimerDelay = std::chrono::milliseconds(2);
/// Part of the objective that is spent outside this host: one round trip to
/// connect, one for the request and its answer, and the delay of a timer.
inline constexpr duration kCallerNetworkTime =
    4 * kCallerOneWayLatency + kMaxTimerDelay;

/// When callers may return whose request is refused for a reason other than
/// endpoint load, for example because a shard has no usable endpoint.
inline constexpr duration kDefaultRetryAfter = std::chrono::milliseconds(400);

/// Minimum time before the answer deadline for a first send or a retry.
inline constexpr duration kMinTimeToSend = std::chrono::milliseconds(2);

}  // namespace trefoilmill

#endif  // TREFOILMILL_REQUEST_REQUEST_TIMING_H_
