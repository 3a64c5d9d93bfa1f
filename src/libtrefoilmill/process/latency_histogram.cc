#include "trefoilmill/process/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace trefoilmill {
namespace {

/// Upper bound of the first bucket, in microseconds.
constexpr double kFirstBoundMicros = 100;
/// Ratio between the upper bounds of adjacent buckets.
constexpr double kBucketRatio = 1.115;

std::size_t BucketOf(duration latency, std::size_t bucket_count) {
  const auto micros = static_cast<double>(latency.count());
  if (micros <= kFirstBoundMicros) {
    return 0;
  }
  const double index =
      std::log(micros / kFirstBoundMicros) / std::log(kBucketRatio);
  return std::min(static_cast<std::size_t>(index) + 1, bucket_count - 1);
}

duration UpperBound(std::size_t bucket) {
  return duration(static_cast<duration::rep>(
      kFirstBoundMicros * std::pow(kBucketRatio, static_cast<double>(bucket))));
}

}  // namespace

void latency_histogram::Record(duration latency) {
  ++counts_[BucketOf(latency, kBuckets)];
  ++total_;
  if (total_ < kHalveAfter) {
    return;
  }
  std::ranges::transform(counts_, counts_.begin(),
                         [](std::uint32_t count) { return count / 2; });
  total_ = std::accumulate(counts_.begin(), counts_.end(), 0U);
}

std::optional<duration> latency_histogram::Quantile(double q) const {
  if (total_ < kMinSamples) {
    return std::nullopt;
  }
  const double target = q * total_;
  double cumulative = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    cumulative += counts_[bucket];
    if (cumulative >= target) {
      return UpperBound(bucket);
    }
  }
  return UpperBound(kBuckets - 1);
}

}  // namespace trefoilmill
