/// Unit of the rate of requests to an endpoint.
#ifndef TREFOILMILL_PROCESS_REQUEST_RATE_H_
#define TREFOILMILL_PROCESS_REQUEST_RATE_H_

#include <chrono>
#include <compare>
#include <cstdint>

#include "trefoilmill/time.h"

namespace trefoilmill {

/// Requests per unit of time, with the resolution of one per thousand seconds.
class request_rate {
 public:
  request_rate() = default;

  static constexpr request_rate PerSecond(double requests) {
    return request_rate(static_cast<std::int64_t>(requests * kMilli));
  }
  static constexpr request_rate PerThousandSeconds(std::int64_t requests) {
    return request_rate(requests);
  }

  constexpr double per_second() const {
    return static_cast<double>(per_thousand_seconds_) / kMilli;
  }
  constexpr std::int64_t per_thousand_seconds() const {
    return per_thousand_seconds_;
  }
  /// Number of requests in `time`.
  constexpr double Over(duration time) const {
    return per_second() * std::chrono::duration<double>(time).count();
  }

  friend auto operator<=>(const request_rate&, const request_rate&) = default;

 private:
  static constexpr double kMilli = 1000;

  explicit constexpr request_rate(std::int64_t per_thousand_seconds)
      : per_thousand_seconds_(per_thousand_seconds) {}

  std::int64_t per_thousand_seconds_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_REQUEST_RATE_H_
