#include "endpoint_latency_estimate.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace trefoilmill {
namespace {

/// Divisors: the newest sample has a weight of 1/8 in the mean and 1/4 in the
/// mean deviation.
constexpr int kMeanDivisor = 8;
constexpr int kDeviationDivisor = 4;
/// Consecutive samples in one window; the lowest window mean is the baseline.
constexpr int kWindowSamples = 8;
/// The baseline rises by at most 1/50 of its value per window.
constexpr int kBaselineRiseDivisor = 50;
/// Half-life of the estimate without new samples.
constexpr duration kHalfLife = std::chrono::seconds(1);
/// Upper bound of the right shift in Decayed().
constexpr int kMaxHalvings = 30;

}  // namespace

void endpoint_latency_estimate::Observe(time_point now, duration sample) {
  last_ = now;
  if (std::exchange(empty_, false)) {
    mean_ = sample;
    deviation_ = sample / 2;
  }
  const duration error = sample - mean_;
  mean_ += error / kMeanDivisor;
  deviation_ += (std::chrono::abs(error) - deviation_) / kDeviationDivisor;
  ObserveWindow(sample);
}

void endpoint_latency_estimate::ObserveWindow(duration sample) {
  window_sum_ += sample;
  ++window_samples_;
  if (window_samples_ < kWindowSamples) {
    return;
  }
  const duration window_mean = window_sum_ / kWindowSamples;
  const duration raised = best_ + best_ / kBaselineRiseDivisor;
  best_ =
      best_ == duration::zero() ? window_mean : std::min(window_mean, raised);
  window_samples_ = 0;
  window_sum_ = duration::zero();
}

duration endpoint_latency_estimate::mean(time_point now) const {
  return Decayed(now, mean_);
}

duration endpoint_latency_estimate::lower_estimate(time_point now) const {
  const duration low = std::max(duration::zero(), mean_ - 2 * deviation_);
  return Decayed(now, low);
}

duration endpoint_latency_estimate::Decayed(time_point now,
                                            duration value) const {
  const auto halvings =
      std::clamp<duration::rep>((now - last_) / kHalfLife, 0, kMaxHalvings);
  return duration(value.count() >> halvings);
}

}  // namespace trefoilmill
