/// Property tests: the HTTP server and client handle arbitrary malformed input.
#define BOOST_TEST_MODULE http_malformed_input
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "net_test_support.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Fragments of HTTP messages, valid and invalid, which reach deeper into the
// parser than random bytes alone.
rc::Gen<std::string> GenerateFragment() {
  const auto fragments = rc::gen::elementOf(
      std::vector<std::string>{"GET / HTTP/1.1\r\n",
                               "POST /x?a=%zz HTTP/1.1\r\n",
                               "PUT  HTTP/9.9\r\n",
                               "BREW /pot HTTP/1.1\r\n",
                               "GET /\r\n",
                               "HTTP/1.1 200 OK\r\n",
                               "HTTP/1.1 100 Continue\r\n\r\n",
                               "HTTP/1.1 -7 \r\n",
                               "HTTP/1.0 204\r\n",
                               "Content-Length: 3\r\n",
                               "Content-Length: -1\r\n",
                               "Content-Length: 99999999999999999999\r\n",
                               "Transfer-Encoding: chunked\r\n",
                               "Expect: 100-continue\r\n",
                               "Connection: close\r\n",
                               "Connection: keep-alive\r\n",
                               ": \r\n",
                               "X: y\r\n continued\r\n",
                               "\r\n",
                               "\r\n\r\n",
                               "abc",
                               "3\r\nabc\r\n",
                               "ffffffffffffffff\r\n",
                               "0\r\n\r\n",
                               std::string(3000, 'h') + ": v\r\n",
                               std::string("\0\xff\x80", 3)});
  return rc::gen::oneOf(fragments, fragments, fragments,
                        rc::gen::arbitrary<std::string>());
}

rc::Gen<std::vector<std::string>> GenerateFragments() {
  return rc::gen::resize(
      12, rc::gen::container<std::vector<std::string>>(GenerateFragment()));
}

std::string Join(const std::vector<std::string>& fragments) {
  std::string joined;
  for (const auto& fragment : fragments) {
    joined += fragment;
  }
  return joined;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_server_survives_malformed_requests) {
  const auto loop = MakeLoop();
  http_server_options options;
  options.max_body_bytes = 1000;
  options.max_header_bytes = 1000;
  const auto server = http_server::Listen(
      *loop, {kTestIp, 0}, options,
      [](const http_request& request, const http_responder& responder) {
        responder.Send({.body = request.body});
      });
  const std::uint16_t port = server.value()->port();
  http_client client(*loop);
  BOOST_TEST(rc::check([&] {
    const auto fragments = *GenerateFragments();
    raw_client peer(*loop, port);
    for (const auto& fragment : fragments) {
      peer.Write(fragment);
      RunFor(*loop, duration(200));
    }
    std::optional<http_result> exchange;
    client.Send({kTestIp, port}, {.method = "GET", .path = "/"}, seconds(10),
                [&](const http_result& result) { exchange = result; });
    RC_ASSERT(RunUntil(*loop, [&] { return exchange.has_value(); }));
    RC_ASSERT(exchange->response.has_value());
    RC_ASSERT(exchange->response->status == 200);
  }));
  // Only the pooled connection of `client` may stay open.
  BOOST_TEST(
      RunUntil(*loop, [&] { return server.value()->open_connections() <= 1; }));
  BOOST_TEST(server.value()->requests_in_progress() == 0U);
}

BOOST_AUTO_TEST_CASE(a_client_sends_once_and_calls_back_once) {
  const auto loop = MakeLoop();
  BOOST_TEST(rc::check([&] {
    const auto action_after_read =
        *rc::gen::element(raw_server_action::kKeepOpen,
                          raw_server_action::kClose, raw_server_action::kReset);
    raw_server peer(*loop, Join(*GenerateFragments()), action_after_read);
    const auto connection =
        http_connection::Create(*loop, {kTestIp, peer.port()}, {});
    std::optional<bool> connected;
    connection->Connect([&](bool success) { connected = success; });
    RC_ASSERT(RunUntil(*loop, [&] { return connected.has_value(); }));
    int callback_count = 0;
    connection->Send({.method = "POST", .path = "/only", .body = "{}"},
                     milliseconds(20), [&](const http_result& exchange) {
                       ++callback_count;
                       RC_ASSERT(exchange.response.has_value() !=
                                 exchange.failure_reason.has_value());
                     });
    RC_ASSERT(RunUntil(*loop, [&] { return callback_count > 0; }));
    RunFor(*loop, milliseconds(1));
    RC_ASSERT(callback_count == 1);
    RC_ASSERT(!connection->busy());
    RC_ASSERT(peer.accepted() == 1);
    const std::string& received = peer.received();
    RC_ASSERT(received.find("/only") == received.rfind("/only"));
  }));
}

}  // namespace trefoilmill
