#define BOOST_TEST_MODULE metrics
#include "trefoilmill/net/metrics.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

namespace trefoilmill {
namespace {

bool Contains(const std::string& text, const std::string& expected) {
  return text.find(expected) != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_table_defines_every_metric_exactly_once) {
  std::set<metric> ids;
  std::set<std::string> names;
  for (const metric_info& info : MetricsTable()) {
    BOOST_TEST(ids.insert(info.id).second);
    BOOST_TEST(names.insert(info.name).second);
    BOOST_TEST(info.name.starts_with("trefoilmill_"));
    BOOST_TEST(!info.help.empty());
    BOOST_TEST(info.name.ends_with("_total") ==
               (info.kind == metric_kind::kCounter));
    BOOST_TEST(info.buckets.empty() == (info.kind != metric_kind::kHistogram));
  }
  BOOST_TEST(ids.size() ==
             static_cast<std::size_t>(metric::kLogLinesDropped) + 1);
}

BOOST_AUTO_TEST_CASE(values_are_exported_in_the_text_format) {
  const auto values = metrics::Create();
  values->Increment(metric::kRefusals, {"overloaded", "not_run"});
  values->Increment(metric::kRefusals, {"overloaded", "not_run"}, 2);
  values->Set(metric::kZoneOut, 1, {"perth"});
  values->Observe(metric::kQueryDuration, std::chrono::milliseconds(12),
                  {"whole"});
  const std::string text = values->Serialize();
  BOOST_TEST(Contains(text, "# HELP trefoilmill_refusals_total "));
  BOOST_TEST(Contains(text, "# TYPE trefoilmill_refusals_total counter"));
  BOOST_TEST(Contains(text,
                      "trefoilmill_refusals_total{reason=\"overloaded\","
                      "verdict=\"not_run\"} 3"));
  BOOST_TEST(Contains(text, "trefoilmill_zone_out{zone=\"perth\"} 1"));
  BOOST_TEST(Contains(text,
                      "trefoilmill_query_duration_seconds_bucket{outcome="
                      "\"whole\",le=\"0.015\"} 1"),
             text);
  BOOST_TEST(Contains(text, "trefoilmill_ready 0"));
}

BOOST_AUTO_TEST_CASE(counting_a_gauge_has_no_effect) {
  const auto values = metrics::Create();
  values->Increment(metric::kReady);
  BOOST_TEST(Contains(values->Serialize(), "trefoilmill_ready 0"));
}

}  // namespace trefoilmill
