#define BOOST_TEST_MODULE service_latency_estimator
#include "trefoilmill/service_latency_estimator.h"

#include <boost/test/unit_test.hpp>

#include "entry_test_fixture.h"

namespace trefoilmill {
namespace {
const service_id test_service("s");
}

BOOST_AUTO_TEST_CASE(quantiles_are_accurate_to_about_one_bin) {
  service_latency_estimator latencies;
  for (int sample = 1; sample <= 1000; ++sample)
    latencies.Record(At(0), test_service, Ms(sample));
  for (const double q : {0.5, 0.95, 0.99}) {
    const double found =
        ToMilliseconds(*latencies.Quantile(At(0), test_service, q));
    BOOST_TEST(found > q * 1000 * 0.94);
    BOOST_TEST(found < q * 1000 * 1.06);
  }
}

BOOST_AUTO_TEST_CASE(no_estimate_with_too_few_or_stale_samples) {
  service_latency_estimator latencies;
  latencies.Record(At(0), test_service, Ms(1));
  BOOST_TEST(!latencies.Quantile(At(0), test_service, 0.5));
  for (int sample = 0; sample < 100; ++sample)
    latencies.Record(At(0), test_service, Ms(1));
  BOOST_TEST(latencies.Quantile(At(0), test_service, 0.5).has_value());
  BOOST_TEST(!latencies.Quantile(At(60000), test_service, 0.5));
}

BOOST_AUTO_TEST_CASE(old_samples_decay) {
  service_latency_estimator latencies;
  for (int sample = 0; sample < 100; ++sample)
    latencies.Record(At(0), test_service, Ms(1000));
  for (int sample = 0; sample < 100; ++sample)
    latencies.Record(At(30000), test_service, Ms(10));
  BOOST_TEST((*latencies.Quantile(At(30000), test_service, 0.95) < Ms(20)));
}

BOOST_AUTO_TEST_CASE(quantile_over_all_covers_a_service_without_samples) {
  service_latency_estimator latencies;
  BOOST_TEST(!latencies.QuantileOverAll(At(0), 0.5));
  for (int sample = 0; sample < 20; ++sample)
    latencies.Record(At(0), test_service, Ms(10));
  BOOST_TEST(!latencies.Quantile(At(0), service_id("other"), 0.5));
  BOOST_TEST(latencies.QuantileOverAll(At(0), 0.5).has_value());
}

}  // namespace trefoilmill
