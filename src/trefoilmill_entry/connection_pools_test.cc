#define BOOST_TEST_MODULE endpoint_links
#include "trefoilmill_entry/connection_pools.h"

#include <boost/test/unit_test.hpp>

#include "libtmnet/net_test_support.h"

namespace trefoilmill::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kReply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct fixture {
  std::unique_ptr<event_loop> loop = MakeLoop();
  telemetry trace{.log = nullptr, .values = metrics::Create()};
  placement places{zone_id("z"), std::mt19937_64(1)};
  int freed = 0;
  endpoint_links links{*loop, "", places, trace,
                       [this](const endpoint_id&) { ++freed; }};
  const endpoint_id a{"a"};
  const endpoint_id b{"b"};

  void Open(const endpoint_id& id, const raw_server& peer, int most = 1) {
    const int before = freed;
    links.Add(id, {kTestIp, peer.port()}, most);
    BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return freed > before; }));
  }
  static http_request Request() {
    return {.method = "GET", .headers = {{"Host", "h"}}, .target = "/x"};
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_request_travels_on_an_idle_connection, fixture) {
  const raw_server peer(*loop, kReply, raw_action::kIgnore);
  Open(a, peer);
  std::optional<http_exchange> got;
  BOOST_TEST(links.Send(a, attempt_id(1), Request(), seconds(10),
                        [&](http_exchange e) { got = std::move(e); }));
  // The one connection is in use.
  BOOST_TEST(!links.Send(a, attempt_id(2), Request(), seconds(10),
                         [](const http_exchange&) {}));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return got.has_value(); }));
  BOOST_TEST(got->response.has_value());
  BOOST_TEST(!links.Send(b, attempt_id(3), Request(), seconds(10),
                         [](const http_exchange&) {}));
}

// Seen on lakeshore-ops-grown, trouble-1: a reply that waited in the loop while
// its request was abandoned ended the process by an empty callback.
BOOST_FIXTURE_TEST_CASE(abandoning_beside_a_reply_calls_back_once, fixture) {
  const raw_server peer(*loop, kReply, raw_action::kIgnore);
  Open(a, peer);
  Open(b, peer);
  int first = 0;
  int second = 0;
  links.Send(a, attempt_id(1), Request(), seconds(10),
             [&](const http_exchange&) {
               ++first;
               links.Abandon(attempt_id(2));
             });
  links.Send(b, attempt_id(2), Request(), seconds(10),
             [&](const http_exchange&) {
               ++second;
               links.Abandon(attempt_id(1));
             });
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return first + second >= 2; }));
  RunFor(*loop, milliseconds(50));
  BOOST_TEST(first == 1);
  BOOST_TEST(second == 1);
}

// Seen on lakeshore-ops-grown, quiet-1: 2.2 million connections in a day.
BOOST_FIXTURE_TEST_CASE(an_endpoint_that_closes_at_once_is_left_in_peace,
                        fixture) {
  raw_server peer(*loop, kReply, raw_action::kIgnore);
  Open(a, peer);
  for (int close = 0; close < 5; ++close) {
    RunFor(*loop, milliseconds(20));
    peer.CloseAll();
    links.Tick();
  }
  RunFor(*loop, milliseconds(20));
  BOOST_TEST(peer.accepted() <= 2);
}

// Seen on phd-restock-grown, quiet-1: 31,048 connections were opened, most by
// hosts that callers hardly use; 6,297 once these stood by.
BOOST_FIXTURE_TEST_CASE(a_host_that_stands_by_connects_when_asked, fixture) {
  const raw_server peer(*loop, kReply, raw_action::kIgnore);
  links.SetStandby(true);
  links.Add(a, {kTestIp, peer.port()}, 1);
  RunFor(*loop, milliseconds(20));
  BOOST_TEST(links.open_connections() == 0U);
  links.OpenFor(a);
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return freed > 0; }));
  BOOST_TEST(links.Send(a, attempt_id(1), Request(), seconds(10),
                        [](const http_exchange&) {}));
  links.SetStandby(false);
  links.Add(b, {kTestIp, peer.port()}, 1);
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return freed > 1; }));
}

BOOST_FIXTURE_TEST_CASE(removing_an_endpoint_cuts_off_no_request, fixture) {
  const raw_server peer(*loop, kReply, raw_action::kIgnore);
  Open(a, peer);
  std::optional<http_exchange> got;
  links.Send(a, attempt_id(1), Request(), seconds(10),
             [&](http_exchange e) { got = std::move(e); });
  links.Remove(a);
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return got.has_value(); }));
  BOOST_TEST(got->response.has_value());
  BOOST_TEST(links.open_connections() == 0U);
}

}  // namespace trefoilmill::entry
