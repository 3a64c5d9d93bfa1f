/// How a server closes its connections when its process stops: every request
/// that is handled gets its whole response.
#define BOOST_TEST_MODULE http_server_stop
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net_test_support.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {
namespace {

constexpr const char* kRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
/// Larger than what the kernel buffers for a connection.
constexpr std::size_t kLargeBodyBytes = 32 << 20;
/// Longer than the server waits for the first request of a connection.
constexpr duration kLongIdle = std::chrono::seconds(1);

struct fixture {
  std::unique_ptr<event_loop> loop = MakeLoop();
  int handled = 0;
  http_response response{.status = 200, .body = "whole"};
  std::unique_ptr<http_server> server;

  fixture() {
    auto listening = http_server::Listen(
        *loop, {kTestIp, 0}, {},
        [this](const http_request&, const http_responder& responder) {
          ++handled;
          responder.Send(response);
        });
    server = std::move(listening).value();
  }
  /// Runs the loop until the server has accepted `count` connections.
  void WaitForConnections(std::size_t count) {
    BOOST_TEST_REQUIRE(
        RunUntil(*loop, [&] { return server->open_connections() == count; }));
  }
  void CloseIdle(duration idle) {
    server->CloseIdleConnections(loop->Now() + idle);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_request_received_before_the_idle_close_is_answered,
                        fixture) {
  socket_client client(server->port());
  WaitForConnections(1);
  client.Send(kRequest);
  CloseIdle(kLongIdle);
  BOOST_TEST(RunUntil(*loop, [&] {
    return client.Receive().find("whole") != std::string::npos;
  }));
  BOOST_TEST(handled == 1);
}

// A process whose last turn of the loop comes late would end with its answers
// in the buffer.
BOOST_FIXTURE_TEST_CASE(flushed_responses_need_no_further_turn, fixture) {
  std::optional<http_responder> kept;
  auto listening = http_server::Listen(
      *loop, {kTestIp, 0}, {},
      [&](const http_request&, const http_responder& responder) {
        kept = responder;
      });
  server = std::move(listening).value();
  socket_client client(server->port());
  client.Send(kRequest);
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return kept.has_value(); }));
  kept->Send(response);
  BOOST_TEST(server->unsent_connections() == 1U);
  server->FlushResponses();
  BOOST_TEST(server->unsent_connections() == 0U);
  BOOST_TEST(client.Receive().find("whole") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_meets_the_close_is_not_handled,
                        fixture) {
  socket_client client(server->port());
  WaitForConnections(1);
  CloseIdle(kLongIdle);
  client.Send(kRequest);
  BOOST_TEST(RunUntil(*loop, [&] { return server->open_connections() == 0; }));
  BOOST_TEST(handled == 0);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_has_begun_is_not_cut, fixture) {
  socket_client client(server->port());
  WaitForConnections(1);
  client.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n");
  RunFor(*loop, std::chrono::milliseconds(20));
  CloseIdle(kLongIdle);
  client.Send("body");
  BOOST_TEST(RunUntil(*loop, [&] {
    return client.Receive().find("whole") != std::string::npos;
  }));
}

// Of requests that were sent one behind the other, those after the first were
// dropped with the connection.
BOOST_FIXTURE_TEST_CASE(requests_one_behind_the_other_are_all_answered,
                        fixture) {
  std::vector<http_responder> kept;
  auto listening = http_server::Listen(
      *loop, {kTestIp, 0}, {},
      [&](const http_request&, const http_responder& responder) {
        kept.push_back(responder);
      });
  server = std::move(listening).value();
  socket_client client(server->port());
  client.Send(std::string(kRequest) + kRequest + kRequest);
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return kept.size() == 1; }));
  server->CloseAfterResponses();
  std::string received;
  for (std::size_t number = 1; number <= 3; ++number) {
    BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return kept.size() == number; }));
    const std::string body = "answer " + std::to_string(number);
    kept.back().Send({.status = 200, .body = body});
    BOOST_TEST_REQUIRE(RunUntil(*loop, [&] {
      received += client.Receive();
      return received.find(body) != std::string::npos;
    }));
    // Only the last one announces the close.
    BOOST_TEST((received.find("Connection: close") != std::string::npos) ==
               (number == 3));
  }
  BOOST_TEST(RunUntil(*loop, [&] { return server->open_connections() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(a_request_that_is_not_whole_does_not_delay_the_close,
                        fixture) {
  std::optional<http_responder> kept;
  auto listening = http_server::Listen(
      *loop, {kTestIp, 0}, {},
      [&](const http_request&, const http_responder& responder) {
        kept = responder;
      });
  server = std::move(listening).value();
  socket_client client(server->port());
  client.Send(std::string(kRequest) + "GET /b HTTP/1.1\r\nHost:");
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return kept.has_value(); }));
  server->CloseAfterResponses();
  kept->Send(response);
  BOOST_TEST(RunUntil(*loop, [&] { return server->open_connections() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(a_new_connection_may_send_its_first_request, fixture) {
  socket_client client(server->port());
  WaitForConnections(1);
  CloseIdle(duration::zero());
  RunFor(*loop, std::chrono::milliseconds(20));
  client.Send(kRequest);
  BOOST_TEST(RunUntil(*loop, [&] {
    return client.Receive().find("whole") != std::string::npos;
  }));
  // It is no longer new now.
  CloseIdle(duration::zero());
  BOOST_TEST(RunUntil(*loop, [&] { return server->open_connections() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(accepting_ends_once_no_connection_is_pending, fixture) {
  const socket_client client(server->port());
  server->StopAccepting();
  BOOST_TEST(server->is_accepting());
  WaitForConnections(1);
  BOOST_TEST(RunUntil(*loop, [&] { return !server->is_accepting(); }));
}

// The turn of the loop that accepts a connection may also be the one in which
// the process checks whether it may end.
BOOST_FIXTURE_TEST_CASE(an_accepted_connection_counts_as_open_at_once,
                        fixture) {
  const socket_client client(server->port());
  client.Send(kRequest);
  std::size_t open_connections = 0;
  const timer check = loop->RunAfter(duration::zero(), [&] {
    server->StopAccepting();
    open_connections = server->open_connections();
    loop->Stop();
  });
  loop->Run();
  BOOST_TEST(open_connections == 1U);
}

// It is connected for its caller, who may have sent its request already.
BOOST_FIXTURE_TEST_CASE(a_connection_that_waits_to_be_accepted_is_served,
                        fixture) {
  socket_client client(server->port());
  client.Send(kRequest);
  server->StopAccepting();
  RunFor(*loop, std::chrono::milliseconds(100));
  BOOST_TEST(client.Receive().find("whole") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(a_connection_stays_open_until_its_response_is_written,
                        fixture) {
  response.body = std::string(kLargeBodyBytes, 'x');
  server->CloseAfterResponses();
  socket_client client(server->port());
  WaitForConnections(1);
  client.Send(kRequest);
  BOOST_TEST(RunUntil(*loop, [&] { return handled == 1; }));
  RunFor(*loop, std::chrono::milliseconds(20));
  BOOST_TEST(server->requests_in_progress() == 0U);
  BOOST_TEST(server->unsent_connections() == 1U);
  CloseIdle(kLongIdle);
  BOOST_TEST(server->open_connections() == 1U);
  BOOST_TEST(RunUntil(*loop, [&] {
    client.Receive();
    return server->open_connections() == 0;
  }));
  BOOST_TEST(server->unsent_connections() == 0U);
  // The client's kernel may hold more of it than one read returns.
  BOOST_TEST(RunUntil(
      *loop, [&] { return client.Receive().size() > kLargeBodyBytes; }));
}

// evhttp reads while it writes, to notice a close: nothing that arrives is no
// reason to end the connection of a caller that reads all the while.
BOOST_FIXTURE_TEST_CASE(a_response_read_for_longer_than_the_idle_time_is_whole,
                        fixture) {
  auto patient = http_server::Listen(
      *loop, {kTestIp, 0}, {.idle_timeout = std::chrono::seconds(1)},
      [this](const http_request&, const http_responder& responder) {
        ++handled;
        responder.Send(response);
      });
  response = {.headers = {{.name = "Connection", .value = "close"}},
              .body = std::string(kLargeBodyBytes, 'x')};
  socket_client client(patient.value()->port());
  client.Send(kRequest);
  // At most 1 MiB each time, so that it takes longer than the idle time.
  std::size_t received = 0;
  const timer read = loop->RunEvery(std::chrono::milliseconds(50), [&] {
    received = client.Receive().size();
  });
  BOOST_TEST(RunUntil(*loop, [&] { return handled == 1; }));
  BOOST_TEST(RunUntil(
      *loop, [&] { return patient.value()->open_connections() == 0; }));
  RunFor(*loop, std::chrono::seconds(1));
  BOOST_TEST(received > kLargeBodyBytes);
}

BOOST_FIXTURE_TEST_CASE(a_response_lost_with_its_connection_is_reported,
                        fixture) {
  std::size_t unsent_bytes = 0;
  std::vector<http_responder> responders;
  auto holding = http_server::Listen(
      *loop, {kTestIp, 0}, {},
      [&](const http_request&, const http_responder& responder) {
        responder.OnResponseLost(
            [&](lost_response lost) { unsent_bytes = lost.unsent_bytes; });
        responder.Send({.body = std::string(kLargeBodyBytes, 'x')});
        responders.push_back(responder);
      });
  {
    socket_client client(holding.value()->port());
    client.Send(kRequest);
    BOOST_TEST(RunUntil(*loop, [&] { return !responders.empty(); }));
    RunFor(*loop, std::chrono::milliseconds(20));
    BOOST_TEST(unsent_bytes == 0U);
  }
  BOOST_TEST(RunUntil(*loop, [&] { return unsent_bytes > 0; }));
  BOOST_TEST(!responders.front().closed_by_server());
}

}  // namespace trefoilmill
