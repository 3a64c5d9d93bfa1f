#include "tm_endpoint/service_time.h"

#include <xxhash.h>

#include <cmath>
#include <random>

namespace trefoilmill {

namespace {

struct drawing {
  std::mt19937_64& generator;

  double operator()(const fixed_time& time) const { return time.milliseconds; }
  double operator()(const lognormal_time& time) const {
    std::lognormal_distribution<double> distribution(
        std::log(time.median_milliseconds), time.sigma);
    return distribution(generator);
  }
};

}  // namespace

double DrawMilliseconds(const service_time& times,
                        std::uint64_t seed,
                        const std::string& attempt) {
  std::mt19937_64 generator(
      XXH3_64bits_withSeed(attempt.data(), attempt.size(), seed));
  return std::visit(drawing{generator}, times);
}

}  // namespace trefoilmill
