#include "trefoilmill/wire/claim_codec.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

namespace trefoilmill {
namespace {

using json = nlohmann::json;

std::string_view NameOf(claim_record::state status) {
  switch (status) {
    case claim_record::state::kClaimed:
      return "claimed";
    case claim_record::state::kWithdrawn:
      return "withdrawn";
    case claim_record::state::kFinished:
      return "finished";
  }
  return "claimed";
}

std::optional<claim_record::state> ParseState(const std::string& name) {
  for (const auto status :
       {claim_record::state::kClaimed, claim_record::state::kWithdrawn,
        claim_record::state::kFinished}) {
    if (name == NameOf(status)) {
      return status;
    }
  }
  return std::nullopt;
}

failure Malformed() {
  return {.outcome = verdict::kNotRun,
          .reason = reason_code::kBadRequest,
          .detail = "not a claim of an idempotency key"};
}

std::optional<std::string> Text(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_string()) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

std::optional<claim_outcome> ParseOutcome(const json& object) {
  if (!object.is_object()) {
    return std::nullopt;
  }
  const auto outcome = ParseVerdict(Text(object, "verdict").value_or(""));
  const auto reason = ParseReasonCode(Text(object, "reason").value_or(""));
  const auto body = Text(object, "body");
  if (!outcome.has_value() || !reason.has_value() || !body.has_value()) {
    return std::nullopt;
  }
  return claim_outcome{.outcome = *outcome, .reason = *reason, .body = *body};
}

}  // namespace

std::string WriteClaimRecord(const claim_record& record) {
  json object = {{"key", record.key.value()},
                 {"request_digest", record.request_digest},
                 {"nonce", record.nonce},
                 {"holder", record.holder.value()},
                 {"state", NameOf(record.status)},
                 {"expires_us", record.expires.time_since_epoch().count()}};
  if (record.outcome.has_value()) {
    object["outcome"] = {{"verdict", ToString(record.outcome->outcome)},
                         {"reason", ToString(record.outcome->reason)},
                         {"body", record.outcome->body}};
  }
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<claim_record> ParseClaimRecord(const std::string& text) {
  const json object = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!object.is_object()) {
    return Malformed();
  }
  const auto key = Text(object, "key");
  const auto nonce = Text(object, "nonce");
  const auto holder = Text(object, "holder");
  const auto status = ParseState(Text(object, "state").value_or(""));
  const auto digest = object.find("request_digest");
  const auto expires = object.find("expires_us");
  const bool complete = key && nonce && holder && status &&
                        digest != object.end() &&
                        digest->is_number_unsigned() &&
                        expires != object.end() && expires->is_number_integer();
  if (!complete) {
    return Malformed();
  }
  claim_record record{
      .key = idempotency_key(*key),
      .request_digest = digest->get<std::uint64_t>(),
      .nonce = *nonce,
      .holder = host_id(*holder),
      .status = *status,
      .expires =
          wall_time(std::chrono::microseconds(expires->get<std::int64_t>()))};
  if (const auto found = object.find("outcome"); found != object.end()) {
    record.outcome = ParseOutcome(*found);
    if (!record.outcome.has_value()) {
      return Malformed();
    }
  }
  return record;
}

}  // namespace trefoilmill
