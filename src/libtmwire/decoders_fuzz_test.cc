/// Random and mutated texts through every JSON decoder: none crashes, none
/// takes a text for what it is not, and places of errors lie in the text.
#define BOOST_TEST_MODULE decoders_fuzz
#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "input_mutator_test.h"
#include "trefoilmill/wire/admin_codec.h"
#include "trefoilmill/wire/caller_codec.h"
#include "trefoilmill/wire/catalog_codec.h"
#include "trefoilmill/wire/deployment_codec.h"
#include "trefoilmill/wire/endpoint_codec.h"
#include "trefoilmill/wire/host_list_codec.h"
#include "trefoilmill/wire/settings_codec.h"
#include "trefoilmill/wire/timeline_codec.h"
#include "trefoilmill/wire/zones_codec.h"

namespace trefoilmill {
namespace {

constexpr int kMutants = 200;

/// Feeds a decoder with texts near `good` and with random ones.
void Attack(const std::string& name,
            const std::string& good,
            const std::function<void(const std::string&)>& decode) {
  const bool held = rc::check(name, [&](std::uint64_t seed) {
    input_mutator mutants(seed);
    for (int i = 0; i < kMutants; ++i) {
      decode(mutants.Mutate(good));
    }
    decode(mutants.RandomBytes());
  });
  BOOST_TEST(held);
}

/// Errors name places that exist, and a value comes without errors.
void CheckErrors(const std::string& text,
                 const std::vector<config_error>& errors,
                 bool has_value) {
  const auto lines = std::ranges::count(text, '\n') + 1;
  RC_ASSERT(has_value == errors.empty());
  for (const config_error& error : errors) {
    RC_ASSERT(error.line >= 1);
    RC_ASSERT(error.line <= lines);
    RC_ASSERT(!error.message.empty());
  }
}

const std::string settings_text = R"({
  // comment
  "organisation": "pemberton", "host": "h1", "zone": "perth",
  "callers": {"ip": "127.0.0.1", "port": 8000},
  "administration": {"ip": "127.0.0.1", "port": 8001},
  "peers": {"ip": "127.0.0.1", "port": 8002},
  "store": {"ip": "127.0.0.1", "port": 9000}, "seed": 7
})";

const std::string deployment_text = R"({"template": {
  "parameters": {"slots": {"description": "Slots.", "default": 6}},
  "service_groups": {"lookup": {"searchers": 3, "slots": {"$param": "slots"}}},
  "query": {"policy": "latency_first"}},
 "parameters": {"organisation": "o",
  "zones": [{"name": "a", "ip": "127.0.0.1", "first_port": 20000}],
  "services": [{"name": "s", "group": "lookup", "count": 2}]}})";

const std::string answer_text =
    R"({"attempt": "7", "version": 7, "service": "s", "shard": 2,
        "instance": "i", "payload": "found"})";

search_request Asked() {
  return {.attempt = attempt_id(7),
          .version = snapshot_version(7),
          .shard = {service_id("s"), shard_id(2)},
          .deadline = duration(1000),
          .idempotent = true,
          .body = ""};
}

}  // namespace

BOOST_AUTO_TEST_CASE(daemon_settings_decoder) {
  Attack("daemon settings", settings_text, [](const std::string& text) {
    const auto parsed = ParseDaemonSettings(text, "f");
    CheckErrors(text, parsed.errors, parsed.value.has_value());
  });
}

BOOST_AUTO_TEST_CASE(deployment_decoder) {
  Attack("deployment", deployment_text, [](const std::string& text) {
    const auto strict = ParseDeployment(text, "f", strictness::kWhole);
    CheckErrors(text, strict.errors, strict.value.has_value());
    const auto lenient =
        ParseDeployment(text, "f", strictness::kKeepGoodServices);
    RC_ASSERT(lenient.value.has_value() || !strict.value.has_value());
    if (lenient.value.has_value()) {
      const auto again = ParseDeployment(WriteDeployment(*lenient.value), "f",
                                         strictness::kWhole);
      RC_ASSERT(again.value == lenient.value);
    }
    GuessFileKind(text);
    TemplateFileOf(text);
  });
}

BOOST_AUTO_TEST_CASE(caller_query_decoder) {
  const std::string good =
      R"({"services": ["a", "b"], "body": "x", "deadline_ms": 20.5,
          "policy": "latency_first", "min_coverage": 0.5, "priority": 3,
          "idempotent": true, "caller": "c", "request_id": "r"})";
  Attack("caller's query", good, [](const std::string& text) {
    const query_config limits;
    const auto parsed =
        ParseCallerQuery(text, std::nullopt, "127.0.0.1", limits);
    if (parsed.has_error()) {
      RC_ASSERT(parsed.error().reason == reason_code::kBadRequest);
      RC_ASSERT(parsed.error().outcome == verdict::kNotRun);
      WriteRefusal(request_id(), parsed.error());
      return;
    }
    const caller_query& query = parsed.value();
    RC_ASSERT(query.deadline > duration::zero());
    RC_ASSERT(query.deadline <= limits.max_deadline);
    RC_ASSERT(query.idempotent);
    RC_ASSERT(query.all_services == query.services.empty());
  });
}

BOOST_AUTO_TEST_CASE(endpoint_reply_decoder) {
  Attack("endpoint's reply", answer_text, [](const std::string& text) {
    const auto judged = ParseSearchReply(200, text, Asked());
    RC_ASSERT(judged.payload.has_value() ==
              (judged.kind == reply_kind::kAnswer));
    RC_ASSERT(judged.kind == reply_kind::kAnswer ||
              judged.kind == reply_kind::kMalformed ||
              judged.kind == reply_kind::kMismatch);
    for (const int status : {410, 500, 503, 504}) {
      RC_ASSERT(!ParseSearchReply(status, text, Asked()).payload.has_value());
    }
    ParseAttemptCancelReply(200, text);
    (void)ParseHealthReport(200, text);
    (void)ParseSearchRequest(text);
  });
}

BOOST_AUTO_TEST_CASE(document_decoders) {
  const std::string catalog =
      R"({"versions": [{"version": 7,
          "services": {"a": {"shards": [["e1", "e2"], ["e3"]]}}}]})";
  Attack("catalog", catalog, [](const std::string& text) {
    const auto parsed = ParseCatalog(text);
    if (parsed.has_value()) {
      RC_ASSERT(ParseCatalog(WriteCatalog(parsed.value())).has_value());
    }
  });
  Attack("zones", R"({"out": ["perth", "northam"]})",
         [](const std::string& text) {
           const auto parsed = ParseZones(text);
           if (parsed.has_value()) {
             RC_ASSERT(ParseZones(WriteZones(parsed.value())).value() ==
                       parsed.value());
           }
           (void)ParseZoneChange(text);
         });
  const std::string hosts =
      R"({"hosts": [{"host": "h", "zone": "z", "state": "live",
          "peer": {"ip": "127.0.0.1", "port": 1},
          "callers": {"ip": "127.0.0.1", "port": 2},
          "administration": {"ip": "127.0.0.1", "port": 3}}]})";
  Attack("host list", hosts, [](const std::string& text) {
    const auto parsed = ParseHostList(text);
    if (parsed.has_value()) {
      RC_ASSERT(ParseHostList(WriteHostList(parsed.value())).value() ==
                parsed.value());
    }
  });
}

BOOST_AUTO_TEST_CASE(operators_decoders) {
  Attack("operators' requests",
         R"({"document": {"a": 1}, "expected_revision": 3, "dry_run": true})",
         [](const std::string& text) {
           (void)ParseConfigRequest(text);
           (void)ParseCancel(text);
           (void)ParseConfigReply(text);
           (void)ParseRevision(text);
           (void)ParseConflict(text);
           (void)ParseError(text);
           (void)ParseConfigErrors(text, "f");
         });
  Attack("status",
         R"({"host": "h", "ready": true, "documents": [{"document": "zones",
             "revision": 3}], "hosts": [{"host": "h2", "documents": {"a": 1}}],
             "endpoints": [{"endpoint": "e", "in_flight": 2}],
             "zones_out": ["z"], "snapshots": [7], "problems": ["p"]})",
         [](const std::string& text) {
           const auto parsed = ParseStatus(text);
           if (parsed.has_value()) {
             WriteStatus(parsed.value());
           }
         });
  Attack("time line",
         R"({"events": [{"wall_us": 1, "logical": 2, "process": "h",
             "kind": "query_answered", "length_ms": 2.5, "attempt": "7"}]})",
         [](const std::string& text) {
           const auto parsed = ParseTimeline(text);
           if (parsed.has_value()) {
             for (const auto format :
                  {timeline_format::kText, timeline_format::kJsonLines,
                   timeline_format::kChromeTrace}) {
               FormatTimeline(parsed.value(), format);
             }
           }
         });
}

}  // namespace trefoilmill
