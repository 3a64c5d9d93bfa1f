/// Which responses a caller gets: whole ones. What ends early, or whose end is
/// ambiguous, is a failure.
#define BOOST_TEST_MODULE http_response_framing
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "message_cases_test.h"
#include "net_test_support.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {
namespace {

const std::string no_length_head = ok_head + "Server: s\r\n";

/// What came of one request that is answered with `reply`.
http_result Ask(const std::string& reply, raw_server_action then) {
  const auto loop = MakeLoop();
  raw_server peer(*loop, reply, then);
  const auto connection = http_connection::Create(
      *loop, {kTestIp, peer.port()}, {.accept_close_delimited = true});
  std::optional<bool> connected;
  connection->Connect([&](bool success) { connected = success; });
  BOOST_REQUIRE(RunUntil(*loop, [&] { return connected.has_value(); }));
  std::optional<http_result> result;
  connection->Send({.method = "POST", .path = "/", .body = "{}"},
                   std::chrono::milliseconds(500),
                   [&](const http_result& exchange) { result = exchange; });
  BOOST_REQUIRE(RunUntil(*loop, [&] { return result.has_value(); }));
  return *result;
}

/// The body of a success, or "failed".
std::string BodyOf(const http_result& result) {
  return result.response.has_value() ? result.response->body : "failed";
}

}  // namespace

// Guards against bodies that are cut or of which two readers see different
// ends.
BOOST_AUTO_TEST_CASE(only_whole_responses_are_successes) {
  for (const message_case& c : response_cases) {
    BOOST_TEST_CONTEXT(c.bytes) {
      const http_result result = Ask(c.bytes, raw_server_action::kClose);
      if (!c.accepted) {
        BOOST_TEST((result.failure_reason == http_failure::kMalformed));
      } else if (result.response.has_value()) {
        BOOST_TEST(result.response->body.size() == c.body_bytes);
      }
    }
  }
}

// evhttp takes such a body for empty if anything but "close" is said of the
// connection.
BOOST_AUTO_TEST_CASE(a_body_without_a_length_is_read_to_its_end) {
  for (const std::string connection :
       {"", "Connection: close\r\n", "Connection: keep-alive\r\n",
        "Connection: keep-alive\r\nKeep-Alive: timeout=15\r\n",
        "Connection: x\r\n"}) {
    BOOST_TEST_CONTEXT(connection) {
      const std::string head = no_length_head + connection + "\r\n";
      const std::string body(40000, 'x');
      BOOST_TEST(BodyOf(Ask(head + body, raw_server_action::kClose)) == body);
      BOOST_TEST(BodyOf(Ask(head, raw_server_action::kClose)).empty());
      BOOST_TEST(BodyOf(Ask(head + "abc", raw_server_action::kReset)) ==
                 "failed");
      BOOST_TEST(BodyOf(Ask(head + "abc", raw_server_action::kKeepOpen)) ==
                 "failed");
    }
  }
  BOOST_TEST(BodyOf(Ask("HTTP/1.0 200 OK\r\n\r\nabc",
                        raw_server_action::kClose)) == "abc");
}

BOOST_AUTO_TEST_CASE(a_body_that_ends_early_is_a_failure) {
  const std::string chunked = ok_head + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& reply :
       {ok_head + "Content-Length: 10\r\n\r\nabc", chunked, chunked + "3\r\n",
        chunked + "3\r\nab", chunked + "3\r\nabc\r\n",
        chunked + "3\r\nabc\r\n0\r\n", ok_head,
        ok_head + "Content-Length: 3\r\n"}) {
    BOOST_TEST_CONTEXT(reply) {
      for (const auto then :
           {raw_server_action::kClose, raw_server_action::kReset}) {
        BOOST_TEST(BodyOf(Ask(reply, then)) == "failed");
      }
    }
  }
}

// The interim response says nothing of the request.
BOOST_AUTO_TEST_CASE(an_interim_response_is_no_answer) {
  for (const std::string status : {"100 Continue", "103 Early Hints"}) {
    std::string reply = "HTTP/1.1 ";
    reply.append(status).append("\r\n\r\n").append(ok_head);
    reply.append("Content-Length: 3\r\n\r\nabc");
    const http_result result = Ask(reply, raw_server_action::kKeepOpen);
    if (result.response.has_value()) {
      BOOST_TEST(result.response->status == 200);
      BOOST_TEST(result.response->body == "abc");
    }
  }
}

// evhttp would send another method in its place.
BOOST_AUTO_TEST_CASE(an_unsupported_method_is_not_sent) {
  const auto loop = MakeLoop();
  raw_server peer(*loop, "", raw_server_action::kKeepOpen);
  const auto connection =
      http_connection::Create(*loop, {kTestIp, peer.port()}, {});
  std::optional<bool> connected;
  connection->Connect([&](bool success) { connected = success; });
  BOOST_REQUIRE(RunUntil(*loop, [&] { return connected.has_value(); }));
  std::optional<http_result> result;
  connection->Send({.method = "REPORT", .path = "/"}, std::chrono::seconds(1),
                   [&](const http_result& exchange) { result = exchange; });
  BOOST_REQUIRE(RunUntil(*loop, [&] { return result.has_value(); }));
  BOOST_TEST((result->failure_reason == http_failure::kNotConnected));
  BOOST_TEST(peer.received().empty());
}

}  // namespace trefoilmill
