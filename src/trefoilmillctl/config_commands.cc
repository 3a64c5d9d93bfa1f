/// `apply`, `get` and `diff`: the deployment in force.
#include <iostream>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "files.h"
#include "json_diff.h"
#include "trefoilmill/wire/deployment_codec.h"

namespace trefoilmill {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflicting = 409;

/// Documents are compared as values: how they are written does not matter.
bool SameDocument(const std::string& a, const std::string& b) {
  return json::parse(a, nullptr, false) == json::parse(b, nullptr, false);
}

exit_code ReportConflict(const common_options& common,
                         const http_response& response) {
  const auto conflict = ParseConflict(response.body);
  if (common.json || conflict.has_error()) {
    std::cout << response.body << "\n";
    return exit_code::kConflict;
  }
  const config_conflict& sides = conflict.value();
  std::cerr << "another change came first; nothing was changed. Revision "
            << sides.theirs.at.value() << " is in force";
  if (sides.expected.has_value()) {
    std::cerr << ", not " << *sides.expected;
  }
  std::cerr << ". Theirs -> yours:\n";
  const auto differences =
      DiffJson(json::parse(sides.theirs.document, nullptr, false),
               json::parse(sides.yours, nullptr, false));
  for (const json_difference& difference : differences) {
    std::cerr << "  " << ToString(difference) << "\n";
  }
  return exit_code::kConflict;
}

/// The change was sent and no reply came: what is in force tells.
exit_code ReadBack(const common_options& common,
                   daemon_api& api,
                   const std::string& document,
                   revision& at) {
  const present_config present = ReadConfig(common, api);
  if (present.reply.has_value() &&
      SameDocument(present.reply->document, document)) {
    at = present.reply->at;
    return exit_code::kDone;
  }
  std::cerr << "sent, but whether it was accepted is unknown; look at "
               "`trefoilmillctl diff` before you apply again\n";
  return exit_code::kUnknown;
}

exit_code Send(const common_options& common,
               daemon_api& api,
               const config_request& change,
               const std::string& file,
               revision& at) {
  http_request request;
  request.method = "POST";
  request.path = "/v1/config";
  request.body = WriteConfigRequest(change);
  const call_outcome outcome = api.Call(common.administration, request,
                                        common.timeout, repetition::kIfNotSent);
  if (outcome.failed.has_value() && outcome.failed->sent) {
    return ReadBack(common, api, change.document, at);
  }
  if (!outcome.response.has_value()) {
    return ReportFailure(outcome);
  }
  const http_response& response = *outcome.response;
  const auto accepted = ParseRevision(response.body);
  if (response.status == kOk && accepted.has_value()) {
    at = accepted.value();
    return exit_code::kDone;
  }
  if (response.status == kConflicting) {
    return ReportConflict(common, response);
  }
  const auto errors = ParseConfigErrors(response.body, file);
  if (response.status == kBadRequest && !errors.empty()) {
    PrintErrors(errors, common.json);
    return exit_code::kInvalid;
  }
  const auto error = ParseError(response.body);
  const exit_code code = ReportFailure(outcome);
  const bool unknown =
      error.has_value() && error->outcome == verdict::kMayHaveRun;
  return unknown ? ReadBack(common, api, change.document, at) : code;
}

void ReportApplied(const common_options& common,
                   revision at,
                   const std::string& what) {
  if (common.json) {
    std::cout << json{{"revision", at.value()}, {"result", what}}.dump()
              << "\n";
  } else {
    std::cout << what << ", revision " << at.value() << "\n";
  }
}

}  // namespace

exit_code Run(const common_options& common,
              daemon_api& api,
              const apply_options& options) {
  const load_outcome loaded = LoadDeployment(options.file);
  if (!loaded.value.has_value()) {
    PrintErrors(loaded.errors, common.json);
    return exit_code::kInvalid;
  }
  const present_config present = ReadConfig(common, api);
  if (!present.reply.has_value() && !present.absent) {
    return present.failed;
  }
  const std::string& document = loaded.value->document;
  revision at = present.reply.has_value() ? present.reply->at : revision(0);
  const revision expected =
      options.expected.has_value() ? revision(*options.expected) : at;
  const bool same = present.reply.has_value() && expected == at &&
                    SameDocument(present.reply->document, document);
  if (!same) {
    const exit_code sent = Send(common, api,
                                {.document = document,
                                 .expected = expected,
                                 .dry_run = options.dry_run},
                                options.file, at);
    if (sent != exit_code::kDone) {
      return sent;
    }
  }
  if (options.dry_run) {
    ReportApplied(common, at, "valid");
    return exit_code::kDone;
  }
  ReportApplied(common, at, same ? "unchanged" : "accepted");
  return options.wait ? WaitInForce(common, api, document_id("deployment"), at,
                                    options.wait_limit)
                      : exit_code::kDone;
}

exit_code Run(const common_options& common,
              daemon_api& api,
              const get_options& options) {
  const present_config present = ReadConfig(common, api);
  if (present.absent) {
    std::cerr << "no deployment is in force yet\n";
    return exit_code::kRefused;
  }
  if (!present.reply.has_value()) {
    return present.failed;
  }
  const config_reply& reply = *present.reply;
  if (options.revision_only) {
    std::cout << reply.at.value() << "\n";
    return exit_code::kDone;
  }
  std::string text = reply.document;
  if (options.expanded) {
    const auto parsed =
        ParseDeployment(text, "in force", strictness::kKeepGoodServices);
    if (!parsed.value.has_value()) {
      PrintErrors(parsed.errors, common.json);
      return exit_code::kInvalid;
    }
    text = WriteDeployment(*parsed.value);
  }
  const json document = json::parse(text, nullptr, false);
  if (common.json) {
    std::cout << json{{"revision", reply.at.value()}, {"document", document}}
              << "\n";
  } else {
    std::cout << document.dump(2) << "\n";
  }
  return exit_code::kDone;
}

exit_code Run(const common_options& common,
              daemon_api& api,
              const diff_options& options) {
  const load_outcome loaded = LoadDeployment(options.file);
  if (!loaded.value.has_value()) {
    PrintErrors(loaded.errors, common.json);
    return exit_code::kInvalid;
  }
  const present_config present = ReadConfig(common, api);
  if (!present.reply.has_value() && !present.absent) {
    return present.failed;
  }
  const json before =
      present.absent ? json::object()
                     : json::parse(present.reply->document, nullptr, false);
  const json after = json::parse(loaded.value->document, nullptr, false);
  const auto differences = DiffJson(before, after);
  json list = json::array();
  for (const json_difference& difference : differences) {
    list.push_back({{"path", difference.path},
                    {"in_force", difference.before},
                    {"file", difference.after}});
    if (!common.json) {
      std::cout << ToString(difference) << "\n";
    }
  }
  if (common.json) {
    std::cout << json{{"differences", std::move(list)}}.dump() << "\n";
  }
  return differences.empty() ? exit_code::kDone : exit_code::kRefused;
}

}  // namespace trefoilmill
