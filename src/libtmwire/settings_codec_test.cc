#define BOOST_TEST_MODULE settings_codec
#include "trefoilmill/wire/settings_codec.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

namespace trefoilmill {
namespace {

const std::string good_text = R"({
  // Who this process is.
  "organisation": "pemberton", "host": "h1", "zone": "perth",
  "callers": {"ip": "127.0.0.1", "port": 8000},
  "administration": {"ip": "127.0.0.1", "port": 8001},
  "peers": {"ip": "127.0.0.1", "port": 8002},
  "store": {"ip": "127.0.0.1", "port": 9000},
  "store_timeout_ms": 1500.5, "log_level": "warning", "seed": 7
})";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const auto found = text.find(from);
  BOOST_REQUIRE(found != std::string::npos);
  return text.replace(found, from.size(), to);
}

bool Has(const parsed_settings<daemon_settings>& parsed,
         int line,
         const std::string& key,
         const std::string& words) {
  return std::ranges::any_of(parsed.errors, [&](const config_error& error) {
    return error.file == "f" && error.line == line && error.key == key &&
           error.message.find(words) != std::string::npos;
  });
}

}  // namespace

BOOST_AUTO_TEST_CASE(good_settings_are_read_with_defaults) {
  const auto parsed = ParseDaemonSettings(good_text, "f");
  BOOST_REQUIRE(parsed.value.has_value());
  BOOST_TEST(parsed.value->host.value() == "h1");
  BOOST_TEST(parsed.value->callers.port == 8000);
  BOOST_TEST(parsed.value->store_timeout.count() == 1500500);
  BOOST_TEST((parsed.value->log == log_level::kWarning));
  BOOST_TEST(parsed.value->timeline_capacity ==
             daemon_settings().timeline_capacity);
}

BOOST_AUTO_TEST_CASE(relayed_addresses_are_advertised) {
  const auto plain = ParseDaemonSettings(good_text, "f");
  BOOST_REQUIRE(plain.value.has_value());
  BOOST_TEST(!plain.value->advertised_peers.has_value());
  const auto relayed = ParseDaemonSettings(
      Replace(good_text, "\"store\"",
              R"("advertised_peers": {"ip": "127.0.0.9", "port": 9002},
                 "store")"),
      "f");
  BOOST_REQUIRE(relayed.value.has_value());
  BOOST_TEST(relayed.value->advertised_peers->port == 9002);
  BOOST_TEST(!relayed.value->advertised_callers.has_value());
}

BOOST_AUTO_TEST_CASE(every_error_is_reported_with_its_place) {
  std::string text = Replace(good_text, "\"port\": 8000", "\"port\": 80000");
  text = Replace(text, "\"port\": 8001", "\"prot\": 8001");
  text = Replace(text, "\"zone\": \"perth\"", "\"zone\": 3");
  text = Replace(text, "1500.5", "-1");
  const auto parsed = ParseDaemonSettings(text, "f");
  BOOST_TEST(!parsed.value.has_value());
  BOOST_TEST(Has(parsed, 4, "callers.port", "from 1 to 65535"));
  BOOST_TEST(Has(parsed, 5, "administration.prot", "nearest is \"port\""));
  BOOST_TEST(Has(parsed, 5, "administration.port", "is required"));
  BOOST_TEST(Has(parsed, 3, "zone", "must be a string"));
  BOOST_TEST(Has(parsed, 8, "store_timeout_ms", "from 1 to 60000"));
  BOOST_TEST(parsed.errors.size() == 5U);
}

BOOST_AUTO_TEST_CASE(broken_syntax_is_one_error_with_its_line) {
  const auto parsed = ParseDaemonSettings(
      Replace(good_text, "\"seed\": 7", "\"seed\": 7,\n ,"), "f");
  BOOST_REQUIRE(parsed.errors.size() == 1U);
  BOOST_TEST(parsed.errors[0].line == 9);
}

BOOST_AUTO_TEST_CASE(line_of_a_number_before_a_line_end_is_its_own) {
  const auto parsed = ParseDaemonSettings(
      Replace(good_text, "\"seed\": 7", "\"seed\": -7"), "f");
  BOOST_TEST(Has(parsed, 8, "seed", "whole number"));
}

BOOST_AUTO_TEST_CASE(a_key_that_occurs_twice_is_an_error) {
  const auto parsed = ParseDaemonSettings(
      Replace(good_text, "\"seed\": 7", "\"seed\": 7, \"seed\": 8"), "f");
  BOOST_TEST(Has(parsed, 8, "seed", "twice"));
}

BOOST_AUTO_TEST_CASE(own_addresses_must_differ) {
  const auto parsed = ParseDaemonSettings(
      Replace(good_text, "\"port\": 8002", "\"port\": 8000"), "f");
  BOOST_TEST(Has(parsed, 6, "peers", "callers"));
}

}  // namespace trefoilmill
