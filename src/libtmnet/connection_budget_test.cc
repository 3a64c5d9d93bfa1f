/// The sum over all connections stays within its limits: servers close those of
/// clients that hold much, and go on to serve others. Each connection had a
/// bound of its own, but not their sum.
#define BOOST_TEST_MODULE connection_budget
#include "trefoilmill/net/connection_budget.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net_test_support.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {
namespace {

constexpr std::size_t kMegabyte = 1 << 20;
constexpr time_point kNow(std::chrono::seconds(1));

/// Connections that note when they are to be closed.
struct fixture {
  connection_budget budget;
  std::vector<bool> closed;
  std::vector<connection_budget::entry> entries;

  std::size_t AddInbound() {
    const std::size_t index = closed.size();
    closed.push_back(false);
    entries.push_back(
        budget.AddInbound(kNow, [this, index] { closed[index] = true; }));
    return index;
  }
  std::size_t AddReceiving(std::size_t bytes) {
    const std::size_t index = AddInbound();
    entries.back().SetPhase(kNow, connection_phase::kReceiving);
    entries.back().SetBytes(bytes);
    return index;
  }
};

struct echo_server {
  std::unique_ptr<event_loop> loop = MakeLoop();
  std::unique_ptr<http_server> server = std::move(
      http_server::Listen(
          *loop,
          {kTestIp, 0},
          {.header_timeout = std::chrono::milliseconds(0)},
          [](const http_request& request, const http_responder& responder) {
            responder.Send({.body = request.body});
          })
          .value());

  http_result Ask(const std::string& body) {
    http_client client(*loop);
    std::optional<http_result> result;
    client.Send({kTestIp, server->port()},
                {.method = "POST", .path = "/", .body = body},
                std::chrono::seconds(5),
                [&](const http_result& exchange) { result = exchange; });
    BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return result.has_value(); }));
    return *result;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(sums_follow_the_connections, fixture) {
  const std::size_t own = AddReceiving(0);
  const std::size_t each = budget.bytes();
  BOOST_TEST(each > 0U);
  AddReceiving(5000);
  BOOST_TEST(budget.bytes() == 2 * each + 5000);
  BOOST_TEST(budget.inbound() == 2U);
  entries[own].SetBytes(700);
  entries[own].SetBytes(300);
  BOOST_TEST(budget.bytes() == 2 * each + 5300);
  entries.clear();
  BOOST_TEST(budget.bytes() == 0U);
  BOOST_TEST(budget.inbound() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_connection_that_closes_counts_no_more, fixture) {
  budget.SetLimits({.bytes = kMegabyte, .inbound = 100});
  connection_budget::closed_connections reported;
  budget.OnClosed([&](const auto& report) { reported = report; });
  const std::size_t small = AddReceiving(100);
  const std::size_t large = AddReceiving(2 * kMegabyte);
  BOOST_TEST(closed[large]);
  BOOST_TEST(!closed[small]);
  BOOST_TEST(reported.count == 1U);
  BOOST_TEST(reported.bytes > 2 * kMegabyte);
  BOOST_TEST(budget.bytes() < kMegabyte);
  // It may go on to report until it is destroyed.
  entries[large].SetBytes(5 * kMegabyte);
  entries[large].SetPhase(kNow, connection_phase::kIdle);
  BOOST_TEST(budget.bytes() < kMegabyte);
  entries.clear();
  BOOST_TEST(budget.bytes() == 0U);
}

BOOST_FIXTURE_TEST_CASE(relieved_limits_bind_again, fixture) {
  budget.SetLimits({.bytes = kMegabyte, .inbound = 100});
  // Cannot be closed while they are in progress.
  for (int i = 0; i < 4; ++i) {
    const std::size_t index = AddInbound();
    entries[index].SetPhase(kNow, connection_phase::kInProgress);
    entries[index].SetBytes(kMegabyte);
    BOOST_TEST(!closed[index]);
  }
  BOOST_TEST(!budget.MayStartRequest(100));
  entries.clear();
  BOOST_TEST(budget.MayStartRequest(100));
  BOOST_TEST(closed[AddReceiving(2 * kMegabyte)]);
}

BOOST_FIXTURE_TEST_CASE(too_many_connections_make_room_for_the_newest,
                        fixture) {
  budget.SetLimits({.inbound = 10});
  for (int i = 0; i < 40; ++i) {
    BOOST_TEST(!closed[AddInbound()]);
    BOOST_TEST(budget.inbound() <= 10U);
  }
  BOOST_TEST(closed[0]);
}

BOOST_FIXTURE_TEST_CASE(a_server_serves_beside_clients_that_hold_too_much,
                        echo_server) {
  loop->connections().SetLimits({.bytes = 4 * kMegabyte, .inbound = 100});
  std::vector<std::unique_ptr<socket_client>> crowd;
  for (int i = 0; i < 30; ++i) {
    crowd.push_back(std::make_unique<socket_client>(server->port()));
    crowd.back()->Send(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 400000\r\n\r\n" +
        std::string(300'000, 'x'));
    RunFor(*loop, std::chrono::milliseconds(2));
    BOOST_TEST(loop->connections().bytes() <= 5 * kMegabyte);
  }
  const http_result result = Ask("ordinary");
  BOOST_TEST_REQUIRE(result.response.has_value());
  BOOST_TEST(result.response->body == "ordinary");
  BOOST_TEST(server->open_connections() < 20U);
}

BOOST_FIXTURE_TEST_CASE(a_request_without_room_is_refused_as_not_run,
                        echo_server) {
  loop->connections().SetLimits({.bytes = kMegabyte, .inbound = 100});
  socket_client large(server->port());
  large.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 700000\r\n\r\n" +
             std::string(700'000, 'x'));
  BOOST_TEST(RunUntil(*loop, [&] { return !large.Receive().empty(); }));
  const std::string& refusal = large.Receive();
  BOOST_TEST(refusal.starts_with("HTTP/1.1 503"));
  BOOST_TEST(refusal.find("Retry-After: 1\r\n") != std::string::npos);
  BOOST_TEST(refusal.find("not_run") != std::string::npos);
  BOOST_TEST(Ask("ordinary").response->status == 200);
}

BOOST_FIXTURE_TEST_CASE(a_head_that_takes_too_long_is_rejected, echo_server) {
  socket_client slow(server->port());
  slow.Send("GET / HTTP/1.1\r\nHost: ");
  socket_client silent(server->port());
  RunFor(*loop, std::chrono::milliseconds(20));
  server->RejectSlowRequests();
  RunUntil(*loop, [&] { return server->open_connections() == 1; });
  BOOST_TEST(slow.Receive().starts_with("HTTP/1.1 408"));
  BOOST_TEST(silent.Receive().empty());
  // A body has the idle time in addition.
  socket_client uploading(server->port());
  uploading.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab");
  RunFor(*loop, std::chrono::milliseconds(20));
  server->RejectSlowRequests();
  RunFor(*loop, std::chrono::milliseconds(20));
  BOOST_TEST(server->open_connections() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_connection_that_stays_open_counts_again, fixture) {
  const std::size_t own = AddReceiving(5000);
  const std::size_t bytes = budget.bytes();
  budget.SetLimits({.inbound = 0});
  entries[own].SetBytes(6000);
  BOOST_TEST(closed[own]);
  BOOST_TEST(budget.inbound() == 0U);
  BOOST_TEST(budget.bytes() == 0U);
  closed[own] = false;
  entries[own].KeepOpen(kNow, connection_phase::kInProgress);
  BOOST_TEST(budget.inbound() == 1U);
  BOOST_TEST(budget.bytes() == bytes + 1000);
  entries[own].SetBytes(5000);
  BOOST_TEST(!closed[own]);
  // Once it has its answer it may be chosen again.
  entries[own].SetPhase(kNow, connection_phase::kIdle);
  entries[own].SetBytes(0);
  BOOST_TEST(closed[own]);
}

// A connection was chosen to be closed by the same read that made its request
// whole: it stayed open for the answer, and counted no more as long as it
// lived.
BOOST_AUTO_TEST_CASE(a_request_that_becomes_whole_as_it_is_chosen_counts) {
  const auto loop = MakeLoop();
  std::optional<http_responder> kept;
  const auto server =
      std::move(http_server::Listen(
                    *loop, {kTestIp, 0}, {},
                    [&](const http_request& /*request*/,
                        const http_responder& responder) { kept = responder; })
                    .value());
  socket_client client(server->port());
  client.Send("GET /a HTTP/1.1\r\nHost: ");
  BOOST_TEST_REQUIRE(
      RunUntil(*loop, [&] { return loop->connections().inbound() == 1; }));
  RunFor(*loop, std::chrono::milliseconds(20));
  loop->connections().SetLimits({.inbound = 0});
  client.Send("h\r\n\r\n");
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return kept.has_value(); }));
  RunFor(*loop, std::chrono::milliseconds(20));
  BOOST_TEST(loop->connections().inbound() == 1U);
  BOOST_TEST(loop->connections().bytes() > 0U);
  // Beyond the limit it would be closed as soon as it has its answer.
  loop->connections().SetLimits({});
  kept->Send({.status = 200, .body = "whole"});
  BOOST_TEST(RunUntil(*loop, [&] {
    return client.Receive().find("whole") != std::string::npos;
  }));
}

}  // namespace trefoilmill
