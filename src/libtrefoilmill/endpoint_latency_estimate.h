/// Running estimate of one endpoint's latency: exponentially weighted mean and
/// mean deviation, like TCP's round-trip time estimator. The estimate decays
/// without new samples, so that a stale one cannot refuse work indefinitely.
#ifndef TREFOILMILL_ENDPOINT_LATENCY_ESTIMATE_H_
#define TREFOILMILL_ENDPOINT_LATENCY_ESTIMATE_H_

#include "trefoilmill/time.h"

namespace trefoilmill {

/// The estimate of one endpoint. All values are zero before the first sample;
/// no operation fails with an error.
class endpoint_latency_estimate {
 public:
  /// Adds a latency sample.
  void Observe(time_point now, duration sample);
  /// Mean latency as of the last sample, without decay.
  duration mean() const { return mean_; }
  /// Mean latency, decayed since the last sample.
  duration mean(time_point now) const;
  /// Mean minus two mean deviations, decayed since the last sample: few samples
  /// are lower.
  duration lower_estimate(time_point now) const;
  /// Baseline latency: the lowest mean of 8 consecutive samples. Rises by at
  /// most 2% per 8 samples, to follow an endpoint that became permanently
  /// slower. Zero before the first 8 samples.
  duration baseline() const { return best_; }

 private:
  /// `value`, halved for each half-life since the last sample.
  duration Decayed(time_point now, duration value) const;
  /// Adds a sample to the current window; a full window updates baseline().
  void ObserveWindow(duration sample);

  bool empty_ = true;
  time_point last_;
  duration mean_{};
  duration deviation_{};
  int window_samples_ = 0;
  duration window_sum_{};
  duration best_{};
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_ENDPOINT_LATENCY_ESTIMATE_H_
