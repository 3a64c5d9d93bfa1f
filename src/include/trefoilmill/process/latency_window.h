/// Quantiles of recent latencies of one kind of sub-request.
#ifndef TREFOILMILL_PROCESS_LATENCY_WINDOW_H_
#define TREFOILMILL_PROCESS_LATENCY_WINDOW_H_

#include <array>
#include <cstdint>
#include <optional>

#include "trefoilmill/time.h"

namespace trefoilmill {

/// A histogram with buckets of equal ratio, from 0.1 ms to some 100 s, whose
/// counts are halved after each kHalveAfter samples. Constant size: one lives
/// per route.
class latency_window {
 public:
  void Record(duration latency);
  /// The latency that a share `q` (0..1) of recent samples stayed within, to
  /// about a tenth; nullopt before kMinSamples.
  std::optional<duration> Quantile(double q) const;

  static constexpr std::uint32_t kMinSamples = 20;

 private:
  static constexpr std::size_t kBuckets = 128;
  static constexpr std::uint32_t kHalveAfter = 1000;

  std::array<std::uint32_t, kBuckets> counts_{};
  std::uint32_t total_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_LATENCY_WINDOW_H_
