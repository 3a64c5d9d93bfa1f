#define BOOST_TEST_MODULE connection_pools
#include "trefoilmill_entry/connection_pools.h"

#include <boost/test/unit_test.hpp>

#include "libtmnet/net_test_support.h"
#include "platform/headers.h"

namespace trefoilmill::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct fixture {
  std::unique_ptr<event_loop> loop = MakeLoop();
  telemetry process_telemetry{.log = nullptr, .meter = metrics::Create()};
  endpoint_selector endpoint_placement{zone_id("z"), std::mt19937_64(1)};
  int idle_events = 0;
  connection_pools pools{*loop, "", endpoint_placement, process_telemetry,
                         [this](const endpoint_id&) { ++idle_events; }};
  const endpoint_id a{"a"};
  const endpoint_id b{"b"};

  void Open(const endpoint_id& id,
            const raw_server& server,
            int connection_limit = 1) {
    const int before = idle_events;
    pools.Add(id, {kTestIp, server.port()}, connection_limit);
    BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return idle_events > before; }));
  }
  static http_request Request() {
    return {.method = "GET", .headers = {{"Host", "h"}}, .target = "/x"};
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_request_is_sent_on_an_idle_connection, fixture) {
  const raw_server server(*loop, kReply, raw_server_action::kKeepOpen);
  Open(a, server);
  std::optional<http_result> exchange;
  BOOST_TEST(
      pools.Send(a, attempt_id(1), Request(), seconds(10),
                 [&](http_result reply) { exchange = std::move(reply); }));
  // The only connection is busy.
  BOOST_TEST(!pools.Send(a, attempt_id(2), Request(), seconds(10),
                         [](const http_result&) {}));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return exchange.has_value(); }));
  BOOST_TEST(exchange->response.has_value());
  BOOST_TEST(!pools.Send(b, attempt_id(3), Request(), seconds(10),
                         [](const http_result&) {}));
}

namespace {

http_request RequestWithId(const std::string& id) {
  return {.method = "GET",
          .headers = {{"Host", "h"}, {platform::kRequestIdHeader, id}},
          .target = "/x"};
}

std::string Line(const std::string& header, const std::string& value) {
  return header + ": " + value + "\r\n";
}

std::string ReplyWith(const std::string& headers) {
  return "HTTP/1.1 503 X\r\n" + headers + "Content-Length: 2\r\n\r\nno";
}

}  // namespace

// A response without the request's ID may be a late second copy of another one:
// nothing that it says is believed, and what is still due on its connection is
// not taken for the response to the next request.
BOOST_FIXTURE_TEST_CASE(a_response_to_something_else_closes_its_connection,
                        fixture) {
  for (const std::string& headers :
       {std::string(), Line(platform::kRequestIdHeader, "other"),
        Line(platform::kNotExecutedHeader, "1") +
            Line(platform::kRetryAfterHeader, "2")}) {
    const raw_server server(*loop, ReplyWith(headers),
                            raw_server_action::kKeepOpen);
    const endpoint_id id("e" + headers);
    Open(id, server);
    std::optional<http_result> exchange;
    pools.Send(id, attempt_id(1), RequestWithId("own"), seconds(10),
               [&](http_result reply) { exchange = std::move(reply); });
    BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return exchange.has_value(); }));
    BOOST_TEST(!exchange->response.has_value());
    BOOST_TEST((exchange->failure_reason == http_failure::kMalformed));
    // A new connection takes its place.
    BOOST_TEST(RunUntil(*loop, [&] { return server.accepted() == 2; }));
    pools.Remove(id);
  }
}

BOOST_FIXTURE_TEST_CASE(a_response_with_the_requests_id_keeps_its_connection,
                        fixture) {
  const raw_server server(*loop,
                          ReplyWith(Line(platform::kRequestIdHeader, "own")),
                          raw_server_action::kKeepOpen);
  Open(a, server);
  for (int request = 0; request < 3; ++request) {
    std::optional<http_result> exchange;
    pools.Send(a, attempt_id(request + 1), RequestWithId("own"), seconds(10),
               [&](http_result reply) { exchange = std::move(reply); });
    BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return exchange.has_value(); }));
    BOOST_TEST(exchange->response.has_value());
  }
  BOOST_TEST(server.accepted() == 1);
}

// A health request has no ID, so that a second response to it could not be told
// from that to the next one.
BOOST_FIXTURE_TEST_CASE(a_probes_connection_carries_no_request, fixture) {
  const raw_server server(*loop, kReply, raw_server_action::kKeepOpen);
  Open(a, server);
  const int idle_before = idle_events;
  bool is_sound = false;
  pools.CheckEndpoint(
      a, connection_pools::probe{.request = Request(),
                                 .done = [&](const http_result& exchange) {
                                   is_sound = exchange.response.has_value();
                                 }});
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return is_sound; }));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return server.accepted() == 2; }));
  BOOST_TEST_REQUIRE(
      RunUntil(*loop, [&] { return idle_events > idle_before + 1; }));
  BOOST_TEST(pools.Send(a, attempt_id(1), RequestWithId("own"), seconds(10),
                        [](const http_result&) {}));
}

// A request that was sent to an endpoint whose only connection a probe uses
// failed at once.
BOOST_FIXTURE_TEST_CASE(a_connection_that_a_probe_uses_is_not_idle, fixture) {
  const raw_server server(*loop, "", raw_server_action::kKeepOpen);
  endpoint_registry registry(seconds(2));
  registry.Put(loop->Now(), {.id = a,
                             .service = service_id("s"),
                             .zone = zone_id("z"),
                             .address = {kTestIp, server.port()},
                             .slots = 2});
  Open(a, server);
  bool ended = false;
  BOOST_TEST(pools.CheckEndpoint(
      a, connection_pools::probe{.request = Request(),
                                 .done = [&](const http_result& exchange) {
                                   ended = !exchange.response.has_value();
                                 }}));
  const auto selection = endpoint_placement.Select(
      loop->Now(), registry, service_id("s"), {}, milliseconds(10), seconds(1),
      endpoint_selector::purpose::kFirst);
  BOOST_TEST(std::holds_alternative<endpoint_selector::no_capacity>(selection));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return ended; }));
}

BOOST_FIXTURE_TEST_CASE(a_probe_is_sent_on_no_later_connection, fixture) {
  std::uint16_t closed_port = 0;
  {
    const raw_server ended(*loop, kReply, raw_server_action::kKeepOpen);
    closed_port = ended.port();
  }
  pools.SetStandby(true);
  pools.Add(a, {kTestIp, closed_port}, 1);
  bool was_sent = false;
  BOOST_TEST(pools.CheckEndpoint(
      a, connection_pools::probe{
             .request = Request(),
             .done = [&](const http_result&) { was_sent = true; }}));
  RunFor(*loop, milliseconds(50));
  const raw_server back(*loop, kReply, raw_server_action::kKeepOpen,
                        closed_port);
  RunFor(*loop, milliseconds(600));
  pools.RequestConnection(a);
  RunFor(*loop, milliseconds(100));
  BOOST_TEST(!was_sent);
}

// A reply can be queued in the event loop while its attempt is aborted; the
// callback is empty by then, and calling it crashed the process.
BOOST_FIXTURE_TEST_CASE(aborting_with_a_queued_reply_calls_back_once, fixture) {
  const raw_server server(*loop, kReply, raw_server_action::kKeepOpen);
  Open(a, server);
  Open(b, server);
  int first_calls = 0;
  int second_calls = 0;
  pools.Send(a, attempt_id(1), Request(), seconds(10), [&](const http_result&) {
    ++first_calls;
    pools.Abort(attempt_id(2));
  });
  pools.Send(b, attempt_id(2), Request(), seconds(10), [&](const http_result&) {
    ++second_calls;
    pools.Abort(attempt_id(1));
  });
  BOOST_TEST_REQUIRE(
      RunUntil(*loop, [&] { return first_calls + second_calls >= 2; }));
  RunFor(*loop, milliseconds(50));
  BOOST_TEST(first_calls == 1);
  BOOST_TEST(second_calls == 1);
}

// Without a delay, reconnecting to an endpoint that closes unused connections
// opened 2.2 million connections in a day.
BOOST_FIXTURE_TEST_CASE(reconnecting_waits_after_an_unused_close, fixture) {
  raw_server server(*loop, kReply, raw_server_action::kKeepOpen);
  Open(a, server);
  for (int close = 0; close < 5; ++close) {
    RunFor(*loop, milliseconds(20));
    server.CloseAll();
    pools.MaintainConnections();
  }
  RunFor(*loop, milliseconds(20));
  BOOST_TEST(server.accepted() <= 2);
}

// Hosts that callers hardly use opened most of 31,048 connections
// in one run; with standby the total was 6,297.
BOOST_FIXTURE_TEST_CASE(a_standby_host_connects_on_request_only, fixture) {
  const raw_server server(*loop, kReply, raw_server_action::kKeepOpen);
  pools.SetStandby(true);
  pools.Add(a, {kTestIp, server.port()}, 1);
  RunFor(*loop, milliseconds(20));
  BOOST_TEST(pools.open_connections() == 0U);
  pools.RequestConnection(a);
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return idle_events > 0; }));
  BOOST_TEST(pools.Send(a, attempt_id(1), Request(), seconds(10),
                        [](const http_result&) {}));
  pools.SetStandby(false);
  pools.Add(b, {kTestIp, server.port()}, 1);
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return idle_events > 1; }));
}

BOOST_FIXTURE_TEST_CASE(removing_an_endpoint_keeps_requests_in_flight,
                        fixture) {
  const raw_server server(*loop, kReply, raw_server_action::kKeepOpen);
  Open(a, server);
  std::optional<http_result> exchange;
  pools.Send(a, attempt_id(1), Request(), seconds(10),
             [&](http_result reply) { exchange = std::move(reply); });
  pools.Remove(a);
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return exchange.has_value(); }));
  BOOST_TEST(exchange->response.has_value());
  BOOST_TEST(pools.open_connections() == 0U);
}

}  // namespace trefoilmill::entry
