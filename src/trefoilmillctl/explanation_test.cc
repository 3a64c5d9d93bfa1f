#define BOOST_TEST_MODULE explanation
#include "explanation.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace trefoilmill {
namespace {

read_log_line Line(int second,
                   const std::string& host,
                   const std::string& message,
                   const log_fields& fields = {}) {
  const log_record record{
      .wall_us = static_cast<std::uint64_t>(second) * 1'000'000,
      .host = host_id(host),
      .message = message,
      .fields = fields};
  const auto read = ReadLogLine(WriteLogRecord(record));
  BOOST_TEST_REQUIRE(read.has_value());
  return *read;
}

const request_id request("08750318a8aec8e2");

std::vector<read_log_line> Logs() {
  return {
      Line(9, "a", "request ended late or incomplete",
           {.request = request,
            .reason = reason_code::kNoReplica,
            .inputs = {{"sends", std::int64_t{0}}}}),
      Line(5, "a", "configuration in force", {.at = revision(530)}),
      Line(2, "a", "configuration in force", {.at = revision(500)}),
      Line(12, "a", "configuration in force", {.at = revision(540)}),
      Line(6, "b", "store lost"),
      Line(7, "a", "store lost"),
      Line(8, "a", "endpoint refused a request",
           {.request = request, .endpoint = endpoint_id("e1")}),
      Line(4, "a", "endpoint announced", {.endpoint = endpoint_id("e1")}),
      Line(4, "a", "endpoint announced", {.endpoint = endpoint_id("e2")}),
      Line(8, "a", "request ended late or incomplete",
           {.request = request_id("another")}),
  };
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_request_is_told_in_the_order_of_time) {
  const explanation found = Explain(Logs(), request);
  BOOST_TEST_REQUIRE(found.events.size() == 2U);
  BOOST_TEST(found.events[0].message == "endpoint refused a request");
  BOOST_TEST(found.events[1].details.find("reason=no_replica") !=
             std::string::npos);
  BOOST_TEST(found.events[1].details.find("sends=0") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(beliefs_are_the_latest_of_hosts_that_handled_it) {
  const explanation found = Explain(Logs(), request);
  BOOST_TEST_REQUIRE(found.beliefs.size() == 3U);
  BOOST_TEST(found.beliefs[0].endpoint.value() == "e1");
  BOOST_TEST(found.beliefs[1].details.find("revision=530") !=
             std::string::npos);
  BOOST_TEST(found.beliefs[2].message == "store lost");
  BOOST_TEST(found.beliefs[2].host.value() == "a");
}

BOOST_AUTO_TEST_CASE(a_request_that_no_line_names_has_no_explanation) {
  const explanation found = Explain(Logs(), request_id("unheard-of"));
  BOOST_TEST(found.events.empty());
  BOOST_TEST(found.beliefs.empty());
}

BOOST_AUTO_TEST_CASE(programs_get_the_lines_as_logged) {
  const auto whole = nlohmann::json::parse(ToJson(Explain(Logs(), request)));
  BOOST_TEST(whole["events"].size() == 2U);
  BOOST_TEST(whole["events"][1]["sends"] == 0);
}

BOOST_AUTO_TEST_CASE(what_is_no_line_of_a_log_is_told_apart) {
  for (const char* line : {"", "noise", "[]", R"({"time":"x"})", "{"}) {
    BOOST_TEST(!ReadLogLine(line).has_value());
  }
}

}  // namespace trefoilmill
