#include "trefoilmill/wire/endpoint_codec.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "object_reader.h"
#include "wire_json.h"

namespace trefoilmill {
namespace {

constexpr int kOk = 200;
constexpr time_range kDeadlines = {duration(0), std::chrono::hours(1)};
constexpr integer_range kVersions = {0,
                                     std::numeric_limits<std::int64_t>::max()};
constexpr integer_range kShards = {0, std::numeric_limits<std::int32_t>::max()};

/// A reply without an answer that the protocol knows.
struct known_refusal {
  int status;
  std::string_view reason;
  reply_kind kind;
};

constexpr std::array kRefusals = {
    known_refusal{503, "shed", reply_kind::kShed},
    known_refusal{503, "draining", reply_kind::kDraining},
    known_refusal{503, "cancelled", reply_kind::kCancelled},
    known_refusal{504, "deadline_exceeded", reply_kind::kDeadlineExceeded},
    known_refusal{410, "version_gone", reply_kind::kVersionGone},
    known_refusal{500, "endpoint_error", reply_kind::kError},
};

/// A reply of another kind than an answer.
endpoint_reply Without(reply_kind kind, instance_id instance) {
  return {.kind = kind,
          .instance = std::move(instance),
          .retry_after = std::nullopt,
          .payload = std::nullopt};
}

/// Whether the reply names what was asked, all of it.
bool Matches(const json& reply, const search_request& asked) {
  const auto attempt = ParseDecimal(FindText(reply, "attempt").value_or(""));
  return attempt == asked.attempt.value() &&
         FindText(reply, "service") == asked.shard.service.value() &&
         FindUnsigned(reply, "shard") == asked.shard.shard.value() &&
         FindUnsigned(reply, "version") == asked.version.value();
}

bool IsAnswer(const json& reply) {
  return FindText(reply, "attempt") && FindUnsigned(reply, "version") &&
         FindText(reply, "service") && FindUnsigned(reply, "shard") &&
         FindText(reply, "payload") &&
         !FindText(reply, "instance").value_or("").empty();
}

endpoint_reply JudgeAnswer(const json& reply,
                           const search_request& asked,
                           instance_id instance) {
  if (!IsAnswer(reply)) {
    return Without(reply_kind::kMalformed, std::move(instance));
  }
  if (!Matches(reply, asked)) {
    return Without(reply_kind::kMismatch, std::move(instance));
  }
  return {.kind = reply_kind::kAnswer,
          .instance = std::move(instance),
          .retry_after = std::nullopt,
          .payload = FindText(reply, "payload")};
}

/// A refusal proves something only about the attempt that it names.
endpoint_reply JudgeRefusal(int status,
                            const json& reply,
                            const search_request& asked,
                            instance_id instance) {
  const auto reason = FindText(reply, "reason").value_or("");
  const auto* found =
      std::ranges::find_if(kRefusals, [&](const known_refusal& refusal) {
        return refusal.status == status && refusal.reason == reason;
      });
  const auto attempt = FindText(reply, "attempt");
  if (found == kRefusals.end() || !attempt.has_value()) {
    return Without(reply_kind::kMalformed, std::move(instance));
  }
  if (ParseDecimal(*attempt) != asked.attempt.value()) {
    return Without(reply_kind::kMismatch, std::move(instance));
  }
  endpoint_reply refusal = Without(found->kind, std::move(instance));
  refusal.retry_after = FindMilliseconds(reply, "retry_after_ms");
  return refusal;
}

}  // namespace

std::string WriteSearchRequest(const search_request& request) {
  return Dump({{"attempt", std::to_string(request.attempt.value())},
               {"version", request.version.value()},
               {"service", request.shard.service.value()},
               {"shard", request.shard.shard.value()},
               {"deadline_ms", ToMilliseconds(request.deadline)},
               {"idempotent", request.idempotent},
               {"body", request.body}});
}

result<search_request> ParseSearchRequest(const std::string& body) {
  using enum presence;
  const json parsed = ParseStrictJson(body);
  if (parsed.is_discarded()) {
    return Malformed(reason_code::kBadRequest, "the body is not JSON");
  }
  search_request out;
  diagnostics errors({});
  object_reader reader(parsed, "", errors);
  std::string attempt;
  reader.Text("attempt", text_rule::kAny, kRequired, attempt);
  std::uint64_t version = 0;
  reader.Integer("version", kVersions, kRequired, version);
  reader.Id("service", text_rule::kName, kRequired, out.shard.service);
  std::uint32_t shard = 0;
  reader.Integer("shard", kShards, kRequired, shard);
  reader.Milliseconds("deadline_ms", kDeadlines, kRequired, out.deadline);
  reader.Flag("idempotent", kRequired, out.idempotent);
  reader.Text("body", text_rule::kAny, kRequired, out.body);
  reader.Finish();
  const auto number = ParseDecimal(attempt);
  if (!number.has_value()) {
    reader.AddError("attempt", "must be a decimal number as a string");
  }
  if (!errors.errors().empty()) {
    return AsFailure(errors);
  }
  out.attempt = attempt_id(*number);
  out.version = snapshot_version(version);
  out.shard.shard = shard_id(shard);
  return out;
}

endpoint_reply ParseSearchReply(int status,
                                const std::string& body,
                                const search_request& asked) {
  const json reply = ParseStrictJson(body);
  if (reply.is_discarded() || !reply.is_object()) {
    return Without(reply_kind::kMalformed, instance_id());
  }
  instance_id instance(FindText(reply, "instance").value_or(""));
  return status == kOk
             ? JudgeAnswer(reply, asked, std::move(instance))
             : JudgeRefusal(status, reply, asked, std::move(instance));
}

std::string WriteAttemptCancel(attempt_id attempt) {
  return Dump({{"attempt", std::to_string(attempt.value())}});
}

cancel_reply ParseAttemptCancelReply(int status, const std::string& body) {
  const json reply = ParseStrictJson(body);
  if (status != kOk || reply.is_discarded()) {
    return cancel_reply::kFailed;
  }
  const auto state = FindText(reply, "state");
  if (state == "not_run") {
    return cancel_reply::kNotRun;
  }
  if (state == "running") {
    return cancel_reply::kRunning;
  }
  return state == "unknown" ? cancel_reply::kUnknown : cancel_reply::kFailed;
}

result<health_report> ParseHealthReport(int status, const std::string& body) {
  const json reply = ParseStrictJson(body);
  if (status != kOk || reply.is_discarded()) {
    return Malformed(reason_code::kMalformedReply, "no health report");
  }
  const auto instance = FindText(reply, "instance").value_or("");
  const auto state = FindText(reply, "state");
  const bool known = state == "cold" || state == "warm" || state == "draining";
  if (instance.empty() || !known) {
    return Malformed(reason_code::kMalformedReply,
                     "a health report needs an instance and a state");
  }
  health_report out;
  out.instance = instance_id(instance);
  if (state != "warm") {
    out.state =
        state == "cold" ? reported_state::kCold : reported_state::kDraining;
  }
  return out;
}

}  // namespace trefoilmill
