#include "trefoilmill/wire/admin_codec.h"

#include <utility>

#include "object_reader.h"
#include "wire_json.h"

namespace trefoilmill {
namespace {

using enum presence;

constexpr integer_range kRevisions = {0,
                                      std::numeric_limits<std::int64_t>::max()};

failure Unexpected(const std::string& what) {
  return Malformed(reason_code::kMalformedReply, what);
}

/// A document that was parsed elsewhere; null stays null.
json DocumentJson(const std::string& document) {
  json parsed = ParseStrictJson(document);
  return parsed.is_discarded() ? json(nullptr) : parsed;
}

std::optional<config_reply> ReadConfigReply(const json& reply) {
  const auto at = FindUnsigned(reply, "revision");
  const json* document = FindMember(reply, "document");
  if (!at.has_value() || document == nullptr) {
    return std::nullopt;
  }
  return config_reply{.at = revision(*at), .document = Dump(*document)};
}

}  // namespace

result<config_request> ParseConfigRequest(const std::string& body) {
  const json parsed = ParseStrictJson(body);
  if (parsed.is_discarded()) {
    return Malformed(reason_code::kBadRequest, "the body is not JSON");
  }
  config_request out;
  diagnostics errors({});
  object_reader reader(parsed, "", errors);
  const json* document = reader.Member("document", kRequired);
  if (document != nullptr && !document->is_object()) {
    reader.AddError("document", "must be an object");
  } else if (document != nullptr) {
    out.document = Dump(*document);
  }
  if (reader.Member("expected_revision", kOptional) != nullptr) {
    std::uint64_t expected = 0;
    reader.Integer("expected_revision", kRevisions, kRequired, expected);
    out.expected = revision(expected);
  }
  reader.Flag("dry_run", kOptional, out.dry_run);
  reader.Finish();
  if (!errors.errors().empty()) {
    return AsFailure(errors);
  }
  return out;
}

std::string WriteConfigRequest(const config_request& request) {
  json out = {{"document", DocumentJson(request.document)},
              {"dry_run", request.dry_run}};
  if (request.expected.has_value()) {
    out["expected_revision"] = request.expected->value();
  }
  return Dump(out);
}

result<config_reply> ParseConfigReply(const std::string& body) {
  const json reply = ParseStrictJson(body);
  auto read = reply.is_discarded() ? std::nullopt : ReadConfigReply(reply);
  if (!read.has_value()) {
    return Unexpected("no revision and document");
  }
  return *std::move(read);
}

std::string WriteConfigReply(const config_reply& reply) {
  return Dump({{"revision", reply.at.value()},
               {"document", DocumentJson(reply.document)}});
}

std::string WriteRevision(revision at) {
  return Dump({{"revision", at.value()}});
}

result<revision> ParseRevision(const std::string& body) {
  const json reply = ParseStrictJson(body);
  const auto at =
      reply.is_discarded() ? std::nullopt : FindUnsigned(reply, "revision");
  if (!at.has_value()) {
    return Unexpected("no revision");
  }
  return revision(*at);
}

std::string WriteConflict(const config_conflict& conflict) {
  json out = {{"error",
               {{"verdict", ToString(verdict::kNotRun)},
                {"reason", "conflict"},
                {"detail", "another change came first; nothing was changed"}}},
              {"theirs",
               {{"revision", conflict.theirs.at.value()},
                {"document", DocumentJson(conflict.theirs.document)}}},
              {"yours", {{"document", DocumentJson(conflict.yours)}}}};
  if (conflict.expected.has_value()) {
    out["yours"]["expected_revision"] = conflict.expected->value();
  }
  return Dump(out);
}

result<config_conflict> ParseConflict(const std::string& body) {
  const json reply = ParseStrictJson(body);
  const json* theirs =
      reply.is_discarded() ? nullptr : FindMember(reply, "theirs");
  const json* yours =
      reply.is_discarded() ? nullptr : FindMember(reply, "yours");
  auto read = theirs == nullptr ? std::nullopt : ReadConfigReply(*theirs);
  if (!read.has_value() || yours == nullptr) {
    return Unexpected("no two sides of a conflict");
  }
  config_conflict out;
  out.theirs = *std::move(read);
  if (const auto expected = FindUnsigned(*yours, "expected_revision")) {
    out.expected = revision(*expected);
  }
  if (const json* document = FindMember(*yours, "document")) {
    out.yours = Dump(*document);
  }
  return out;
}

std::string WriteHealth(const health_status& health) {
  return Dump(
      {{"live", true}, {"ready", health.ready}, {"leaving", health.leaving}});
}

std::string WriteError(const failure& error) {
  json out = {{"verdict", ToString(error.outcome)},
              {"reason", ToString(error.reason)},
              {"detail", error.detail}};
  if (error.retry_after.has_value()) {
    out["retry_after_ms"] = ToMilliseconds(*error.retry_after);
  }
  return Dump({{"error", std::move(out)}});
}

std::optional<failure> ParseError(const std::string& body) {
  const json reply = ParseStrictJson(body);
  const json* error =
      reply.is_discarded() ? nullptr : FindMember(reply, "error");
  if (error == nullptr || !error->is_object()) {
    return std::nullopt;
  }
  const auto outcome = ParseVerdict(FindText(*error, "verdict").value_or(""));
  const auto reason = ParseReasonCode(FindText(*error, "reason").value_or(""));
  return failure{.outcome = outcome.value_or(verdict::kMayHaveRun),
                 .reason = reason.value_or(reason_code::kNone),
                 .detail = FindText(*error, "detail").value_or(""),
                 .retry_after = FindMilliseconds(*error, "retry_after_ms")};
}

}  // namespace trefoilmill
