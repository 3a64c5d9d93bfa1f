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

  http_exchange Ask(std::uint16_t port, const http_request& request) {
    connection = http_connection::Create(*loop, {kTestIp, port},
                                         {.accept_close_delimited = true});
    std::optional<http_exchange> reply;
    connection->Connect([&](bool) {
      connection->Send(request, seconds(10),
                       [&](http_exchange got) { reply = std::move(got); });
    });
    BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return reply.has_value(); }));
    return *reply;
  }
};

http_request Given() {
  http_request request;
  request.method = "PUT";
  request.target = "/a%2Fb//c?x=%20y&&z";
  request.headers = {{"Host", "shop.example"}, {"X-Own", "1"}};
  request.body = "four";
  return request;
}

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_given_target_and_headers_travel_unchanged, fixture) {
  raw_server peer(*loop, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                  raw_action::kIgnore);
  Ask(peer.port(), Given());
  const std::string& sent = peer.received();
  BOOST_TEST(sent.starts_with("PUT /a%2Fb//c?x=%20y&&z HTTP/1.1\r\n"));
  BOOST_TEST(sent.find("Host: shop.example\r\n") != std::string::npos);
  BOOST_TEST(sent.find("Content-Length: 4\r\n") != std::string::npos);
  BOOST_TEST(sent.find("Content-Type") == std::string::npos);
  BOOST_TEST(sent.ends_with("\r\n\r\nfour"));
}

BOOST_FIXTURE_TEST_CASE(a_body_may_end_with_the_connection, fixture) {
  raw_server peer(*loop, "HTTP/1.1 200 OK\r\n\r\nwhole", raw_action::kClose);
  const http_exchange got = Ask(peer.port(), Given());
  BOOST_TEST_REQUIRE(got.response.has_value());
  BOOST_TEST(got.response->body == "whole");
  BOOST_TEST(!connection->connected());
}

BOOST_FIXTURE_TEST_CASE(a_body_cut_by_a_reset_is_not_complete, fixture) {
  raw_server peer(*loop, "HTTP/1.1 200 OK\r\n\r\npart", raw_action::kReset);
  BOOST_TEST(Ask(peer.port(), Given()).failed.has_value());
}

BOOST_FIXTURE_TEST_CASE(a_server_hands_out_the_target_as_received, fixture) {
  std::string seen;
  auto server = http_server::Listen(
      *loop, {kTestIp, 0}, {.target_only = true},
      [&](const http_request& request, const http_responder& responder) {
        seen = request.target;
        BOOST_TEST(request.path.empty());
        responder.Send({.status = 200});
      });
  BOOST_TEST_REQUIRE(server.has_value());
  Ask(server.value()->port(), Given());
  BOOST_TEST(seen == Given().target);
}

BOOST_FIXTURE_TEST_CASE(idle_connections_close_and_busy_ones_do_not, fixture) {
  std::vector<http_responder> waiting;
  auto server = http_server::Listen(
      *loop, {kTestIp, 0}, {},
      [&](const http_request&, const http_responder& responder) {
        waiting.push_back(responder);
      });
  BOOST_TEST_REQUIRE(server.has_value());
  const socket_address where{kTestIp, server.value()->port()};
  auto idle = http_connection::Create(*loop, where, {});
  auto busy = http_connection::Create(*loop, where, {});
  std::optional<http_exchange> reply;
  bool idle_open = false;
  bool idle_closed = false;
  idle->OnClosed([&] { idle_closed = true; });
  idle->Connect([&](bool) { idle_open = true; });
  busy->Connect([&](bool) {
    busy->Send(Given(), seconds(10),
               [&](http_exchange got) { reply = std::move(got); });
  });
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] {
    return idle_open && waiting.size() == 1 &&
           server.value()->open_connections() == 2;
  }));
  server.value()->CloseIdle();
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return idle_closed; }));
  waiting.front().Send({.status = 200});
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return reply.has_value(); }));
  BOOST_TEST(reply->response.has_value());
}

}  // namespace trefoilmill
