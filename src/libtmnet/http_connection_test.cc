#define BOOST_TEST_MODULE http_connection
#include <boost/test/unit_test.hpp>

#include "net_test_support.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kCompleteResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A connection and what its callbacks have reported.
struct fixture {
  std::unique_ptr<event_loop> loop = MakeLoop();
  std::unique_ptr<http_connection> connection;
  std::optional<bool> connected = std::nullopt;
  int closed_count = 0;
  std::vector<http_result> exchanges;

  void Connect(std::uint16_t port,
               const http_connection::options& options = {}) {
    connection = http_connection::Create(*loop, {kTestIp, port}, options);
    connection->OnClosed([this] { ++closed_count; });
    connection->Connect([this](bool success) { connected = success; });
    BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return connected.has_value(); }));
  }

  // Sends a request and waits for its result. Fails if the callback is called
  // from within Send().
  http_result SendAndWait(duration timeout = seconds(10)) {
    const std::size_t previous_count = exchanges.size();
    http_request request;
    request.method = "POST";
    request.path = "/v1/search";
    request.body = R"({"a":1})";
    connection->Send(request, timeout, [this](const http_result& exchange) {
      exchanges.push_back(exchange);
    });
    BOOST_TEST(exchanges.size() == previous_count);
    BOOST_TEST_REQUIRE(
        RunUntil(*loop, [&] { return exchanges.size() > previous_count; }));
    return exchanges.back();
  }
};

// Number of requests in what a raw server has received.
std::size_t CountRequests(const std::string& bytes) {
  std::size_t count = 0;
  for (auto position = bytes.find("POST "); position != std::string::npos;
       position = bytes.find("POST ", position + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

BOOST_FIXTURE_TEST_CASE(connect_sends_nothing, fixture) {
  raw_server peer(*loop, kCompleteResponse, raw_server_action::kKeepOpen);
  Connect(peer.port());
  RunFor(*loop, milliseconds(20));
  BOOST_TEST(connected.value());
  BOOST_TEST(connection->connected());
  BOOST_TEST(peer.accepted() == 1);
  BOOST_TEST(peer.received().empty());
}

BOOST_FIXTURE_TEST_CASE(one_tcp_connection_carries_many_requests, fixture) {
  raw_server peer(*loop, kCompleteResponse, raw_server_action::kKeepOpen);
  Connect(peer.port());
  for (int i = 0; i < 3; ++i) {
    const http_result exchange = SendAndWait();
    BOOST_TEST_REQUIRE(exchange.response.has_value());
    BOOST_TEST(exchange.response->body == "ok");
    BOOST_TEST(connection->connected());
  }
  BOOST_TEST(peer.accepted() == 1);
  BOOST_TEST(CountRequests(peer.received()) == 3);
  BOOST_TEST(peer.received().starts_with("POST /v1/search HTTP/1.1\r\n"));
}

BOOST_FIXTURE_TEST_CASE(refused_connection_is_reported, fixture) {
  std::uint16_t port = 0;
  {
    const raw_server closed_server(*loop, "", raw_server_action::kKeepOpen);
    port = closed_server.port();
  }
  Connect(port);
  BOOST_TEST(!connected.value());
  BOOST_TEST((SendAndWait().failure_reason == http_failure::kNotConnected));
}

BOOST_FIXTURE_TEST_CASE(close_by_peer_before_first_request_is_reported,
                        fixture) {
  raw_server peer(*loop, kCompleteResponse, raw_server_action::kKeepOpen);
  Connect(peer.port());
  RunFor(*loop, milliseconds(5));
  peer.CloseAll();
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return closed_count == 1; }));
  BOOST_TEST(!connection->connected());
}

BOOST_FIXTURE_TEST_CASE(close_by_peer_between_requests_is_reported, fixture) {
  raw_server peer(*loop, kCompleteResponse, raw_server_action::kKeepOpen);
  Connect(peer.port());
  SendAndWait();
  peer.CloseAll();
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return closed_count == 1; }));
  BOOST_TEST(!connection->connected());
  BOOST_TEST((SendAndWait().failure_reason == http_failure::kNotConnected));
  BOOST_TEST(peer.accepted() == 1);
}

BOOST_FIXTURE_TEST_CASE(send_after_undetected_close_by_peer_is_refused,
                        fixture) {
  raw_server peer(*loop, kCompleteResponse, raw_server_action::kKeepOpen);
  Connect(peer.port());
  SendAndWait();
  // The loop has not run since, so the connection cannot have detected the
  // close before it sends.
  peer.CloseAll();
  BOOST_TEST((SendAndWait().failure_reason == http_failure::kNotConnected));
  RunFor(*loop, milliseconds(20));
  BOOST_TEST(peer.accepted() == 1);
  BOOST_TEST(CountRequests(peer.received()) == 1);
}

BOOST_FIXTURE_TEST_CASE(request_is_not_retried_after_reset, fixture) {
  raw_server peer(*loop, "", raw_server_action::kReset);
  Connect(peer.port());
  BOOST_TEST((SendAndWait().failure_reason == http_failure::kConnectionLost));
  RunFor(*loop, milliseconds(50));
  BOOST_TEST(!connection->connected());
  BOOST_TEST(peer.accepted() == 1);
  BOOST_TEST(CountRequests(peer.received()) == 1);
}

BOOST_FIXTURE_TEST_CASE(request_is_not_retried_after_close, fixture) {
  raw_server peer(*loop, "", raw_server_action::kClose);
  Connect(peer.port());
  BOOST_TEST((SendAndWait().failure_reason == http_failure::kConnectionLost));
  RunFor(*loop, milliseconds(50));
  BOOST_TEST(peer.accepted() == 1);
  BOOST_TEST(CountRequests(peer.received()) == 1);
}

BOOST_FIXTURE_TEST_CASE(truncated_response_is_a_failure, fixture) {
  raw_server peer(*loop, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
                  raw_server_action::kClose);
  Connect(peer.port());
  BOOST_TEST(SendAndWait().failure_reason.has_value());
  BOOST_TEST(!connection->connected());
}

// A reply that ends within its head must not look like a whole one with an
// empty or short body, also where the end of a connection may end a body.
BOOST_FIXTURE_TEST_CASE(a_close_or_reset_within_the_head_is_a_failure,
                        fixture) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Signature: 3e1b.07\r\n"
      "Content-Type: text/plain\r\n\r\n";
  for (const raw_server_action action :
       {raw_server_action::kClose, raw_server_action::kReset}) {
    for (std::size_t size = 1; size < head.size(); ++size) {
      raw_server peer(*loop, head.substr(0, size), action);
      connected.reset();
      Connect(peer.port(), {.accept_close_delimited = true});
      const http_result exchange = SendAndWait();
      BOOST_TEST(!exchange.response.has_value(), head.substr(0, size));
      BOOST_TEST(!connection->connected());
    }
  }
}

BOOST_FIXTURE_TEST_CASE(close_delimited_body_is_malformed_by_default, fixture) {
  raw_server peer(*loop, "HTTP/1.1 200 OK\r\n\r\nok",
                  raw_server_action::kClose);
  Connect(peer.port());
  BOOST_TEST((SendAndWait().failure_reason == http_failure::kMalformed));
}

BOOST_FIXTURE_TEST_CASE(invalid_status_line_is_malformed, fixture) {
  raw_server peer(*loop, "no such protocol\r\n\r\n",
                  raw_server_action::kKeepOpen);
  Connect(peer.port());
  BOOST_TEST((SendAndWait().failure_reason == http_failure::kMalformed));
}

BOOST_FIXTURE_TEST_CASE(oversized_response_is_malformed, fixture) {
  raw_server peer(*loop, "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
                  raw_server_action::kKeepOpen);
  Connect(peer.port());
  BOOST_TEST((SendAndWait().failure_reason == http_failure::kMalformed));
}

BOOST_FIXTURE_TEST_CASE(duplicate_response_is_not_matched_to_the_next_request,
                        fixture) {
  raw_server peer(*loop, std::string(kCompleteResponse) + kCompleteResponse,
                  raw_server_action::kKeepOpen);
  Connect(peer.port());
  BOOST_TEST(SendAndWait().response.has_value());
  BOOST_TEST(!connection->connected());
  BOOST_TEST((SendAndWait().failure_reason == http_failure::kNotConnected));
  BOOST_TEST(CountRequests(peer.received()) == 1);
}

BOOST_FIXTURE_TEST_CASE(missing_response_times_out_and_closes, fixture) {
  raw_server peer(*loop, "", raw_server_action::kKeepOpen);
  Connect(peer.port());
  BOOST_TEST(
      (SendAndWait(milliseconds(20)).failure_reason == http_failure::kTimeout));
  BOOST_TEST(!connection->connected());
  BOOST_TEST(CountRequests(peer.received()) == 1);
}

BOOST_FIXTURE_TEST_CASE(connection_close_header_closes_and_allows_reconnect,
                        fixture) {
  raw_server peer(*loop,
                  "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                  "Content-Length: 2\r\n\r\nok",
                  raw_server_action::kKeepOpen);
  Connect(peer.port());
  BOOST_TEST(SendAndWait().response.has_value());
  BOOST_TEST(!connection->connected());
  connected.reset();
  connection->Connect([this](bool success) { connected = success; });
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return connected.has_value(); }));
  BOOST_TEST(SendAndWait().response.has_value());
  BOOST_TEST(peer.accepted() == 2);
}

BOOST_FIXTURE_TEST_CASE(destruction_while_busy_suppresses_the_callback,
                        fixture) {
  raw_server peer(*loop, "", raw_server_action::kKeepOpen);
  Connect(peer.port());
  connection->Send(
      {.method = "GET", .path = "/"}, milliseconds(5),
      [this](const http_result& exchange) { exchanges.push_back(exchange); });
  connection.reset();
  RunFor(*loop, milliseconds(20));
  BOOST_TEST(exchanges.empty());
}

BOOST_FIXTURE_TEST_CASE(a_busy_connection_refuses_a_second_request, fixture) {
  raw_server peer(*loop, "", raw_server_action::kKeepOpen);
  Connect(peer.port());
  connection->Send(
      {.method = "GET", .path = "/"}, milliseconds(20),
      [this](const http_result& exchange) { exchanges.push_back(exchange); });
  BOOST_TEST(connection->busy());
  BOOST_TEST((SendAndWait().failure_reason == http_failure::kNotConnected));
}

}  // namespace trefoilmill
