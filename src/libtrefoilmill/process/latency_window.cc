#include "trefoilmill/process/latency_window.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace trefoilmill {
namespace {

constexpr double kLowestMicros = 100;
/// Each bucket reaches this much further than the one before.
constexpr double kRatio = 1.115;

std::size_t BucketOf(duration latency, std::size_t buckets) {
  const auto micros = static_cast<double>(latency.count());
  if (micros <= kLowestMicros) {
    return 0;
  }
  const double index = std::log(micros / kLowestMicros) / std::log(kRatio);
  return std::min(static_cast<std::size_t>(index) + 1, buckets - 1);
}

duration UpperBound(std::size_t bucket) {
  return duration(static_cast<duration::rep>(
      kLowestMicros * std::pow(kRatio, static_cast<double>(bucket))));
}

}  // namespace

void latency_window::Record(duration latency) {
  ++counts_[BucketOf(latency, kBuckets)];
  ++total_;
  if (total_ < kHalveAfter) {
    return;
  }
  std::ranges::transform(counts_, counts_.begin(),
                         [](std::uint32_t count) { return count / 2; });
  total_ = std::accumulate(counts_.begin(), counts_.end(), 0U);
}

std::optional<duration> latency_window::Quantile(double q) const {
  if (total_ < kMinSamples) {
    return std::nullopt;
  }
  const double wanted = q * total_;
  double seen = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += counts_[bucket];
    if (seen >= wanted) {
      return UpperBound(bucket);
    }
  }
  return UpperBound(kBuckets - 1);
}

}  // namespace trefoilmill
