#include "trefoilmill/wire/caller_codec.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "object_reader.h"
#include "wire_json.h"

namespace trefoilmill {
namespace {

constexpr const char* kAllServices = "*";
constexpr time_range kDeadlineFloor = {std::chrono::milliseconds(1), {}};
constexpr std::size_t kMaxServices = 10000;

const std::vector<choice<answer_policy>>& Policies() {
  static const std::vector<choice<answer_policy>> policies = {
      {"coverage_first", answer_policy::kCoverageFirst},
      {"latency_first", answer_policy::kLatencyFirst}};
  return policies;
}

/// A list of service names without repetition.
std::vector<service_id> ReadServiceList(const json& list,
                                        object_reader& reader) {
  std::vector<service_id> services;
  for (const json& entry : list) {
    if (!entry.is_string() ||
        !Obeys(entry.get_ref<const std::string&>(), text_rule::kName)) {
      reader.AddError("services", "must hold service names only");
      return {};
    }
    services.emplace_back(entry.get<std::string>());
  }
  auto sorted = services;
  std::ranges::sort(sorted);
  if (std::ranges::adjacent_find(sorted) != sorted.end()) {
    reader.AddError("services", "names a service twice");
  }
  return services;
}

void ReadServices(object_reader& reader, caller_query& out) {
  const json* member = reader.Member("services", presence::kRequired);
  if (member == nullptr) {
    return;
  }
  if (member->is_string() && *member == kAllServices) {
    out.all_services = true;
    return;
  }
  if (!member->is_array() || member->empty() || member->size() > kMaxServices) {
    reader.AddError("services", "must be \"*\" or a list of 1 to " +
                                    std::to_string(kMaxServices) +
                                    " service names");
    return;
  }
  out.services = ReadServiceList(*member, reader);
}

/// A key belongs to a query that is not idempotent, and only to such.
void ReadKey(const std::optional<std::string>& header,
             diagnostics& errors,
             caller_query& out) {
  if (out.idempotent) {
    if (header.has_value()) {
      errors.Add("Idempotency-Key", "goes with \"idempotent\": false only");
    }
    return;
  }
  if (!header.has_value() || !Obeys(*header, text_rule::kCallerName)) {
    errors.Add("Idempotency-Key", "must be " +
                                      Describe(text_rule::kCallerName) +
                                      " when \"idempotent\" is false");
    return;
  }
  out.key = idempotency_key(*header);
}

json CoverageJson(const query_answer& answer) {
  json missing = json::array();
  for (const missing_shard& shard : answer.missing) {
    missing.push_back({{"service", shard.shard.service.value()},
                       {"shard", shard.shard.shard.value()},
                       {"reason", ToString(shard.reason)},
                       {"verdict", ToString(shard.outcome)}});
  }
  return {{"answered", answer.results.size()},
          {"total", answer.total},
          {"missing", std::move(missing)}};
}

}  // namespace

result<caller_query> ParseCallerQuery(
    const std::string& body,
    const std::optional<std::string>& key_header,
    const std::string& peer_ip,
    const query_config& limits) {
  using enum presence;
  const json parsed = ParseStrictJson(body);
  if (parsed.is_discarded()) {
    return Malformed(reason_code::kBadRequest, "the body is not JSON");
  }
  caller_query out;
  out.deadline = limits.default_deadline;
  out.policy = limits.policy;
  out.min_coverage = limits.min_coverage;
  out.caller = caller_id(peer_ip);
  diagnostics errors({});
  object_reader reader(parsed, "", errors);
  ReadServices(reader, out);
  reader.Text("body", text_rule::kAny, kRequired, out.body);
  reader.Milliseconds("deadline_ms", {kDeadlineFloor.low, limits.max_deadline},
                      kOptional, out.deadline);
  reader.Choice("policy", Policies(), kOptional, out.policy);
  reader.Number("min_coverage", {0, 1}, kOptional, out.min_coverage);
  reader.Flag("idempotent", kOptional, out.idempotent);
  reader.Integer("priority", {kLowestPriority, kHighestPriority}, kOptional,
                 out.priority);
  reader.Id("caller", text_rule::kCallerName, kOptional, out.caller);
  request_id request;
  reader.Id("request_id", text_rule::kRequestId, kOptional, request);
  reader.Finish();
  if (!request.value().empty()) {
    out.request = std::move(request);
  }
  ReadKey(key_header, errors, out);
  if (!errors.errors().empty()) {
    return AsFailure(errors);
  }
  return out;
}

std::string WriteCallerQuery(const caller_query& query) {
  json services = kAllServices;
  if (!query.all_services) {
    services = json::array();
    for (const service_id& service : query.services) {
      services.push_back(service.value());
    }
  }
  json out = {{"services", std::move(services)},
              {"body", query.body},
              {"deadline_ms", ToMilliseconds(query.deadline)},
              {"policy", query.policy == answer_policy::kCoverageFirst
                             ? "coverage_first"
                             : "latency_first"},
              {"min_coverage", query.min_coverage},
              {"idempotent", query.idempotent},
              {"priority", query.priority}};
  if (!query.caller.value().empty()) {
    out["caller"] = query.caller.value();
  }
  if (query.request.has_value()) {
    out["request_id"] = query.request->value();
  }
  return Dump(out);
}

result<request_id> ParseCancel(const std::string& body) {
  const json parsed = ParseStrictJson(body);
  if (parsed.is_discarded()) {
    return Malformed(reason_code::kBadRequest, "the body is not JSON");
  }
  diagnostics errors({});
  object_reader reader(parsed, "", errors);
  request_id request;
  reader.Id("request_id", text_rule::kRequestId, presence::kRequired, request);
  reader.Finish();
  if (!errors.errors().empty()) {
    return AsFailure(errors);
  }
  return request;
}

std::string WriteCancelled(bool cancelled) {
  return Dump({{"cancelled", cancelled}});
}

std::string WriteAnswer(const query_answer& answer) {
  json results = json::array();
  for (const shard_result& shard : answer.results) {
    results.push_back({{"service", shard.shard.service.value()},
                       {"shard", shard.shard.shard.value()},
                       {"payload", shard.payload}});
  }
  return Dump({{"request_id", answer.request.value()},
               {"snapshot", answer.snapshot.value()},
               {"coverage", CoverageJson(answer)},
               {"whole", answer.results.size() == answer.total},
               {"results", std::move(results)},
               {"elapsed_ms", ToMilliseconds(answer.elapsed)}});
}

std::string WriteRefusal(const request_id& request, const failure& refusal) {
  json error = {{"verdict", ToString(refusal.outcome)},
                {"reason", ToString(refusal.reason)},
                {"detail", refusal.detail}};
  if (refusal.retry_after.has_value()) {
    error["retry_after_ms"] = ToMilliseconds(*refusal.retry_after);
  }
  json out = {{"error", std::move(error)}};
  if (!request.value().empty()) {
    out["request_id"] = request.value();
  }
  return Dump(out);
}

int RefusalStatus(reason_code reason) {
  switch (reason) {
    case reason_code::kBadRequest:
      return 400;
    case reason_code::kUnknownService:
      return 404;
    case reason_code::kKeyInUse:
    case reason_code::kCancelled:
      return 409;
    case reason_code::kOverloaded:
    case reason_code::kDeadlineUnmeetable:
      return 429;
    case reason_code::kDeadlineExceeded:
      return 504;
    default:
      return 503;
  }
}

std::string RetryAfterSeconds(duration wait) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
  return std::to_string(std::max(seconds, std::chrono::seconds(1)).count());
}

std::string WriteEntries(const std::vector<entry_address>& entries,
                         duration ttl,
                         bool draining) {
  json list = json::array();
  for (const entry_address& entry : entries) {
    json one = AddressJson(entry.address);
    one["host"] = entry.host.value();
    list.push_back(std::move(one));
  }
  return Dump({{"entries", std::move(list)},
               {"ttl_ms", ToMilliseconds(ttl)},
               {"draining", draining}});
}

}  // namespace trefoilmill
