#include "trefoilmill/process/traffic.h"

#include <algorithm>

namespace trefoilmill {
namespace {

/// Part of the objective that a sub-request is assumed to take before its
/// latency was seen.
constexpr int kObjectiveShare = 6;
constexpr duration kLeastLatency = std::chrono::milliseconds(1);

}  // namespace

duration UsualLatency(const traffic& shared, const route& r) {
  const auto found = shared.latencies.find(r.id);
  if (found != shared.latencies.end()) {
    if (const auto median = found->second.Quantile(0.5)) {
      return std::max(kLeastLatency, *median);
    }
  }
  return std::max(kLeastLatency, r.objective / kObjectiveShare);
}

}  // namespace trefoilmill
