/// Tests that the end of an endpoint is found out, also by a host that has no
/// other connections.
#define BOOST_TEST_MODULE crash_checker
#include "trefoilmill_entry/crash_checker.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "libtmnet/net_test_support.h"

namespace trefoilmill::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct fixture {
  std::unique_ptr<event_loop> loop = MakeLoop();
  telemetry process_telemetry{
      .log = logger::Create({.level = log_level::kError}).value(),
      .meter = metrics::Create()};
  shared_request_state shared{
      .registry = endpoint_registry(seconds(2)),
      .selector = endpoint_selector(zone_id("z"), std::mt19937_64(1)),
      .extra_sends = extra_send_budget({}, loop->Now()),
      .latencies = {},
      .admission = deadline_admission(std::mt19937_64(2)),
      .waiting = {},
      .longest_waits = {},
      .answer_by = {}};
  connection_pools pools{*loop, "", shared.selector, process_telemetry,
                         [](const endpoint_id&) {}};
  int recorded = 0;
  crash_checker checker{*loop,
                        shared,
                        pools,
                        process_telemetry,
                        [](const service_id&) { return "/health"; },
                        [this] { ++recorded; },
                        std::mt19937_64(3)};
  const request_identity request = {
      .content = request_fingerprint(1),
      .content_and_caller = request_fingerprint(2)};

  fixture() { pools.SetStandby(true); }

  void Add(const std::string& name, std::uint16_t port, int connection_limit) {
    const endpoint_id id(name);
    shared.registry.Put(loop->Now(), {.id = id,
                                      .service = service_id("s"),
                                      .zone = zone_id("z"),
                                      .address = {kTestIp, port},
                                      .slots = 2});
    pools.Add(id, {kTestIp, port}, connection_limit);
  }
  void LoseReplyOf(const std::string& name) {
    shared.selector.crashes().OnReplyLost({.endpoint = endpoint_id(name),
                                           .started_ms = 1,
                                           .request = request,
                                           .abandoned = false,
                                           .lost_at = loop->Now()});
    checker.OnReplyLost();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_host_on_standby_finds_out, fixture) {
  const raw_server server(*loop, kReply, raw_server_action::kKeepOpen);
  std::uint16_t closed_port = 0;
  {
    const raw_server ended(*loop, kReply, raw_server_action::kKeepOpen);
    closed_port = ended.port();
  }
  Add("ended", closed_port, 1);
  for (int number = 0; number < 20; ++number) {
    Add("without-a-share-" + std::to_string(number), server.port(), 0);
  }
  Add("other", server.port(), 1);
  LoseReplyOf("ended");
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return recorded > 0; }));
  BOOST_TEST(shared.quarantine.HasStrikes(request));
}

// The port stays open while the endpoint is down.
BOOST_FIXTURE_TEST_CASE(an_endpoint_that_resets_all_connections_has_ended,
                        fixture) {
  const raw_server down(*loop, "", raw_server_action::kReset);
  const raw_server server(*loop, kReply, raw_server_action::kKeepOpen);
  Add("ended", down.port(), 1);
  Add("other", server.port(), 1);
  LoseReplyOf("ended");
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return recorded > 0; }));
  BOOST_TEST(shared.quarantine.HasStrikes(request));
}

// A link that is reset accepts connections, too.
BOOST_FIXTURE_TEST_CASE(nobody_is_blamed_while_all_connections_are_reset,
                        fixture) {
  const raw_server down(*loop, "", raw_server_action::kReset);
  Add("ended", down.port(), 1);
  Add("other", down.port(), 1);
  LoseReplyOf("ended");
  RunFor(*loop, milliseconds(500));
  BOOST_TEST(recorded == 0);
}

// A probe that times out is closed by this host, not by the endpoint.
BOOST_FIXTURE_TEST_CASE(an_endpoint_that_pauses_has_not_ended, fixture) {
  const raw_server paused(*loop, "", raw_server_action::kKeepOpen);
  const raw_server server(*loop, kReply, raw_server_action::kKeepOpen);
  Add("ended", paused.port(), 1);
  Add("other", server.port(), 1);
  LoseReplyOf("ended");
  RunFor(*loop, seconds(2));
  BOOST_TEST(recorded == 0);
}

// An instance with the same id responds before the loss is looked at again.
BOOST_FIXTURE_TEST_CASE(an_instance_with_the_same_id_clears_nothing, fixture) {
  const raw_server server(*loop, kReply, raw_server_action::kKeepOpen);
  Add("ended", server.port(), 1);
  shared.selector.crashes().OnReplyLost(
      {.endpoint = endpoint_id("ended"),
       .started_ms = 0,
       .request = request,
       .abandoned = true,
       .lost_at = loop->Now(),
       .sent_to_live_at = loop->Now() - seconds(2)});
  checker.OnReplyLost();
  shared.registry.Put(loop->Now(), {.id = endpoint_id("ended"),
                                    .service = service_id("s"),
                                    .zone = zone_id("z"),
                                    .address = {kTestIp, server.port()},
                                    .slots = 2,
                                    .started_ms = 5});
  checker.OnEndpointsChanged();
  shared.selector.crashes().OnAlive(loop->Now(), endpoint_id("ended"));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return recorded > 0; }));
  BOOST_TEST(shared.quarantine.HasStrikes(request));
}

BOOST_FIXTURE_TEST_CASE(a_silent_endpoint_has_ended_once_it_is_replaced,
                        fixture) {
  const raw_server silent(*loop, "", raw_server_action::kKeepOpen);
  Add("ended", silent.port(), 1);
  shared.selector.crashes().OnReplyLost(
      {.endpoint = endpoint_id("ended"),
       .started_ms = 0,
       .request = request,
       .abandoned = true,
       .lost_at = loop->Now(),
       .sent_to_live_at = loop->Now() - seconds(2)});
  checker.OnReplyLost();
  RunFor(*loop, milliseconds(300));
  BOOST_TEST(recorded == 0);
  shared.registry.Put(loop->Now(), {.id = endpoint_id("next"),
                                    .service = service_id("s"),
                                    .zone = zone_id("z"),
                                    .address = {kTestIp, silent.port()},
                                    .slots = 2,
                                    .started_ms = 5});
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return recorded > 0; }));
  BOOST_TEST(shared.quarantine.HasStrikes(request));
}

BOOST_FIXTURE_TEST_CASE(a_connection_that_broke_is_no_end, fixture) {
  const raw_server server(*loop, kReply, raw_server_action::kKeepOpen);
  Add("alive", server.port(), 1);
  Add("other", server.port(), 1);
  LoseReplyOf("alive");
  RunFor(*loop, milliseconds(300));
  BOOST_TEST(recorded == 0);
  BOOST_TEST(shared.selector.crashes().empty());
}

}  // namespace trefoilmill::entry
