#define BOOST_TEST_MODULE hand_over_codec
#include "trefoilmill/wire/hand_over_codec.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

namespace trefoilmill {

// The text is one header: names of services may have any characters.
BOOST_AUTO_TEST_CASE(any_names_survive_as_one_line_of_ascii) {
  const handed_over_request handed_over{
      .id = request_id("r-1"),
      .attempts = {
          {.service = service_id("Käse \"1\"\r\nX: y"),
           .endpoints = {endpoint_id("i-7"), endpoint_id("i,9")}},
          {.service = service_id(""), .endpoints = {endpoint_id("i-8")}}}};
  const std::string text = EncodeHandOver(handed_over);
  BOOST_TEST(
      std::ranges::all_of(text, [](char c) { return c >= ' ' && c <= '~'; }));
  const auto decoded = DecodeHandOver(text);
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded.value().id == handed_over.id);
  BOOST_TEST((decoded.value().attempts == handed_over.attempts));
}

// A request without known attempts would be sent to as many endpoints again.
BOOST_AUTO_TEST_CASE(a_text_that_names_no_endpoint_is_malformed) {
  for (const std::string text :
       {"", "[]", "{}", R"({"request":"r"})", R"({"sent_to":[["s",["e"]]]})",
        R"({"request":"r","sent_to":[]})",
        R"({"request":"r","sent_to":[["s",[]]]})",
        R"({"request":"r","sent_to":[["s"]]})",
        R"({"request":"r","sent_to":[["s",["e"],1]]})",
        R"({"request":"r","sent_to":[[1,["e"]]]})",
        R"({"request":"r","sent_to":[["s",[1]]]})",
        R"({"request":1,"sent_to":[["s",["e"]]]})"}) {
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST(DecodeHandOver(text).has_error());
    }
  }
}

}  // namespace trefoilmill
