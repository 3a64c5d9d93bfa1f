#define BOOST_TEST_MODULE store_process
#include "tm_object_store/store_process.h"

#include <boost/test/unit_test.hpp>

#include "libtmnet/net_test_support.h"

namespace trefoilmill {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kKey = "/v1/objects/trefoilmill/acme/zones";

struct fixture {
  std::unique_ptr<event_loop> loop = MakeLoop();
  std::unique_ptr<store_process> process;
  http_client client{*loop};
  std::vector<http_result> replies;
  const http_header create{"If-None-Match", "*"};
  const http_header match_one{"If-Match", "\"1\""};

  fixture() {
    const json address = {{"ip", kTestIp}, {"port", 0}};
    const json settings = {
        {"listen", address},
        {"control", address},
        {"hosts", {{{"host", "h1"}}}},
        {"objects",
         {{"trefoilmill/acme/catalog", {{"versions", json::array()}}}}}};
    auto made = store_process::Create(*loop, settings);
    BOOST_TEST_REQUIRE(made.has_value());
    process = std::move(made).value();
  }

  void Start(const http_request& request,
             std::uint16_t port,
             duration timeout = seconds(10)) {
    client.Send({kTestIp, port}, request, timeout,
                [this](const http_result& e) { replies.push_back(e); });
  }
  http_result Await() {
    const std::size_t before = replies.size();
    BOOST_TEST_REQUIRE(
        RunUntil(*loop, [&] { return replies.size() > before; }));
    return replies.back();
  }
  http_result Try(const http_request& request, duration timeout = seconds(10)) {
    std::optional<http_result> reply;
    client.Send({kTestIp, process->port()}, request, timeout,
                [&](const http_result& e) { reply = e; });
    BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return reply.has_value(); }));
    return *reply;
  }
  http_response Do(const http_request& request) {
    const http_result got = Try(request);
    BOOST_TEST_REQUIRE(got.response.has_value());
    return *got.response;
  }
  http_response Put(const std::string& body, const http_header& condition) {
    return Do(PutRequest(body, condition));
  }
  static http_request PutRequest(const std::string& body,
                                 const http_header& condition) {
    return {
        .method = "PUT", .path = kKey, .headers = {condition}, .body = body};
  }
  // Calls that an outage kept waiting may end meanwhile, so that this counts
  // by its own reply.
  void Control(const json& change) {
    std::optional<http_result> reply;
    client.Send({kTestIp, process->control_port()},
                {.method = "POST", .path = "/control", .body = change.dump()},
                seconds(10), [&](const http_result& e) { reply = e; });
    BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return reply.has_value(); }));
    BOOST_TEST_REQUIRE(reply->response->status == 200);
  }
  void Watch(const char* after, const char* wait_ms) {
    Start({.method = "GET",
           .path = kKey,
           .query = {{"after", after}, {"wait_ms", wait_ms}}},
          process->port());
  }
  bool AwaitWatch() {
    return RunUntil(*loop, [&] { return process->waiting_watches() == 1; });
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(writes_are_conditional, fixture) {
  BOOST_TEST(Do({.method = "GET", .path = kKey}).status == 404);
  const http_response made = Put("a", create);
  BOOST_TEST(made.status == 200);
  BOOST_TEST(made.Header("ETag").value() == "\"1\"");
  const http_response again = Put("b", create);
  BOOST_TEST(again.status == 412);
  BOOST_TEST(again.Header("ETag").value() == "\"1\"");
  BOOST_TEST(Put("c", match_one).Header("ETag").value() == "\"2\"");
  BOOST_TEST(Put("d", match_one).status == 412);
  BOOST_TEST(Do({.method = "GET", .path = kKey}).body == "c");
  BOOST_TEST(Do({.method = "PUT", .path = kKey}).status == 428);
}

BOOST_FIXTURE_TEST_CASE(versions_rise_over_deletion, fixture) {
  Put("a", create);
  const http_response gone =
      Do({.method = "DELETE", .path = kKey, .headers = {match_one}});
  BOOST_TEST(gone.status == 200);
  BOOST_TEST(gone.Header("ETag").value() == "\"2\"");
  BOOST_TEST(Do({.method = "GET", .path = kKey}).status == 404);
  BOOST_TEST(Put("b", create).Header("ETag").value() == "\"3\"");
}

BOOST_FIXTURE_TEST_CASE(a_watch_answers_on_the_next_write, fixture) {
  Watch("0", "10000000");
  BOOST_TEST_REQUIRE(AwaitWatch());
  Start(PutRequest("a", create), process->port());
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return replies.size() == 2; }));
  BOOST_TEST(std::ranges::count_if(replies, [](const http_result& e) {
               return e.response->body == "a";
             }) == 1);
  BOOST_TEST(process->waiting_watches() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_watch_answers_at_once_or_at_its_limit, fixture) {
  Put("a", create);
  Watch("0", "10000000");
  BOOST_TEST(Await().response->body == "a");
  Watch("1", "5");
  BOOST_TEST(Await().response->status == 304);
}

BOOST_FIXTURE_TEST_CASE(a_watch_sees_a_deletion, fixture) {
  Put("a", create);
  Watch("1", "10000000");
  BOOST_TEST_REQUIRE(AwaitWatch());
  Start({.method = "DELETE", .path = kKey, .headers = {match_one}},
        process->port());
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return replies.size() == 2; }));
  BOOST_TEST(std::ranges::count_if(replies, [](const http_result& e) {
               return e.response->status == 404;
             }) == 1);
}

BOOST_FIXTURE_TEST_CASE(a_watch_ends_with_its_connection, fixture) {
  http_connection::options options;
  const auto peer =
      http_connection::Create(*loop, {kTestIp, process->port()}, options);
  bool connected = false;
  peer->Connect([&](bool made) { connected = made; });
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return connected; }));
  peer->Send({.method = "GET",
              .path = kKey,
              .query = {{"after", "0"}, {"wait_ms", "10000000"}}},
             milliseconds(20), [](const http_result&) {});
  BOOST_TEST_REQUIRE(AwaitWatch());
  BOOST_TEST(RunUntil(*loop, [&] { return process->waiting_watches() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(objects_are_listed_by_prefix, fixture) {
  Put("a", create);
  const http_response got = Do({.method = "GET",
                                .path = "/v1/objects",
                                .query = {{"prefix", "trefoilmill/acme/"}}});
  const json listed = json::parse(got.body)["objects"];
  BOOST_TEST(listed.size() == 2U);
  BOOST_TEST(listed[0]["key"] == "trefoilmill/acme/catalog");
  BOOST_TEST(listed[0]["version"] == 1);
}

BOOST_FIXTURE_TEST_CASE(a_lost_reply_leaves_its_write, fixture) {
  Control({{"lose_put_replies", 1}});
  // A write that fails is not one of those to lose.
  BOOST_TEST(Put("x", match_one).status == 412);
  BOOST_TEST((Try(PutRequest("a", create)).failure_reason ==
              http_failure::kConnectionLost));
  BOOST_TEST(Do({.method = "GET", .path = kKey}).body == "a");
  BOOST_TEST(Put("b", match_one).status == 200);
  BOOST_TEST(process->records().CountOf("lost_reply") == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_hanging_outage_answers_nothing, fixture) {
  Put("a", create);
  Control({{"outage", true}});
  BOOST_TEST(
      (Try(PutRequest("b", match_one), milliseconds(20)).failure_reason ==
       http_failure::kTimeout));
  Start({.method = "GET", .path = kKey}, process->port());
  RunFor(*loop, milliseconds(20));
  BOOST_TEST(replies.empty());
  Control({{"outage", false}});
  BOOST_TEST(Do({.method = "GET", .path = kKey}).body == "a");
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return !replies.empty(); }));
  BOOST_TEST((replies[0].failure_reason == http_failure::kConnectionLost));
}

BOOST_FIXTURE_TEST_CASE(a_watcher_may_leave_during_an_outage, fixture) {
  Put("a", create);
  Start({.method = "GET",
         .path = kKey,
         .query = {{"after", "1"}, {"wait_ms", "5000"}}},
        process->port(), milliseconds(100));
  BOOST_TEST_REQUIRE(AwaitWatch());
  Control({{"outage", true}});
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return !replies.empty(); }));
  Control({{"outage", false}});
  BOOST_TEST(Do({.method = "GET", .path = kKey}).body == "a");
}

BOOST_FIXTURE_TEST_CASE(a_refusing_outage_keeps_the_objects, fixture) {
  Put("a", create);
  Watch("1", "10000000");
  BOOST_TEST_REQUIRE(AwaitWatch());
  const std::uint16_t port = process->port();
  Control({{"outage", true}, {"outage_kind", "refuse"}});
  BOOST_TEST((Try({.method = "GET", .path = kKey}).failure_reason ==
              http_failure::kNotConnected));
  Control({{"outage", false}});
  BOOST_TEST(process->port() == port);
  BOOST_TEST(Do({.method = "GET", .path = kKey}).body == "a");
}

BOOST_FIXTURE_TEST_CASE(the_host_list_lags, fixture) {
  const http_request get{.method = "GET", .path = "/v1/hosts"};
  Control({{"hosts_lag_ms", 1e7}});
  Start({.method = "PUT", .path = "/control/hosts", .body = R"({"hosts":[]})"},
        process->control_port());
  BOOST_TEST(Await().response->status == 200);
  BOOST_TEST(json::parse(Do(get).body)["hosts"].size() == 1U);
  Control({{"hosts_lag_ms", 0}});
  BOOST_TEST(json::parse(Do(get).body)["hosts"].empty());
}

BOOST_FIXTURE_TEST_CASE(calls_are_counted_by_kind_and_peer, fixture) {
  Put("a", create);
  Do({.method = "GET", .path = kKey});
  Watch("0", "1");
  Await();
  Start({.method = "GET", .path = "/control/summary"}, process->control_port());
  const json summary = json::parse(Await().response->body);
  for (const char* kind : {"put", "get", "watch"}) {
    BOOST_TEST(summary["calls"][kind]["total"] == 1);
    BOOST_TEST(summary["calls"][kind]["by_peer"]["127.0.0.1"] == 1);
  }
}

BOOST_FIXTURE_TEST_CASE(a_value_over_a_megabyte_is_refused, fixture) {
  BOOST_TEST(Put(std::string(1 << 20, 'x'), create).status == 200);
  BOOST_TEST(Put(std::string((1 << 20) + 1, 'x'), match_one).status == 413);
}

BOOST_FIXTURE_TEST_CASE(slow_calls_take_effect_after_the_delay, fixture) {
  Control({{"delay_ms", 5}});
  BOOST_TEST(Put("a", create).status == 200);
}

}  // namespace trefoilmill
