/// Tests that documents are split into parts and put together without loss.
#define BOOST_TEST_MODULE document_splitter
#include "trefoilmill/wire/document_splitter.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>

namespace trefoilmill {
namespace {

/// The texts of the parts, by section.
std::multimap<std::string, std::string> TextsOf(const std::string& document) {
  const auto split = SplitDocument(document);
  BOOST_TEST_REQUIRE(split.has_value());
  std::multimap<std::string, std::string> texts;
  for (const shared_part& p : split.value().Parts()) {
    texts.emplace(p->section(), p->text());
  }
  return texts;
}

}  // namespace

BOOST_AUTO_TEST_CASE(elements_of_lists_and_other_members_are_parts) {
  const auto texts = TextsOf(
      R"( { "version" : 7 , "routes":[ {"a": [1, "]"]} ,2,"x"],
          "limits":{"b":{"c":[]}}, "tenants":[], "note":"[\"", "off":null } )");
  const std::multimap<std::string, std::string> expected = {
      {"version", "7"},
      {"routes[]", R"({"a": [1, "]"]})"},
      {"routes[]", "2"},
      {"routes[]", R"("x")"},
      {"limits", R"({"b":{"c":[]}})"},
      {"tenants", "[]"},
      {"note", R"("[\"")"},
      {"off", "null"}};
  std::multimap<std::string, std::string> sorted_expected(expected);
  BOOST_TEST(texts.size() == sorted_expected.size());
  for (const auto& [section, text] : sorted_expected) {
    const auto [first, last] = texts.equal_range(section);
    BOOST_TEST(
        std::any_of(first, last,
                    [&](const auto& found) { return found.second == text; }),
        section << " " << text);
  }
}

BOOST_AUTO_TEST_CASE(a_document_survives_but_for_the_order_of_lists) {
  const std::string text =
      R"({"version":7,"routes":[{"n":1},{"n":2},{"n":3}],"limits":{"x":1.5},
          "tenants":[],"\u0061\"b":true})";
  const auto split = SplitDocument(text);
  BOOST_TEST_REQUIRE(split.has_value());
  auto joined = nlohmann::json::parse(JoinDocument(split.value()));
  std::sort(joined["routes"].begin(), joined["routes"].end());
  BOOST_TEST((joined == nlohmann::json::parse(text)));
  BOOST_TEST(
      (SplitDocument(JoinDocument(split.value())).value() == split.value()));
}

BOOST_AUTO_TEST_CASE(what_is_no_object_is_refused) {
  for (const std::string wrong :
       {"", " ", "[]", "7", "\"a\"", "null", "{", "{\"a\":[1,2}", "{\"a\"}",
        "{\"a\":1} x", "{\"a\":\"\xff\"}", "{\"a\":[1,", "{\"a\":\"b}"}) {
    const auto split = SplitDocument(wrong);
    BOOST_TEST(split.has_error(), wrong);
    if (split.has_error()) {
      BOOST_TEST(!split.error().detail.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(deep_nesting_is_refused_or_left_to_the_part_s_decoder) {
  const std::string deep(100'000, '[');
  BOOST_TEST(SplitDocument("{\"a\":" + deep).has_error());
  const auto closed =
      SplitDocument("{\"a\":" + deep + std::string(100'000, ']') + "}");
  BOOST_TEST((closed.has_error() || closed.value().size() == 1U));
}

BOOST_AUTO_TEST_CASE(a_member_named_like_a_list_s_elements_is_ignored) {
  BOOST_TEST(TextsOf(R"({"routes[]":{"n":1},"a":1})").size() == 1U);
}

}  // namespace trefoilmill
