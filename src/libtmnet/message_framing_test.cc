/// Which bytes are taken for one message, and which are rejected.
#define BOOST_TEST_MODULE message_framing
#include "message_framing.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "message_cases_test.h"

namespace trefoilmill {
namespace {

using fault = message_framing::fault;
constexpr std::size_t kMaxLineBytes = 1000;

/// Feeds `bytes` in two parts, and compares.
void Check(message_framing framing, const message_case& c, std::size_t split) {
  framing.Consume(std::string_view(c.bytes).substr(0, split));
  framing.Consume(std::string_view(c.bytes).substr(split));
  BOOST_REQUIRE(!framing.empty());
  const message_framing::message found = framing.TakeFront();
  BOOST_TEST((found.found == fault::kNone) == c.accepted);
  BOOST_TEST(found.complete == c.accepted);
  if (c.accepted) {
    BOOST_TEST(found.body_bytes == c.body_bytes);
    BOOST_TEST(framing.empty());
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(requests_are_read_strictly_however_they_are_split) {
  for (const message_case& c : request_cases) {
    BOOST_TEST_CONTEXT(c.bytes) {
      for (std::size_t split = 0; split <= c.bytes.size(); ++split) {
        Check(message_framing::ForRequests(kMaxLineBytes), c, split);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(responses_are_read_strictly_however_they_are_split) {
  for (const message_case& c : response_cases) {
    BOOST_TEST_CONTEXT(c.bytes) {
      for (std::size_t split = 0; split <= c.bytes.size(); ++split) {
        Check(message_framing::ForResponse(kMaxLineBytes, false), c, split);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_request_behind_another_is_read_by_itself) {
  for (const message_case& c : request_cases) {
    BOOST_TEST_CONTEXT(c.bytes) {
      auto framing = message_framing::ForRequests(kMaxLineBytes);
      framing.Consume(request_head + "Content-Length: 5\r\n\r\nGET /");
      framing.Consume(c.bytes);
      BOOST_TEST(framing.TakeFront().complete);
      BOOST_REQUIRE(!framing.empty());
      BOOST_TEST(framing.front().complete == c.accepted);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_response_without_a_length_ends_with_its_connection) {
  auto framing = message_framing::ForResponse(kMaxLineBytes, false);
  framing.Consume(ok_head + "Connection: keep-alive\r\n\r\nabc");
  framing.Consume("d");
  BOOST_TEST(framing.front().ends_with_connection);
  BOOST_TEST(!framing.front().complete);
  BOOST_TEST(framing.front().body_bytes == 4U);
}

BOOST_AUTO_TEST_CASE(a_response_to_a_head_request_has_no_body) {
  auto framing = message_framing::ForResponse(kMaxLineBytes, true);
  framing.Consume(ok_head + "Content-Length: 300\r\n\r\n");
  BOOST_TEST(framing.front().complete);
}

BOOST_AUTO_TEST_CASE(a_line_without_end_is_not_kept) {
  auto framing = message_framing::ForRequests(kMaxLineBytes);
  framing.Consume("GET /" + std::string(kMaxLineBytes, 'a'));
  BOOST_TEST((framing.front().found == fault::kTooLong));
}

// Whatever comes, in whatever parts, is read in the same way, and no bytes of a
// body of a stated length are read as a message.
BOOST_AUTO_TEST_CASE(any_bytes_are_read_in_the_same_way_in_any_parts) {
  const auto holds = [](const std::vector<std::string>& parts) {
    std::string body;
    for (const std::string& part : parts) {
      body += part;
    }
    const std::string whole =
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body + "GET /next HTTP/1.1\r\n\r\n";
    auto at_once = message_framing::ForRequests(kMaxLineBytes);
    at_once.Consume(whole);
    auto by_byte = message_framing::ForRequests(kMaxLineBytes);
    for (const char c : whole) {
      by_byte.Consume(std::string_view(&c, 1));
    }
    for (message_framing* framing : {&at_once, &by_byte}) {
      const auto first = framing->TakeFront();
      RC_ASSERT(first.complete);
      RC_ASSERT(first.body_bytes == body.size());
      RC_ASSERT(!framing->empty());
      RC_ASSERT(framing->TakeFront().complete);
      RC_ASSERT(framing->empty());
    }
  };
  BOOST_TEST(rc::check("bodies are not read as messages", holds));
}

}  // namespace trefoilmill
