/// Estimates recent latency quantiles of each service from decaying histograms.
/// Used for the hedging delay and for the expected response time in admission.
#ifndef TREFOILMILL_SERVICE_LATENCY_ESTIMATOR_H_
#define TREFOILMILL_SERVICE_LATENCY_ESTIMATOR_H_

#include <map>
#include <memory>
#include <optional>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Latency quantiles of shard answers, per service. Samples decay with a
/// half-life of 5 s. A service without an answer for 15 s counts as unknown, so
/// that estimates from a past overload cannot cause refusals indefinitely.
class service_latency_estimator {
 public:
  service_latency_estimator();
  ~service_latency_estimator();
  service_latency_estimator(service_latency_estimator&&) noexcept;
  service_latency_estimator& operator=(service_latency_estimator&&) noexcept;

  /// Adds a sample: the time from sending a sub-request to its answer.
  void Record(time_point now, const service_id& service, duration latency);

  /// The `q` quantile (0..1) of the recent latencies of `service`. Returns
  /// nullopt with too few samples or when the last one is too old.
  std::optional<duration> Quantile(time_point now,
                                   const service_id& service,
                                   double q) const;
  /// The `q` quantile over all services together, a fallback for a service with
  /// too few samples. Returns nullopt as Quantile() does.
  std::optional<duration> QuantileOverAll(time_point now, double q) const;

 private:
  struct decaying_histogram;

  void Add(time_point now,
           std::unique_ptr<decaying_histogram>& samples,
           duration latency);
  static std::optional<duration> Quantile(time_point now,
                                          const decaying_histogram* samples,
                                          double q);

  std::unique_ptr<decaying_histogram> all_services_;
  std::map<service_id, std::unique_ptr<decaying_histogram>> services_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_SERVICE_LATENCY_ESTIMATOR_H_
