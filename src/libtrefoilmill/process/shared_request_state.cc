#include "trefoilmill/process/shared_request_state.h"

#include <algorithm>

namespace trefoilmill {
namespace {

/// Divisor of the route's objective that gives the expected latency of a
/// sub-request before there are enough samples.
constexpr int kObjectiveDivisor = 6;
/// Lower bound of the expected latency.
constexpr duration kMinExpectedLatency = std::chrono::milliseconds(1);

}  // namespace

duration ExpectedLatency(const shared_request_state& shared, const route& r) {
  const auto found = shared.latencies.find(r.id);
  if (found != shared.latencies.end()) {
    if (const auto median = found->second.Quantile(0.5)) {
      return std::max(kMinExpectedLatency, *median);
    }
  }
  return std::max(kMinExpectedLatency, r.objective / kObjectiveDivisor);
}

}  // namespace trefoilmill
