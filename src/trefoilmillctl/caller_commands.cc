/// `query`, `cancel` and `entries`: what callers do.
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "commands.h"

namespace trefoilmill {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
/// How much longer than its deadline a query may take to be answered.
constexpr duration kGrace = std::chrono::seconds(2);

std::string ReadBody(const std::string& body) {
  if (body != "-") {
    return body;
  }
  return {std::istreambuf_iterator<char>(std::cin), {}};
}

/// Fields that were not given are left to the deployment's defaults.
json QueryJson(const query_options& options) {
  json out = {{"services", "*"}, {"body", ReadBody(options.body)}};
  if (!options.services.empty()) {
    out["services"] = options.services;
  }
  if (options.deadline_ms.has_value()) {
    out["deadline_ms"] = *options.deadline_ms;
  }
  if (!options.policy.empty()) {
    out["policy"] = options.policy;
  }
  if (options.min_coverage.has_value()) {
    out["min_coverage"] = *options.min_coverage;
  }
  if (!options.key.empty()) {
    out["idempotent"] = false;
  }
  if (options.priority.has_value()) {
    out["priority"] = *options.priority;
  }
  if (!options.caller.empty()) {
    out["caller"] = options.caller;
  }
  if (!options.request.empty()) {
    out["request_id"] = options.request;
  }
  return out;
}

json MemberOr(const json& value, const char* key, const json& otherwise) {
  return value.is_object() && value.contains(key) ? value[key] : otherwise;
}

void PrintAnswer(const json& answer) {
  const json coverage = MemberOr(answer, "coverage", json::object());
  std::cout << "request " << MemberOr(answer, "request_id", "") << ", snapshot "
            << MemberOr(answer, "snapshot", 0) << ", "
            << MemberOr(coverage, "answered", 0) << " of "
            << MemberOr(coverage, "total", 0) << " shards, "
            << MemberOr(answer, "elapsed_ms", 0) << " ms\n";
  for (const json& part : MemberOr(answer, "results", json::array())) {
    std::cout << MemberOr(part, "service", "").get<std::string>() << "/"
              << MemberOr(part, "shard", 0) << "\t"
              << MemberOr(part, "payload", "").get<std::string>() << "\n";
  }
  for (const json& part : MemberOr(coverage, "missing", json::array())) {
    std::cout << MemberOr(part, "service", "").get<std::string>() << "/"
              << MemberOr(part, "shard", 0) << "\tmissing: "
              << MemberOr(part, "reason", "").get<std::string>() << " ("
              << MemberOr(part, "verdict", "").get<std::string>() << ")\n";
  }
}

/// A lost reply to a query says nothing of whether it ran.
exit_code ReportLostQuery(const call_outcome& outcome) {
  if (!outcome.failed->sent) {
    return ReportFailure(outcome);
  }
  std::cerr << "the query may have run: " << outcome.failed->detail << "\n";
  return exit_code::kUnknown;
}

}  // namespace

exit_code Run(const common_options& common,
              daemon_api& api,
              const query_options& options) {
  http_request request;
  request.method = "POST";
  request.path = "/v1/query";
  request.body =
      QueryJson(options).dump(-1, ' ', false, json::error_handler_t::replace);
  if (!options.key.empty()) {
    request.headers.push_back(
        {.name = "Idempotency-Key", .value = options.key});
  }
  const duration deadline =
      std::chrono::round<duration>(std::chrono::duration<double, std::milli>(
          options.deadline_ms.value_or(0)));
  const call_outcome outcome = api.Call(
      common.callers, request, std::max(common.timeout, deadline + kGrace),
      repetition::kIfNotSent);
  if (!outcome.response.has_value()) {
    return ReportLostQuery(outcome);
  }
  const http_response& response = *outcome.response;
  if (response.status != kOk) {
    if (common.json) {
      std::cout << response.body << "\n";
    }
    return ReportFailure(outcome);
  }
  const json answer = json::parse(response.body, nullptr, false);
  if (common.json) {
    std::cout << response.body << "\n";
  } else {
    PrintAnswer(answer);
  }
  const bool whole = MemberOr(answer, "whole", false) == json(true);
  return options.whole && !whole ? exit_code::kPartial : exit_code::kDone;
}

exit_code Run(const common_options& common,
              daemon_api& api,
              const cancel_options& options) {
  http_request request;
  request.method = "POST";
  request.path = "/v1/cancel";
  request.body = json{{"request_id", options.request}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
  const call_outcome outcome =
      api.Call(common.callers, request, common.timeout, repetition::kSafe);
  if (!outcome.response.has_value() || outcome.response->status != kOk) {
    return ReportFailure(outcome);
  }
  const json reply = json::parse(outcome.response->body, nullptr, false);
  const bool cancelled = MemberOr(reply, "cancelled", false) == json(true);
  if (common.json) {
    std::cout << outcome.response->body << "\n";
  } else {
    std::cout << (cancelled ? "cancelled" : "no such query in progress")
              << "\n";
  }
  return cancelled ? exit_code::kDone : exit_code::kRefused;
}

exit_code Run(const common_options& common,
              daemon_api& api,
              const entries_options& options) {
  http_request request;
  request.method = "GET";
  request.path = "/v1/entries";
  if (!options.caller.empty()) {
    request.query["caller"] = options.caller;
  }
  const call_outcome outcome =
      api.Call(common.callers, request, common.timeout, repetition::kSafe);
  if (!outcome.response.has_value() || outcome.response->status != kOk) {
    return ReportFailure(outcome);
  }
  if (common.json) {
    std::cout << outcome.response->body << "\n";
    return exit_code::kDone;
  }
  const json reply = json::parse(outcome.response->body, nullptr, false);
  for (const json& entry : MemberOr(reply, "entries", json::array())) {
    std::cout << MemberOr(entry, "ip", "").get<std::string>() << ":"
              << MemberOr(entry, "port", 0) << "\t"
              << MemberOr(entry, "host", "").get<std::string>() << "\n";
  }
  return exit_code::kDone;
}

}  // namespace trefoilmill
