/// Tests of the options for proxies, which forward targets, headers and bodies
/// unchanged.
#define BOOST_TEST_MODULE http_passthrough
#include <boost/test/unit_test.hpp>

#include "net_test_support.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct fixture {
  std::unique_ptr<event_loop> loop = MakeLoop();
  std::unique_ptr<http_connection> connection;

  // Sends a request on a new connection and waits for its result.
  http_result SendAndWait(std::uint16_t port, const http_request& request) {
    connection = http_connection::Create(*loop, {kTestIp, port},
                                         {.accept_close_delimited = true});
    std::optional<http_result> exchange;
    connection->Connect([&](bool) {
      connection->Send(request, seconds(10), [&](http_result result) {
        exchange = std::move(result);
      });
    });
    BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return exchange.has_value(); }));
    return *exchange;
  }
};

// A request with a target, which is sent unmodified.
http_request MakeRawRequest() {
  http_request request;
  request.method = "PUT";
  request.target = "/a%2Fb//c?x=%20y&&z";
  request.headers = {{"Host", "shop.example"}, {"X-Own", "1"}};
  request.body = "four";
  return request;
}

}  // namespace

BOOST_FIXTURE_TEST_CASE(target_and_headers_are_sent_unmodified, fixture) {
  raw_server peer(*loop, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                  raw_server_action::kKeepOpen);
  SendAndWait(peer.port(), MakeRawRequest());
  const std::string& sent = peer.received();
  BOOST_TEST(sent.starts_with("PUT /a%2Fb//c?x=%20y&&z HTTP/1.1\r\n"));
  BOOST_TEST(sent.find("Host: shop.example\r\n") != std::string::npos);
  BOOST_TEST(sent.find("Content-Length: 4\r\n") != std::string::npos);
  BOOST_TEST(sent.find("Content-Type") == std::string::npos);
  BOOST_TEST(sent.ends_with("\r\n\r\nfour"));
}

BOOST_FIXTURE_TEST_CASE(a_close_delimited_body_is_accepted, fixture) {
  raw_server peer(*loop, "HTTP/1.1 200 OK\r\n\r\nwhole",
                  raw_server_action::kClose);
  const http_result exchange = SendAndWait(peer.port(), MakeRawRequest());
  BOOST_TEST_REQUIRE(exchange.response.has_value());
  BOOST_TEST(exchange.response->body == "whole");
  BOOST_TEST(!connection->connected());
}

BOOST_FIXTURE_TEST_CASE(a_close_delimited_body_fails_on_reset, fixture) {
  raw_server peer(*loop, "HTTP/1.1 200 OK\r\n\r\npart",
                  raw_server_action::kReset);
  BOOST_TEST(
      SendAndWait(peer.port(), MakeRawRequest()).failure_reason.has_value());
}

BOOST_FIXTURE_TEST_CASE(a_target_only_server_passes_the_target_as_received,
                        fixture) {
  std::string received_target;
  auto server = http_server::Listen(
      *loop, {kTestIp, 0}, {.target_only = true},
      [&](const http_request& request, const http_responder& responder) {
        received_target = request.target;
        BOOST_TEST(request.path.empty());
        responder.Send({.status = 200});
      });
  BOOST_TEST_REQUIRE(server.has_value());
  SendAndWait(server.value()->port(), MakeRawRequest());
  BOOST_TEST(received_target == MakeRawRequest().target);
}

BOOST_FIXTURE_TEST_CASE(close_idle_keeps_busy_connections, fixture) {
  std::vector<http_responder> responders;
  auto server = http_server::Listen(
      *loop, {kTestIp, 0}, {},
      [&](const http_request&, const http_responder& responder) {
        responders.push_back(responder);
      });
  BOOST_TEST_REQUIRE(server.has_value());
  const socket_address address{kTestIp, server.value()->port()};
  auto idle = http_connection::Create(*loop, address, {});
  auto busy = http_connection::Create(*loop, address, {});
  std::optional<http_result> exchange;
  bool idle_open = false;
  bool idle_closed = false;
  idle->OnClosed([&] { idle_closed = true; });
  idle->Connect([&](bool) { idle_open = true; });
  busy->Connect([&](bool) {
    busy->Send(MakeRawRequest(), seconds(10),
               [&](http_result result) { exchange = std::move(result); });
  });
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] {
    return idle_open && responders.size() == 1 &&
           server.value()->open_connections() == 2;
  }));
  server.value()->CloseIdleConnections(loop->Now() + seconds(10));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return idle_closed; }));
  responders.front().Send({.status = 200});
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return exchange.has_value(); }));
  BOOST_TEST(exchange->response.has_value());
}

}  // namespace trefoilmill
