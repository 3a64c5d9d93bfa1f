/// A whole run against a fake host and a fake endpoint control in one process.
#define BOOST_TEST_MODULE load_run
#include "load_run.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "judge.h"

namespace trefoilmill {
namespace {

using nlohmann::json;

const socket_address full_host{.ip = "127.30.2.1", .port = 18201};
const socket_address busy_host{.ip = "127.30.2.2", .port = 18201};
const socket_address control{.ip = "127.30.2.3", .port = 18201};
constexpr duration kTestLimit = std::chrono::seconds(40);

/// Answers queries truly, or refuses them all, and records what "ran".
struct fake_system {
  explicit fake_system(event_loop& on_loop) : loop(on_loop) {
    Serve(full_host, [this](const http_request& r) { return Host(r, false); });
    Serve(busy_host, [this](const http_request& r) { return Host(r, true); });
    Serve(control, [this](const http_request& r) { return Control(r); });
  }

  void Serve(const socket_address& address,
             std::function<json(const http_request&)> answer) {
    auto handler = [answer = std::move(answer)](
                       const http_request& request,
                       const http_responder& responder) {
      const json body = answer(request);
      http_response response;
      response.status = body.contains("error") ? 503 : 200;
      response.body = body.dump();
      http_responder(responder).Send(response);
    };
    servers.push_back(
        std::move(http_server::Listen(loop, address, {}, std::move(handler)))
            .assume_value());
  }

  json Host(const http_request& request, bool busy) {
    if (request.path == "/v1/entries") {
      json entries = json::array();
      for (const socket_address& host : {busy_host, full_host}) {
        entries.push_back({{"ip", host.ip}, {"port", host.port}});
      }
      return {{"entries", entries}, {"ttl_ms", 5000}};
    }
    const json query = json::parse(request.body);
    const json& id = query.at("request_id");
    if (busy) {
      return {{"request_id", id},
              {"error", {{"verdict", "not_run"}, {"reason", "overloaded"}}}};
    }
    return Answer(query, id);
  }

  json Answer(const json& query, const json& id) {
    for (const char* event : {"arrived", "run_begin", "run_end"}) {
      records.push_back({{"wall_us", loop.SystemTimeMicros()},
                         {"event", event},
                         {"endpoint", "e"},
                         {"service", "s"},
                         {"shard", 0},
                         {"version", 7},
                         {"attempt", id},
                         {"body", query.at("body")}});
    }
    const json payload{
        {"endpoint", "e"}, {"version", 7}, {"service", "s"}, {"shard", 0}};
    return {{"request_id", id},
            {"snapshot", 7},
            {"coverage", {{"answered", 1}, {"total", 1}}},
            {"whole", true},
            {"results",
             {{{"service", "s"}, {"shard", 0}, {"payload", payload.dump()}}}}};
  }

  json Control(const http_request& request) {
    if (request.method == "POST") {
      return json::object();
    }
    const std::size_t after = std::stoul(request.query.at("after"));
    json fresh = json::array();
    for (std::size_t i = after; i < records.size(); ++i) {
      fresh.push_back(records[i]);
    }
    return {{"records", fresh}, {"next", records.size()}};
  }

  event_loop& loop;
  std::vector<std::unique_ptr<http_server>> servers;
  std::vector<json> records;
};

}  // namespace

BOOST_AUTO_TEST_CASE(run_retries_what_was_not_run_and_is_judged_clean) {
  auto loop = std::move(event_loop::Create()).assume_value();
  const fake_system system(*loop);
  const auto config = ReadLoadConfig(R"({
    // The busy host stands first in every list.
    "entries": [{"ip": "127.30.2.1", "port": 18201}],
    "seconds": 1, "rate_per_s": 100, "seed": 3, "callers": 4,
    "endpoint_controls": [{"ip": "127.30.2.3", "port": 18201}],
    "events": [{"at_s": 0.2, "target": {"ip": "127.30.2.3", "port": 18201},
                "path": "/control", "body": {"endpoint": "x", "drain": true}}],
    "catalog": {"versions": [{"version": 7,
                "services": {"s": {"shards": [["e"]]}}}]}})");
  BOOST_REQUIRE(config.has_value());
  load_run run(*loop, config.assume_value(), [](const std::string&) {});
  run.Start();
  const timer limit = loop->RunAfter(kTestLimit, [&] { loop->Stop(); });
  loop->Run();

  const run_observations& observed = run.observed();
  BOOST_TEST(observed.queries.size() > 50U);
  for (const query_row& row : observed.queries) {
    BOOST_REQUIRE(row.tries.size() == 2U);
    BOOST_TEST((row.tries[0].end == try_end::kRefused));
    BOOST_TEST((row.tries[1].end == try_end::kAnswered));
  }
  BOOST_TEST(observed.records.size() == 3 * observed.queries.size());
  BOOST_TEST(observed.marks.size() == 1U);
  BOOST_TEST(run.failed_calls() == 0);
  const violation_counts counts = Judge(observed);
  BOOST_TEST((counts.wrong_request == 0));
  BOOST_TEST((counts.false_coverage == 0));
  BOOST_TEST((counts.untrue_not_run == 0));
  BOOST_TEST((counts.late_leaving_work == 0));
}

BOOST_AUTO_TEST_CASE(settings_with_unknown_fields_are_refused) {
  BOOST_TEST(!ReadLoadConfig(R"({"entries": [], "seconds": 1})").has_value());
  BOOST_TEST(!ReadLoadConfig(R"({"entries": [{"ip": "a", "port": 1}],
                                 "seconds": 1, "rate": 5})")
                  .has_value());
}

}  // namespace trefoilmill
