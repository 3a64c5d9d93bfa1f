#define BOOST_TEST_MODULE fake_endpoint
#include "tm_endpoint/fake_endpoint.h"

#include <boost/test/unit_test.hpp>

#include "libtmnet/net_test_support.h"
#include "tm_endpoint/endpoint_process.h"

namespace trefoilmill {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double kForever = 1e7;

struct fixture {
  std::unique_ptr<event_loop> loop = MakeLoop();
  std::unique_ptr<endpoint_process> process;
  http_client client{*loop};
  std::vector<std::unique_ptr<http_connection>> connections;
  std::size_t connected = 0;
  std::size_t refused = 0;
  std::map<std::string, http_result> replies;

  void Serve(const json& change) {
    json endpoint = {{"id", "a"},        {"zone", "perth"}, {"service", "s"},
                     {"ip", kTestIp},    {"port", 0},       {"slots", 1},
                     {"connections", 4}, {"versions", {7}}, {"service_ms", 0.1},
                     {"seed", 5}};
    endpoint.update(change);
    const json settings = {{"control", {{"ip", kTestIp}, {"port", 0}}},
                           {"endpoints", {endpoint}}};
    auto made = endpoint_process::Create(*loop, settings);
    BOOST_TEST_REQUIRE(made.has_value());
    process = std::move(made).value();
  }

  http_request Search(const std::string& attempt, double deadline_ms = 1e6) {
    const json body = {{"attempt", attempt},
                       {"version", 7},
                       {"service", "s"},
                       {"shard", 0},
                       {"deadline_ms", deadline_ms},
                       {"idempotent", true},
                       {"body", "q"}};
    return {.method = "POST", .path = "/v1/search", .body = body.dump()};
  }
  http_connection::result_callback Keep(const std::string& attempt) {
    return [this, attempt](const http_result& e) { replies[attempt] = e; };
  }
  void Start(const std::string& attempt, double deadline_ms = 1e6) {
    client.Send({kTestIp, process->endpoints()[0]->port()},
                Search(attempt, deadline_ms), seconds(10), Keep(attempt));
  }
  bool Await(const std::string& attempt) {
    return RunUntil(*loop, [&] { return replies.contains(attempt); });
  }
  bool AwaitEvent(const char* event, std::uint64_t count = 1) {
    return RunUntil(*loop, [&] { return Count(event) >= count; });
  }
  std::uint64_t Count(const char* event) const {
    return process->records().CountOf(event);
  }
  json Control(const json& change) {
    json body = change;
    body["endpoint"] = "a";
    return Call("POST", "/control", body.dump(), process->control_port());
  }
  json Call(const char* method,
            const char* path,
            const std::string& body,
            std::uint16_t port) {
    const std::string name = "call";
    replies.erase(name);
    client.Send({kTestIp, port}, {.method = method, .path = path, .body = body},
                seconds(10), Keep(name));
    BOOST_TEST_REQUIRE(Await(name));
    BOOST_TEST_REQUIRE(replies[name].response.has_value());
    return json::parse(replies[name].response->body);
  }
  json Records() {
    return Call("GET", "/control/records", "",
                process->control_port())["records"];
  }
  int Status(const std::string& attempt) {
    BOOST_TEST_REQUIRE(replies[attempt].response.has_value());
    return replies[attempt].response->status;
  }
  std::string Reason(const std::string& attempt) {
    return json::parse(replies[attempt].response->body).value("reason", "");
  }
  void OpenConnections(std::size_t count) {
    const std::uint16_t port = process->endpoints()[0]->port();
    for (std::size_t i = 0; i < count; ++i) {
      connections.push_back(
          http_connection::Create(*loop, {kTestIp, port}, {}));
      connections.back()->Connect(
          [this](bool made) { ++(made ? connected : refused); });
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(an_answer_names_what_was_asked, fixture) {
  Serve(json::object());
  Start("81985529216486895");
  BOOST_TEST_REQUIRE(Await("81985529216486895"));
  const json got = json::parse(replies["81985529216486895"].response->body);
  BOOST_TEST(got["attempt"] == "81985529216486895");
  BOOST_TEST(got["version"] == 7);
  BOOST_TEST(got["shard"] == 0);
  std::vector<std::string> events;
  for (const json& record : Records()) {
    events.push_back(record["event"]);
  }
  const std::vector<std::string> expected{"started", "accepted", "arrived",
                                          "run_begin", "run_end"};
  BOOST_TEST(events == expected, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(slots_then_queue_then_shed, fixture) {
  Serve({{"service_ms", kForever}, {"queue", 1}});
  Start("1");
  BOOST_TEST_REQUIRE(AwaitEvent("arrived", 1));
  Start("2");
  BOOST_TEST_REQUIRE(AwaitEvent("arrived", 2));
  Start("3");
  BOOST_TEST_REQUIRE(Await("3"));
  BOOST_TEST(Status("3") == 503);
  BOOST_TEST(Reason("3") == "shed");
  BOOST_TEST(Count("run_begin") == 1U);
}

BOOST_FIXTURE_TEST_CASE(cancelled_in_the_queue_never_runs, fixture) {
  Serve({{"service_ms", kForever}});
  Start("1");
  BOOST_TEST_REQUIRE(AwaitEvent("run_begin"));
  Start("2");
  BOOST_TEST_REQUIRE(AwaitEvent("arrived", 2));
  const std::uint16_t port = process->endpoints()[0]->port();
  const auto cancel = [&](const char* body) {
    return Call("POST", "/v1/cancel", body, port)["state"];
  };
  BOOST_TEST(cancel(R"({"attempt":"2"})") == "not_run");
  BOOST_TEST_REQUIRE(Await("2"));
  BOOST_TEST(Reason("2") == "cancelled");
  BOOST_TEST(cancel(R"({"attempt":"1"})") == "running");
  BOOST_TEST_REQUIRE(Await("1"));
  BOOST_TEST(Status("1") == 500);
  BOOST_TEST(cancel(R"({"attempt":"9"})") == "unknown");
  BOOST_TEST(Count("run_begin") == 1U);
}

BOOST_FIXTURE_TEST_CASE(cancelling_a_running_one_frees_its_slot, fixture) {
  Serve({{"service_ms", kForever}});
  Start("1");
  BOOST_TEST_REQUIRE(AwaitEvent("run_begin"));
  Start("2");
  BOOST_TEST_REQUIRE(AwaitEvent("arrived", 2));
  Call("POST", "/v1/cancel", R"({"attempt":"1"})",
       process->endpoints()[0]->port());
  BOOST_TEST(AwaitEvent("run_begin", 2));
}

BOOST_FIXTURE_TEST_CASE(expired_in_the_queue_never_runs, fixture) {
  Serve({{"service_ms", kForever}});
  Start("1");
  BOOST_TEST_REQUIRE(AwaitEvent("run_begin"));
  Start("2", 5);
  BOOST_TEST_REQUIRE(Await("2"));
  BOOST_TEST(Status("2") == 504);
  BOOST_TEST(Reason("2") == "deadline_exceeded");
  BOOST_TEST(Count("run_begin") == 1U);
}

BOOST_FIXTURE_TEST_CASE(connections_beyond_the_limit_are_closed, fixture) {
  Serve({{"connections", 2}});
  OpenConnections(3);
  BOOST_TEST_REQUIRE(AwaitEvent("connection_refused"));
  BOOST_TEST(Count("connection_overrun") == 1U);
  BOOST_TEST(Count("accepted") == 2U);
}

BOOST_FIXTURE_TEST_CASE(cold_instance_falls_over_under_requests, fixture) {
  Serve({{"cold_ms", kForever},
         {"service_ms", kForever},
         {"cold_slots", 1},
         {"slots", 4}});
  Start("1");
  BOOST_TEST_REQUIRE(AwaitEvent("run_begin"));
  BOOST_TEST(Count("cold_overload") == 0U);
  Start("2");
  BOOST_TEST_REQUIRE(AwaitEvent("fell_over"));
  BOOST_TEST(Count("cold_overload") == 1U);
  BOOST_TEST_REQUIRE(Await("1"));
  BOOST_TEST_REQUIRE(Await("2"));
  BOOST_TEST(replies["1"].failure_reason.has_value());
  BOOST_TEST_REQUIRE(AwaitEvent("started", 2));
  const json records = Records();
  BOOST_TEST(records.front()["instance"] != records.back()["instance"]);
  BOOST_TEST(records.back()["state"] == "cold");
}

BOOST_FIXTURE_TEST_CASE(cold_instance_falls_over_under_connections, fixture) {
  Serve({{"cold_ms", kForever}, {"cold_connections", 2}});
  OpenConnections(2);
  BOOST_TEST_REQUIRE(AwaitEvent("accepted", 2));
  BOOST_TEST(Count("fell_over") == 0U);
  OpenConnections(1);
  BOOST_TEST_REQUIRE(AwaitEvent("fell_over"));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] {
    return std::ranges::none_of(connections,
                                [](const auto& c) { return c->connected(); });
  }));
  OpenConnections(1);
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return refused > 0; }));
}

BOOST_FIXTURE_TEST_CASE(work_warms_an_instance_up, fixture) {
  Serve({{"cold_ms", 2}, {"warmed_by", "work"}, {"service_ms", 1}});
  Start("1");
  BOOST_TEST_REQUIRE(Await("1"));
  Start("2");
  BOOST_TEST_REQUIRE(Await("2"));
  const json records = Records();
  // The first runs three times as long as when warm.
  BOOST_TEST(records[3]["event"] == "run_begin");
  BOOST_TEST(records[3]["service_ms"] == 3.0);
  BOOST_TEST(records[3]["state"] == "cold");
  BOOST_TEST(records.back()["state"] == "warm");
}

BOOST_FIXTURE_TEST_CASE(draining_and_missing_versions_are_refused, fixture) {
  Serve({{"shards_by_version", {{"7", {1}}}}});
  Start("1");
  BOOST_TEST_REQUIRE(Await("1"));
  BOOST_TEST(Status("1") == 410);
  Control({{"drain", true}});
  Start("2");
  BOOST_TEST_REQUIRE(Await("2"));
  BOOST_TEST(Reason("2") == "draining");
  BOOST_TEST(Count("run_begin") == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_lying_health_report_says_warm_and_idle, fixture) {
  Serve({{"cold_ms", kForever}, {"service_ms", kForever}});
  const std::uint16_t port = process->endpoints()[0]->port();
  BOOST_TEST(Call("GET", "/v1/health", "", port)["state"] == "cold");
  Control({{"lie", true}});
  BOOST_TEST(Call("GET", "/v1/health", "", port)["state"] == "warm");
}

BOOST_FIXTURE_TEST_CASE(a_reset_request_runs_all_the_same, fixture) {
  Serve(json::object());
  Control({{"reset_share", 1}});
  Start("1");
  BOOST_TEST_REQUIRE(Await("1"));
  BOOST_TEST((replies["1"].failure_reason == http_failure::kConnectionLost));
  BOOST_TEST(AwaitEvent("run_end"));
}

BOOST_FIXTURE_TEST_CASE(faulty_answers_are_sent_as_ordered, fixture) {
  Serve(json::object());
  Control({{"wrong_version_share", 1}});
  Start("1");
  BOOST_TEST_REQUIRE(Await("1"));
  BOOST_TEST(json::parse(replies["1"].response->body)["version"] == 8);
  Control({{"wrong_version_share", 0}, {"truncate_share", 1}});
  Start("2");
  BOOST_TEST_REQUIRE(Await("2"));
  BOOST_TEST(replies["2"].failure_reason.has_value());
  Control({{"truncate_share", 0}, {"duplicate_share", 1}});
  Start("3");
  BOOST_TEST_REQUIRE(Await("3"));
  Control({{"duplicate_share", 0}, {"late_reply_ms", 5}});
  Start("4");
  BOOST_TEST_REQUIRE(Await("4"));
  BOOST_TEST(json::parse(replies["4"].response->body)["attempt"] == "4");
}

BOOST_FIXTURE_TEST_CASE(down_refuses_and_up_is_a_new_instance, fixture) {
  Serve(json::object());
  Control({{"down", true}});
  RunFor(*loop, milliseconds(5));
  Start("1");
  BOOST_TEST_REQUIRE(Await("1"));
  BOOST_TEST((replies["1"].failure_reason == http_failure::kNotConnected));
  Control({{"down", false}});
  BOOST_TEST_REQUIRE(AwaitEvent("started", 2));
  Control({{"restart", true}});
  BOOST_TEST_REQUIRE(AwaitEvent("started", 3));
  Start("2");
  BOOST_TEST_REQUIRE(Await("2"));
  BOOST_TEST(Status("2") == 200);
}

BOOST_FIXTURE_TEST_CASE(unknown_control_fields_are_refused, fixture) {
  Serve(json::object());
  BOOST_TEST(Control({{"shed_shar", 1}}).contains("error"));
  BOOST_TEST(Control({{"shed_share", "x"}}).contains("error"));
}

BOOST_AUTO_TEST_CASE(service_times_depend_only_on_seed_and_attempt) {
  const service_time times =
      lognormal_time{.median_milliseconds = 10, .sigma = 0.5};
  BOOST_TEST(DrawMilliseconds(times, 1, "7") ==
             DrawMilliseconds(times, 1, "7"));
  BOOST_TEST(DrawMilliseconds(times, 1, "7") !=
             DrawMilliseconds(times, 2, "7"));
  BOOST_TEST(DrawMilliseconds(times, 1, "7") !=
             DrawMilliseconds(times, 1, "8"));
}

}  // namespace trefoilmill
