#define BOOST_TEST_MODULE http_server
#include <boost/test/unit_test.hpp>

#include "net_test_support.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A server with small limits that echoes the body of each request, or holds the
// responders if `hold_responders` is set, and a client.
struct fixture {
  std::unique_ptr<event_loop> loop = MakeLoop();
  std::unique_ptr<http_server> server;
  std::unique_ptr<http_client> client = std::make_unique<http_client>(*loop);
  std::vector<http_request> requests;
  std::vector<http_responder> responders;
  std::vector<std::uint64_t> connection_ids;
  std::vector<http_result> exchanges;
  bool hold_responders = false;

  fixture() {
    http_server_options options;
    options.max_body_bytes = 1000;
    options.max_header_bytes = 1000;
    auto listening = http_server::Listen(
        *loop, {kTestIp, 0}, options,
        [this](const http_request& request, const http_responder& responder) {
          requests.push_back(request);
          connection_ids.push_back(responder.connection());
          if (hold_responders) {
            responders.push_back(responder);
          } else {
            responder.Send(
                {.headers = {{"X-Test", "yes"}}, .body = request.body});
          }
        });
    server = std::move(listening).value();
  }

  // Sends a request without waiting for the response.
  void SendAsync(const http_request& request) {
    client->Send({kTestIp, server->port()}, request, seconds(10),
                 [this](http_result exchange) {
                   exchanges.push_back(std::move(exchange));
                 });
  }
  // Sends a request and waits for its result.
  http_result SendAndWait(const http_request& request) {
    const std::size_t previous_count = exchanges.size();
    SendAsync(request);
    BOOST_TEST_REQUIRE(
        RunUntil(*loop, [&] { return exchanges.size() > previous_count; }));
    return exchanges.back();
  }
};

http_request PostRequest(const std::string& body) {
  http_request request;
  request.method = "POST";
  request.path = "/";
  request.body = body;
  return request;
}

}  // namespace

BOOST_FIXTURE_TEST_CASE(request_and_response_arrive_unchanged, fixture) {
  http_request request = PostRequest("{}");
  request.path = "/v1/a b/c";
  request.query = {{"after", "1 & 2"}, {"empty", ""}};
  request.headers = {{"If-Match", "\"7\""}};
  const http_result exchange = SendAndWait(request);
  BOOST_TEST_REQUIRE(exchange.response.has_value());
  BOOST_TEST(exchange.response->status == 200);
  BOOST_TEST(exchange.response->body == "{}");
  BOOST_TEST(exchange.response->Header("x-test").value() == "yes");
  BOOST_TEST(requests.at(0).method == "POST");
  BOOST_TEST(requests.at(0).path == request.path);
  BOOST_TEST((requests.at(0).query == request.query));
  BOOST_TEST(requests.at(0).Header("if-match").value() == "\"7\"");
  BOOST_TEST(requests.at(0).peer_ip.starts_with("127."));
}

BOOST_FIXTURE_TEST_CASE(every_method_reaches_the_handler, fixture) {
  for (const char* method : {"GET", "PUT", "DELETE", "PATCH", "OPTIONS"}) {
    http_request request;
    request.method = method;
    request.path = "/";
    BOOST_TEST(SendAndWait(request).response.has_value());
    BOOST_TEST(requests.back().method == method);
  }
}

// evhttp has no name for it, so that it would be sent on as another one.
BOOST_FIXTURE_TEST_CASE(an_unsupported_method_is_not_allowed, fixture) {
  raw_client peer(*loop, server->port());
  peer.Write("BREW /pot HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return peer.closed(); }));
  BOOST_TEST(peer.received().starts_with("HTTP/1.1 405 "));
  BOOST_TEST(requests.empty());
}

// A body would be taken for the next response.
BOOST_FIXTURE_TEST_CASE(a_response_to_a_head_request_has_no_body, fixture) {
  raw_client peer(*loop, server->port());
  peer.Write("HEAD /a HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST_REQUIRE(
      RunUntil(*loop, [&] { return peer.received().ends_with("\r\n\r\n"); }));
  RunFor(*loop, std::chrono::milliseconds(20));
  BOOST_TEST(peer.received().ends_with("\r\n\r\n"));
  BOOST_TEST(requests.at(0).method == "HEAD");
}

BOOST_FIXTURE_TEST_CASE(connections_are_reused_and_counted, fixture) {
  SendAndWait(PostRequest("1"));
  SendAndWait(PostRequest("2"));
  BOOST_TEST(connection_ids.at(0) == connection_ids.at(1));
  BOOST_TEST(server->open_connections() == 1U);
  client.reset();
  BOOST_TEST(RunUntil(*loop, [&] { return server->open_connections() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(oversized_requests_are_rejected_with_a_json_error,
                        fixture) {
  const http_result large_body =
      SendAndWait(PostRequest(std::string(2000, 'x')));
  BOOST_TEST_REQUIRE(large_body.response.has_value());
  BOOST_TEST(large_body.response->status == 413);
  BOOST_TEST(large_body.response->content_type == "application/json");
  http_request request = PostRequest("");
  request.headers = {{"X-Long", std::string(2000, 'x')}};
  const http_result large_headers = SendAndWait(request);
  BOOST_TEST_REQUIRE(large_headers.response.has_value());
  BOOST_TEST(large_headers.response->status == 431);
  BOOST_TEST(requests.empty());
}

BOOST_FIXTURE_TEST_CASE(rejections_by_evhttp_have_a_json_error, fixture) {
  const std::vector<std::string> invalid_requests{
      "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
      "GET / HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n",
      "no request at all\r\n\r\n"};
  for (const auto& invalid_request : invalid_requests) {
    raw_client peer(*loop, server->port());
    peer.Write(invalid_request);
    BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return peer.closed(); }));
    BOOST_TEST(peer.received().starts_with("HTTP/1.1 4"));
    BOOST_TEST(peer.received().ends_with(
        R"({"error":{"verdict":"not_run","reason":"bad_request"}})"));
  }
  BOOST_TEST(requests.empty());
}

BOOST_FIXTURE_TEST_CASE(a_destroyed_responder_sends_status_500, fixture) {
  hold_responders = true;
  SendAsync(PostRequest(""));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return !responders.empty(); }));
  BOOST_TEST(server->requests_in_progress() == 1U);
  responders.clear();
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return !exchanges.empty(); }));
  BOOST_TEST(exchanges.at(0).response->status == 500);
  BOOST_TEST(exchanges.at(0).response->body.find("may_have_run") !=
             std::string::npos);
  BOOST_TEST(server->requests_in_progress() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_peer_disconnect_is_reported_to_the_responder,
                        fixture) {
  hold_responders = true;
  SendAsync(PostRequest(""));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return !responders.empty(); }));
  bool disconnected = false;
  responders.at(0).OnPeerDisconnected([&] { disconnected = true; });
  client.reset();
  BOOST_TEST(RunUntil(*loop, [&] { return disconnected; }));
  BOOST_TEST(server->requests_in_progress() == 0U);
  responders.at(0).Send({});
}

BOOST_FIXTURE_TEST_CASE(aborted_and_truncated_responses_are_failures, fixture) {
  hold_responders = true;
  SendAsync(PostRequest(""));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return responders.size() == 1; }));
  responders.at(0).Abort();
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return exchanges.size() == 1; }));
  BOOST_TEST((exchanges.at(0).failure_reason == http_failure::kConnectionLost));
  SendAsync(PostRequest(""));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return responders.size() == 2; }));
  responders.at(1).SendTruncated({.body = "0123456789"}, 4);
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return exchanges.size() == 2; }));
  BOOST_TEST(exchanges.at(1).failure_reason.has_value());
}

BOOST_FIXTURE_TEST_CASE(close_after_replies_closes_each_connection, fixture) {
  SendAndWait(PostRequest(""));
  server->CloseAfterResponses();
  const http_result last = SendAndWait(PostRequest(""));
  BOOST_TEST(last.response->Header("Connection").value() == "close");
  BOOST_TEST(RunUntil(*loop, [&] { return server->open_connections() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(stop_accepting_refuses_new_and_keeps_open_connections,
                        fixture) {
  SendAndWait(PostRequest(""));
  server->StopAccepting();
  BOOST_TEST(SendAndWait(PostRequest("")).response.has_value());
  client = std::make_unique<http_client>(*loop);
  BOOST_TEST((SendAndWait(PostRequest("")).failure_reason ==
              http_failure::kNotConnected));
}

BOOST_FIXTURE_TEST_CASE(connections_rejected_on_accept_are_closed, fixture) {
  server->SetAcceptFilter([] { return false; });
  BOOST_TEST(SendAndWait(PostRequest("")).failure_reason.has_value());
  BOOST_TEST(requests.empty());
  BOOST_TEST(server->open_connections() == 0U);
}

BOOST_FIXTURE_TEST_CASE(drop_connections_closes_busy_connections, fixture) {
  hold_responders = true;
  int closed_count = 0;
  server->OnConnectionClosed([&] { ++closed_count; });
  SendAsync(PostRequest(""));
  SendAsync(PostRequest(""));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return responders.size() == 2; }));
  server->CloseAllConnections();
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return exchanges.size() == 2; }));
  BOOST_TEST((exchanges.at(0).failure_reason == http_failure::kConnectionLost));
  BOOST_TEST(closed_count == 2);
  BOOST_TEST(server->requests_in_progress() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_server_may_be_destroyed_before_its_responders,
                        fixture) {
  hold_responders = true;
  SendAsync(PostRequest(""));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return !responders.empty(); }));
  server.reset();
  responders.at(0).Send({});
  responders.clear();
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return !exchanges.empty(); }));
  BOOST_TEST(exchanges.at(0).failure_reason.has_value());
}

BOOST_FIXTURE_TEST_CASE(pipelined_requests_are_served_in_order, fixture) {
  raw_client peer(*loop, server->port());
  hold_responders = true;
  const std::string request = "GET /one HTTP/1.1\r\nHost: x\r\n\r\n";
  peer.Write(request + request + request);
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST_REQUIRE(
        RunUntil(*loop, [&] { return responders.size() == i + 1; }));
    RunFor(*loop, milliseconds(5));
    BOOST_TEST(responders.size() == i + 1);
    responders.back().Send({.body = "r" + std::to_string(i)});
  }
  BOOST_TEST(RunUntil(*loop, [&] { return peer.received().ends_with("r2"); }));
}

BOOST_AUTO_TEST_CASE(a_cancelled_request_closes_its_connection) {
  const auto loop = MakeLoop();
  std::optional<http_responder> held;
  bool disconnected = false;
  const auto server = http_server::Listen(
      *loop, {kTestIp, 0}, {},
      [&](const http_request&, const http_responder& responder) {
        held = responder;
        responder.OnPeerDisconnected([&] { disconnected = true; });
      });
  http_client client(*loop);
  bool reported = false;
  const auto handle = client.Send(
      {kTestIp, server.value()->port()}, {.method = "GET", .path = "/"},
      std::chrono::seconds(10), [&](const http_result&) { reported = true; });
  BOOST_REQUIRE(RunUntil(*loop, [&] { return held.has_value(); }));
  client.Cancel(handle);
  BOOST_TEST(RunUntil(*loop, [&] { return disconnected; }));
  client.Cancel(handle);
  BOOST_TEST(!reported);
}

}  // namespace trefoilmill
