/// How long a stand-in endpoint works on a request.
#ifndef TREFOILMILL_TM_ENDPOINT_SERVICE_TIME_H_
#define TREFOILMILL_TM_ENDPOINT_SERVICE_TIME_H_

#include <cstdint>
#include <string>
#include <variant>

namespace trefoilmill {

struct fixed_time {
  double milliseconds = 1;
};

struct lognormal_time {
  double median_milliseconds = 1;
  double sigma = 0;
};

using service_time = std::variant<fixed_time, lognormal_time>;

/// The service time of one attempt in milliseconds; the same for the same
/// `seed` and `attempt`, whatever else was drawn.
double DrawMilliseconds(const service_time& times,
                        std::uint64_t seed,
                        const std::string& attempt);

}  // namespace trefoilmill

#endif  // TREFOILMILL_TM_ENDPOINT_SERVICE_TIME_H_
