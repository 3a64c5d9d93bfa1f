/// Quantiles of recent latencies of one kind of sub-request.
#ifndef TREFOILMILL_PROCESS_LATENCY_HISTOGRAM_H_
#define TREFOILMILL_PROCESS_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstdint>
#include <optional>

#include "trefoilmill/time.h"

namespace trefoilmill {

/// Histogram with logarithmic buckets from 0.1 ms to about 100 s. The counts
/// are halved whenever their total reaches kHalveAfter, so that recent samples
/// weigh more. The size is constant, because there is one histogram per route.
class latency_histogram {
 public:
  /// Adds one sample. Latencies outside of the range count in the first or last
  /// bucket.
  void Record(duration latency);
  /// Upper bound of the latency quantile `q` (0..1), accurate to about 10 %;
  /// nullopt if there are fewer than kMinSamples samples.
  std::optional<duration> Quantile(double q) const;

  /// Number of samples below which no quantile is given.
  static constexpr std::uint32_t kMinSamples = 20;

 private:
  static constexpr std::size_t kBuckets = 128;
  static constexpr std::uint32_t kHalveAfter = 1000;

  std::array<std::uint32_t, kBuckets> counts_{};
  std::uint32_t total_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_LATENCY_HISTOGRAM_H_
