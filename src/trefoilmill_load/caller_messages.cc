#include "caller_messages.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace trefoilmill {
namespace {

using nlohmann::json;

constexpr int kOk = 200;

shard_ref ParseShard(const json& value) {
  return {.service = service_id(value.at("service").get<std::string>()),
          .shard = shard_id(value.at("shard").get<std::uint32_t>())};
}

shard_result ParseResult(const json& value) {
  return {.shard = ParseShard(value),
          .payload = value.at("payload").get<std::string>()};
}

shard_missing ParseMissing(const json& value) {
  const auto outcome =
      ParseVerdict(value.value("verdict", std::string("may_have_run")));
  return {.shard = ParseShard(value),
          .outcome = outcome.value_or(verdict::kMayHaveRun),
          .reason = value.value("reason", "")};
}

answer ParseAnswer(const json& body) {
  answer parsed;
  parsed.request = body.at("request_id").get<std::string>();
  parsed.snapshot = snapshot_version(body.at("snapshot").get<std::uint64_t>());
  const json& coverage = body.at("coverage");
  parsed.answered = coverage.at("answered").get<int>();
  parsed.total = coverage.at("total").get<int>();
  parsed.whole = body.at("whole").get<bool>();
  std::ranges::transform(body.at("results"), std::back_inserter(parsed.results),
                         ParseResult);
  std::ranges::transform(coverage.value("missing", json::array()),
                         std::back_inserter(parsed.missing), ParseMissing);
  return parsed;
}

refusal ParseRefusal(const json& body) {
  const json& error = body.at("error");
  refusal parsed;
  parsed.outcome = ParseVerdict(error.at("verdict").get<std::string>())
                       .value_or(verdict::kMayHaveRun);
  parsed.reason =
      ParseReasonCode(error.value("reason", "")).value_or(reason_code::kNone);
  parsed.retry_after_ms =
      static_cast<std::uint64_t>(error.value("retry_after_ms", 0.0));
  return parsed;
}

try_end EndOf(http_failure failed) {
  switch (failed) {
    case http_failure::kNotConnected:
      return try_end::kNoConnection;
    case http_failure::kConnectionLost:
      return try_end::kReset;
    case http_failure::kTimeout:
      return try_end::kTimeout;
    case http_failure::kMalformed:
      return try_end::kMalformed;
  }
  return try_end::kMalformed;
}

}  // namespace

http_request MakeQuery(const load_config& config,
                       const std::string& caller,
                       const query_row& row,
                       const query_try& sent,
                       duration remaining) {
  json body{{"body", sent.body},
            {"request_id", sent.request},
            {"caller", caller},
            {"deadline_ms", std::max(1.0, ToMilliseconds(remaining))},
            {"idempotent", row.idempotent}};
  if (config.services.empty()) {
    body["services"] = "*";
  } else {
    std::ranges::for_each(config.services, [&](const service_id& service) {
      body["services"].push_back(service.value());
    });
  }
  if (config.policy.has_value()) {
    body["policy"] = *config.policy;
  }
  if (config.min_coverage.has_value()) {
    body["min_coverage"] = *config.min_coverage;
  }
  http_request request;
  request.method = "POST";
  request.path = "/v1/query";
  request.body = body.dump();
  if (!row.idempotent) {
    const std::string key =
        "k-" + std::to_string(config.seed) + "-" + std::to_string(row.number);
    request.headers.push_back({.name = "Idempotency-Key", .value = key});
  }
  return request;
}

void TakeExchange(const http_result& exchange, query_try& sent) {
  if (!exchange.response.has_value()) {
    sent.end =
        EndOf(exchange.failure_reason.value_or(http_failure::kMalformed));
    return;
  }
  try {
    const json body = json::parse(exchange.response->body);
    if (exchange.response->status == kOk) {
      sent.answered = ParseAnswer(body);
      sent.end = try_end::kAnswered;
    } else {
      sent.refused = ParseRefusal(body);
      sent.end = try_end::kRefused;
    }
  } catch (const json::exception&) {
    sent.end = try_end::kMalformed;
  }
}

std::optional<entry_list> ParseEntries(const http_result& exchange) {
  if (!exchange.response.has_value() || exchange.response->status != kOk) {
    return std::nullopt;
  }
  try {
    const json body = json::parse(exchange.response->body);
    entry_list list;
    for (const json& entry : body.at("entries")) {
      list.addresses.push_back({.ip = entry.at("ip").get<std::string>(),
                                .port = entry.at("port").get<std::uint16_t>()});
    }
    list.ttl = std::chrono::milliseconds(
        static_cast<std::int64_t>(body.at("ttl_ms").get<double>()));
    return list.addresses.empty() ? std::nullopt : std::optional(list);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace trefoilmill
