#define BOOST_TEST_MODULE entry_settings_codec
#include "trefoilmill/wire/entry_settings_codec.h"

#include <boost/test/unit_test.hpp>

namespace trefoilmill {
namespace {

constexpr char kSettings[] = R"({
  // Filled in by the platform.
  "host": "front-perth-yard-1",
  "availability_zone": "perth-yard",
  "callers": "10.1.0.39:8226",
  "readiness": "10.1.0.39:8227",
  "directory": "10.1.0.39:8225",
  "peer_port": 7740,
  "store": "10.200.1.7:8229",
  "seeds": ["10.1.0.39:8224", "10.2.0.33:8224"],
  "processor_share": 0.25,
  "memory_mb": 112,
  "max_descriptors": 2870,
  "grace_s": 6,
  "drain_ms": 3000,
  "extra_send_ratio": 0.2,
  "extra_send_slack": 54,
  "extra_send_window_s": 10
})";

std::string With(const std::string& from, const std::string& to) {
  std::string text = kSettings;
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

BOOST_AUTO_TEST_CASE(settings_are_read) {
  const auto parsed = ParseEntrySettings(kSettings, "node.jsonc");
  BOOST_TEST_REQUIRE(parsed.value.has_value());
  const entry_settings& settings = *parsed.value;
  BOOST_TEST(settings.host.value() == "front-perth-yard-1");
  BOOST_TEST(settings.callers.port == 8226);
  BOOST_TEST(settings.peers.ip == "10.1.0.39");
  BOOST_TEST(settings.peers.port == 7740);
  BOOST_TEST(settings.seed_ips.size() == 2U);
  BOOST_TEST(settings.processor_share == 0.25);
  BOOST_TEST(settings.processor_speed == 1);
  BOOST_TEST((settings.grace == std::chrono::seconds(6)));
  BOOST_TEST((settings.drain == std::chrono::seconds(3)));
  BOOST_TEST(settings.extra_sends.slack == 54);
  BOOST_TEST(settings.metrics_port == 0);
  BOOST_TEST(settings.memory_bytes == 112U << 20U);
  BOOST_TEST(settings.max_descriptors == 2870U);
}

BOOST_AUTO_TEST_CASE(each_error_has_its_place) {
  const auto parsed = ParseEntrySettings(
      With("\"10.1.0.39:8226\"", "\"nowhere\""), "node.jsonc");
  BOOST_TEST(!parsed.value.has_value());
  BOOST_TEST_REQUIRE(!parsed.errors.empty());
  BOOST_TEST(parsed.errors.front().key == "callers");
  BOOST_TEST(parsed.errors.front().line == 5);
  for (const auto& [from, to] :
       {std::pair{"\"grace_s\": 6", "\"grace_s\": -1"},
        std::pair{"\"grace_s\": 6", "\"graces\": 6"},
        std::pair{"\"processor_share\": 0.25", "\"processor_share\": 0"},
        std::pair{"\"memory_mb\": 112", "\"memory_mb\": 0"},
        std::pair{"\"max_descriptors\": 2870", "\"max_descriptors\": -1"},
        std::pair{"\"peer_port\": 7740", "\"peer_port\": 77400"},
        std::pair{"\"10.2.0.33:8224\"", "7"}, std::pair{"{", "["}}) {
    BOOST_TEST(!ParseEntrySettings(With(from, to), "f").value.has_value(), to);
  }
}

}  // namespace trefoilmill
