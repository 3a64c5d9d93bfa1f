#include "files.h"

#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

#include "trefoilmill/wire/deployment_codec.h"
#include "trefoilmill/wire/entry_settings_codec.h"
#include "trefoilmill/wire/settings_codec.h"
#include "trefoilmill/wire/settings_file.h"

namespace trefoilmill {
namespace {

/// The deployment's own text and that of its template, if it names one.
struct deployment_texts {
  config_text own;
  std::optional<config_text> shared;
  std::vector<config_error> errors;
};

deployment_texts ReadTexts(const std::string& file) {
  deployment_texts texts;
  auto own = ReadTextFile(file);
  if (!own.has_value()) {
    texts.errors.push_back(UnreadableFile(file));
    return texts;
  }
  texts.own = {.text = *std::move(own), .file = file};
  const auto reference = TemplateFileOf(texts.own.text);
  if (!reference.has_value()) {
    return texts;
  }
  const std::string shared_file =
      (std::filesystem::path(file).parent_path() / reference->file).string();
  auto shared = ReadTextFile(shared_file);
  if (!shared.has_value()) {
    texts.errors.push_back({.file = file,
                            .line = reference->line,
                            .key = "template_file",
                            .message = "cannot read " + shared_file});
    return texts;
  }
  texts.shared = {.text = *std::move(shared), .file = shared_file};
  return texts;
}

}  // namespace

load_outcome LoadDeployment(const std::string& file) {
  deployment_texts texts = ReadTexts(file);
  if (!texts.errors.empty()) {
    return {.value = std::nullopt, .errors = std::move(texts.errors)};
  }
  auto parsed =
      texts.shared.has_value()
          ? ParseDeployment(texts.own, *texts.shared, strictness::kWhole)
          : ParseDeployment(texts.own.text, file, strictness::kWhole);
  if (!parsed.value.has_value()) {
    return {.value = std::nullopt, .errors = std::move(parsed.errors)};
  }
  const std::string shared = texts.shared.has_value() ? texts.shared->text : "";
  std::string document = ComposeDocument(texts.own.text, shared);
  if (document.size() > kMaxDocumentBytes) {
    return {
        .value = std::nullopt,
        .errors = {{.file = file,
                    .line = 1,
                    .key = "",
                    .message = "is larger than the store's " +
                               std::to_string(kMaxDocumentBytes) + " bytes"}}};
  }
  return {.value = loaded_deployment{.value = *std::move(parsed.value),
                                     .document = std::move(document)},
          .errors = {}};
}

std::vector<config_error> CheckFile(const std::string& file) {
  const auto text = ReadTextFile(file);
  if (!text.has_value()) {
    return {UnreadableFile(file)};
  }
  switch (GuessFileKind(*text)) {
    case file_kind::kDaemonSettings:
      return ParseDaemonSettings(*text, file).errors;
    case file_kind::kEntrySettings:
      return ParseEntrySettings(*text, file).errors;
    case file_kind::kDeployment:
      break;
  }
  return LoadDeployment(file).errors;
}

void PrintErrors(const std::vector<config_error>& errors, bool as_json) {
  if (!as_json) {
    for (const config_error& error : errors) {
      std::cerr << ToString(error) << "\n";
    }
    return;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const config_error& error : errors) {
    list.push_back({{"file", error.file},
                    {"line", error.line},
                    {"key", error.key},
                    {"message", error.message}});
  }
  std::cout << nlohmann::json{{"errors", std::move(list)}}.dump(
                   -1, ' ', false, nlohmann::json::error_handler_t::replace)
            << "\n";
}

}  // namespace trefoilmill
