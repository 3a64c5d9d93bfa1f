#define BOOST_TEST_MODULE latency_histogram
#include "trefoilmill/process/latency_histogram.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(few_samples_tell_nothing) {
  latency_histogram histogram;
  for (std::uint32_t i = 1; i < latency_histogram::kMinSamples; ++i) {
    histogram.Record(milliseconds(10));
  }
  BOOST_TEST(!histogram.Quantile(0.5).has_value());
}

BOOST_AUTO_TEST_CASE(quantiles_are_right_to_about_a_tenth) {
  latency_histogram histogram;
  for (int ms = 1; ms <= 100; ++ms) {
    histogram.Record(milliseconds(ms));
  }
  const double median = ToMilliseconds(*histogram.Quantile(0.5));
  const double high = ToMilliseconds(*histogram.Quantile(0.9));
  BOOST_TEST(median >= 49);
  BOOST_TEST(median <= 57);
  BOOST_TEST(high >= 88);
  BOOST_TEST(high <= 101);
}

BOOST_AUTO_TEST_CASE(recent_samples_outweigh_old_ones) {
  latency_histogram histogram;
  for (int i = 0; i < 5000; ++i) {
    histogram.Record(milliseconds(10));
  }
  for (int i = 0; i < 2000; ++i) {
    histogram.Record(milliseconds(100));
  }
  BOOST_TEST(ToMilliseconds(*histogram.Quantile(0.5)) > 90);
}

BOOST_AUTO_TEST_CASE(extreme_latencies_stay_in_range) {
  latency_histogram histogram;
  for (int i = 0; i < 50; ++i) {
    histogram.Record(duration::zero());
    histogram.Record(std::chrono::hours(1));
  }
  BOOST_TEST(ToMilliseconds(*histogram.Quantile(0.01)) <= 0.1);
  BOOST_TEST(ToMilliseconds(*histogram.Quantile(1)) > 10000);
}

}  // namespace trefoilmill
