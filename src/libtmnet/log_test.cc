#define BOOST_TEST_MODULE log
#include "trefoilmill/net/log.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace trefoilmill {
namespace {

std::vector<nlohmann::json> ReadLines(const std::string& file) {
  std::ifstream in(file);
  std::vector<nlohmann::json> lines;
  std::string line;
  while (std::getline(in, line)) {
    lines.push_back(nlohmann::json::parse(line));
  }
  return lines;
}

}  // namespace

BOOST_AUTO_TEST_CASE(records_at_or_above_the_level_are_json_lines) {
  const std::string file = "log_test." + std::to_string(getpid()) + ".log";
  {
    auto created = logger::Create(
        {.level = log_level::kInfo, .file = file, .host = host_id("h1")});
    BOOST_REQUIRE(created.has_value());
    const auto log = std::move(created).value();
    log->Debug("below the level");
    log_fields fields;
    fields.request = request_id("r-1");
    fields.attempt = attempt_id(UINT64_MAX);
    fields.reason = reason_code::kShed;
    fields.detail = "a \"quoted\"\nline";
    log->Warning("endpoint refused a sub-request", fields);
  }
  const auto lines = ReadLines(file);
  std::remove(file.c_str());
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(lines[0]["level"] == "warning");
  BOOST_TEST(lines[0]["host"] == "h1");
  BOOST_TEST(lines[0]["request"] == "r-1");
  BOOST_TEST(lines[0]["attempt"] == "18446744073709551615");
  BOOST_TEST(lines[0]["reason"] == "shed");
  BOOST_TEST(lines[0]["verdict"] == "not_run");
  BOOST_TEST(lines[0]["detail"] == "a \"quoted\"\nline");
  BOOST_TEST(!lines[0].contains("endpoint"));
}

BOOST_AUTO_TEST_CASE(creation_fails_if_the_file_cannot_be_opened) {
  BOOST_TEST(logger::Create({.level = log_level::kInfo,
                             .file = "no/such/folder/file",
                             .host = host_id("h1")})
                 .has_error());
}

}  // namespace trefoilmill
