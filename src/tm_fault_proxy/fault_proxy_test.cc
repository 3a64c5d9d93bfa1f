#define BOOST_TEST_MODULE fault_proxy
#include "fault_proxy.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "delay_line.h"

namespace trefoilmill {
namespace {

using namespace std::chrono_literals;

const socket_address upstream_address{.ip = "127.30.1.1", .port = 18101};
const socket_address proxy_address{.ip = "127.30.1.1", .port = 18102};
const socket_address control_address{.ip = "127.30.1.1", .port = 18103};
/// Bounds a test that would otherwise hang; nothing is measured by it.
constexpr duration kTestLimit = 20s;

/// A server that echoes bodies, behind the proxy.
struct bench {
  bench() {
    loop = std::move(event_loop::Create()).assume_value();
    server = std::move(
                 http_server::Listen(*loop, upstream_address, {},
                                     [this](const http_request& request,
                                            const http_responder& responder) {
                                       ++arrived;
                                       http_response response;
                                       response.body = request.body;
                                       http_responder(responder).Send(response);
                                     }))
                 .assume_value();
    const auto place = [](const socket_address& address) {
      return nlohmann::json{{"ip", address.ip}, {"port", address.port}};
    };
    const nlohmann::json settings{{"control", place(control_address)},
                                  {"listeners",
                                   {{{"name", "one"},
                                     {"listen", place(proxy_address)},
                                     {"upstream", place(upstream_address)}}}}};
    proxy = std::move(fault_proxy::Create(*loop, settings)).assume_value();
  }

  int Control(const std::string& body) {
    http_request request;
    request.method = "POST";
    request.path = "/control";
    request.body = body;
    return proxy->Answer(request).status;
  }

  std::string Summary() {
    http_request request;
    request.method = "GET";
    request.path = "/control/summary";
    return proxy->Answer(request).body;
  }

  /// Sends one request over a new connection; `during` runs after the
  /// hand-over.
  http_result Send(duration timeout, const std::string& during = "") {
    http_client client(*loop);
    http_request request;
    request.method = "POST";
    request.path = "/";
    request.body = "hello";
    std::optional<http_result> got;
    client.Send(proxy_address, request, timeout, [&](http_result ended) {
      got = std::move(ended);
      loop->Stop();
    });
    timer later;
    if (!during.empty()) {
      later = loop->RunAfter(50ms, [&] { Control(during); });
    }
    const timer limit = loop->RunAfter(kTestLimit, [&] { loop->Stop(); });
    loop->Run();
    BOOST_REQUIRE(got.has_value());
    return *got;
  }

  std::unique_ptr<event_loop> loop;
  std::unique_ptr<http_server> server;
  std::unique_ptr<fault_proxy> proxy;
  int arrived = 0;
};

}  // namespace

BOOST_AUTO_TEST_CASE(delayed_bytes_arrive_whole) {
  bench b;
  BOOST_TEST(b.Control(R"({"listener": "*", "delay_ms": 2, "jitter_ms": 1})") ==
             200);
  const time_point before = b.loop->Now();
  const http_result got = b.Send(5s);
  BOOST_REQUIRE(got.response.has_value());
  BOOST_TEST(got.response->body == "hello");
  BOOST_TEST((b.loop->Now() - before >= 4ms));
}

BOOST_AUTO_TEST_CASE(lost_bytes_show_as_a_reset) {
  bench b;
  b.Control(R"({"listener": "one", "reset_share": 1})");
  const http_result got = b.Send(5s);
  BOOST_TEST((got.failure_reason == http_failure::kConnectionLost));
  BOOST_TEST(b.arrived == 0);
  BOOST_TEST(b.Summary().find("\"reset\":1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(refused_connections_can_come_back) {
  bench b;
  b.Control(R"({"listener": "one", "refuse": true})");
  BOOST_TEST((b.Send(5s).failure_reason == http_failure::kNotConnected));
  b.Control(R"({"listener": "one", "refuse": false})");
  BOOST_TEST(b.Send(5s).response.has_value());
}

BOOST_AUTO_TEST_CASE(one_way_stall_lets_requests_through_but_no_replies) {
  bench b;
  b.Control(R"({"listener": "one", "stall": "to_client"})");
  BOOST_TEST((b.Send(200ms).failure_reason == http_failure::kTimeout));
  BOOST_TEST(b.arrived == 1);
  b.Control(R"({"listener": "one", "stall": "to_upstream"})");
  BOOST_TEST((b.Send(200ms).failure_reason == http_failure::kTimeout));
  BOOST_TEST(b.arrived == 1);
}

BOOST_AUTO_TEST_CASE(stalled_bytes_are_delivered_after_the_stall) {
  bench b;
  b.Control(R"({"listener": "one", "stall": "both"})");
  const http_result got =
      b.Send(10s, R"({"listener": "one", "stall": "none"})");
  BOOST_TEST(got.response.has_value());
}

BOOST_AUTO_TEST_CASE(cut_resets_open_connections) {
  bench b;
  b.Control(R"({"listener": "one", "stall": "to_client"})");
  const http_result got = b.Send(10s, R"({"listener": "one", "cut": true})");
  BOOST_TEST((got.failure_reason == http_failure::kConnectionLost));
}

BOOST_AUTO_TEST_CASE(wrong_control_calls_change_nothing) {
  bench b;
  BOOST_TEST(b.Control("{") == 400);
  BOOST_TEST(b.Control(R"({"listener": "two"})") == 404);
  BOOST_TEST(b.Control(R"({"listener": "one", "delay": 1})") == 400);
  BOOST_TEST(b.Control(R"({"listener": "one", "stall": "up"})") == 400);
  BOOST_TEST(b.Send(5s).response.has_value());
}

BOOST_AUTO_TEST_CASE(line_keeps_order_and_bandwidth) {
  std::mt19937_64 random(1);
  const time_point start{1h};
  delay_line line(start);
  listener_faults faults;
  faults.delay = 10ms;
  faults.bytes_per_s = 1000;
  line.Push(start, segment_kind::kBytes, std::string(100, 'a'), faults, random);
  faults.delay = 0ms;
  line.Push(start, segment_kind::kEnd, "", faults, random);
  BOOST_TEST((line.next_due() == start + 110ms));
  BOOST_TEST(!line.Pop(start + 109ms).has_value());
  BOOST_TEST((line.Pop(start + 110ms)->kind == segment_kind::kBytes));
  BOOST_TEST((line.Pop(start + 110ms)->kind == segment_kind::kEnd));
}

BOOST_AUTO_TEST_CASE(settings_may_hold_faults_and_must_name_addresses) {
  const auto settings = nlohmann::json::parse(R"({
    "control": {"ip": "127.30.1.1", "port": 1},
    "listeners": [{"name": "a", "listen": {"ip": "127.30.1.2", "port": 2},
                   "upstream": {"ip": "127.30.1.3", "port": 3},
                   "delay_ms": 1.5}]})");
  const auto config = ReadProxyConfig(settings);
  BOOST_REQUIRE(config.has_value());
  const listener_config& first = config.assume_value().listeners.at(0);
  BOOST_TEST((first.faults.delay == 1500us));
  BOOST_TEST(!ReadProxyConfig(nlohmann::json::object()).has_value());
}

}  // namespace trefoilmill
