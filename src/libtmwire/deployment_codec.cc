#include "trefoilmill/wire/deployment_codec.h"

#include <algorithm>
#include <utility>

#include "deployment_sections.h"
#include "diagnostics.h"
#include "located_json.h"
#include "object_reader.h"
#include "service_reader.h"
#include "template_expansion.h"
#include "wire_json.h"

namespace trefoilmill {
namespace {

using enum presence;

constexpr integer_range kPorts = {1, 65535};
constexpr const char* kGroupsPath = "template.service_groups";
constexpr const char* kServicesPath = "parameters.services";
constexpr std::size_t kMaxZones = 100;
constexpr std::size_t kMaxTextBytes = 4 * kMaxDocumentBytes;

/// One declared parameter of the template, checked for form only.
void CheckDeclarations(object_reader& shared_template, diagnostics& errors) {
  const json* declared = shared_template.Member("parameters", kOptional);
  const std::string path = shared_template.PathOf("parameters");
  if (declared == nullptr) {
    return;
  }
  if (!declared->is_object()) {
    errors.Add(path, "must be an object, not " + TypeName(*declared));
    return;
  }
  for (const auto& [name, declaration] : declared->items()) {
    object_reader reader(declaration, MemberPath(path, name), errors);
    std::string description;
    reader.Text("description", text_rule::kAny, kRequired, description);
    reader.Member("default", kOptional);
    reader.Finish();
  }
}

zone_place ReadZone(const json& value,
                    const std::string& path,
                    diagnostics& errors) {
  zone_place place;
  object_reader reader(value, path, errors);
  reader.Id("name", text_rule::kName, kRequired, place.zone);
  socket_address first;
  reader.Text("ip", text_rule::kIpNumber, kOptional, first.ip);
  reader.Integer("first_port", kPorts, kOptional, first.port);
  reader.Finish();
  if (first.ip.empty() != (first.port == 0) && !errors.HasErrorsAt(path)) {
    errors.Add(path, "needs both \"ip\" and \"first_port\", or neither");
  }
  if (!first.ip.empty() && first.port != 0) {
    place.first = first;
  }
  place.usable = !errors.HasErrorsAt(path);
  return place;
}

std::vector<zone_place> ReadZones(object_reader& parameters,
                                  diagnostics& errors) {
  const json* list = parameters.Member("zones", kRequired);
  std::vector<zone_place> zones;
  if (list == nullptr) {
    return zones;
  }
  if (!list->is_array() || list->empty() || list->size() > kMaxZones) {
    parameters.AddError("zones",
                        "must be a list of 1 to " + std::to_string(kMaxZones));
    return zones;
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string path = ElementPath(parameters.PathOf("zones"), i);
    zone_place zone = ReadZone((*list)[i], path, errors);
    if (std::ranges::find(zones, zone.zone, &zone_place::zone) != zones.end()) {
      errors.Add(path, "names zone \"" + zone.zone.value() + "\" again");
    }
    zones.push_back(std::move(zone));
  }
  return zones;
}

/// Parameters besides the fixed ones are those that the template declares.
void AcceptDeclared(const json& document, object_reader& parameters) {
  for (const std::string& name : DeclaredParameters(document)) {
    parameters.Member(name, kOptional);
  }
}

/// Reads an expanded document; services with errors are left out.
deployment ReadDocument(const json& document, diagnostics& errors) {
  static const json no_groups = json::object();
  deployment out;
  object_reader root(document, "", errors);
  const json* shared = root.Member("template", kRequired);
  const json* given = root.Member("parameters", kRequired);
  root.Finish();
  if (shared == nullptr || given == nullptr) {
    return out;
  }
  object_reader shared_template(*shared, "template", errors);
  std::string name;
  shared_template.Text("name", text_rule::kName, kOptional, name);
  CheckDeclarations(shared_template, errors);
  ReadSections(shared_template, out);
  const json* groups = shared_template.Member("service_groups", kOptional);
  shared_template.Finish();

  object_reader parameters(*given, "parameters", errors);
  parameters.Id("organisation", text_rule::kName, kRequired, out.organisation);
  const auto zones = ReadZones(parameters, errors);
  std::ranges::transform(zones, std::back_inserter(out.zones),
                         &zone_place::zone);
  const json* services = parameters.Member("services", kRequired);
  AcceptDeclared(document, parameters);
  parameters.Finish();
  if (zones.empty() || services == nullptr) {
    return out;
  }
  service_reader reader(zones, errors);
  reader.ReadGroups(groups == nullptr ? no_groups : *groups, kGroupsPath);
  out.services = reader.ReadServices(*services, kServicesPath);
  return out;
}

parsed_deployment ReadLocated(located_json parsed, strictness strict) {
  if (!parsed.errors.empty()) {
    return {.value = std::nullopt, .errors = std::move(parsed.errors)};
  }
  diagnostics errors(std::move(parsed.places));
  json document = std::move(parsed.value);
  ExpandTemplate(document, errors);
  deployment value = ReadDocument(document, errors);
  const bool usable =
      errors.errors().empty() ||
      (strict == strictness::kKeepGoodServices && !value.services.empty() &&
       errors.AllErrorsWithin({kGroupsPath, kServicesPath}));
  parsed_deployment out;
  if (usable) {
    out.value = std::move(value);
  }
  out.errors = errors.Take();
  return out;
}

std::optional<config_error> TooLarge(const std::string& text,
                                     const std::string& file,
                                     std::size_t most) {
  if (text.size() <= most) {
    return std::nullopt;
  }
  return config_error{
      .file = file,
      .line = 1,
      .key = "",
      .message = "is larger than " + std::to_string(most) + " bytes"};
}

/// Moves the template's members and places into `into`.
void MergeTemplate(located_json shared, located_json& into) {
  if (!into.errors.empty() || !shared.errors.empty()) {
    std::ranges::move(shared.errors, std::back_inserter(into.errors));
    return;
  }
  if (!into.value.is_object() || !shared.value.is_object()) {
    return;
  }
  into.value.erase("template_file");
  for (auto& [key, member] : shared.value.items()) {
    if (into.value.contains(key)) {
      const text_place place = into.places[key];
      into.errors.push_back({.file = place.file,
                             .line = place.line,
                             .key = key,
                             .message = "stands in the template's file too"});
    }
    into.value[key] = std::move(member);
  }
  shared.places.erase("");
  into.places.merge(shared.places);
}

}  // namespace

parsed_deployment ParseDeployment(const std::string& text,
                                  const std::string& file,
                                  strictness strict) {
  if (const auto error = TooLarge(text, file, kMaxTextBytes)) {
    return {.value = std::nullopt, .errors = {*error}};
  }
  return ReadLocated(ParseLocatedJson(text, file), strict);
}

parsed_deployment ParseDeployment(const config_text& parameters,
                                  const config_text& shared_template,
                                  strictness strict) {
  for (const config_text& part : {parameters, shared_template}) {
    if (const auto error = TooLarge(part.text, part.file, kMaxTextBytes)) {
      return {.value = std::nullopt, .errors = {*error}};
    }
  }
  located_json merged = ParseLocatedJson(parameters.text, parameters.file);
  MergeTemplate(ParseLocatedJson(shared_template.text, shared_template.file),
                merged);
  return ReadLocated(std::move(merged), strict);
}

std::optional<template_reference> TemplateFileOf(const std::string& text) {
  located_json parsed = ParseLocatedJson(text, "");
  auto file = FindText(parsed.value, "template_file");
  if (!file.has_value()) {
    return std::nullopt;
  }
  return template_reference{.file = *std::move(file),
                            .line = parsed.places["template_file"].line};
}

file_kind GuessFileKind(const std::string& text) {
  const located_json parsed = ParseLocatedJson(text, "");
  const auto has = [&parsed](const char* key) {
    return FindMember(parsed.value, key) != nullptr;
  };
  const bool is_deployment =
      has("template") || has("template_file") || has("parameters");
  if (!is_deployment && (has("readiness") || has("availability_zone"))) {
    return file_kind::kEntrySettings;
  }
  const bool is_settings = has("host") || has("callers") || has("peers") ||
                           has("administration") || has("store");
  return is_settings && !is_deployment ? file_kind::kDaemonSettings
                                       : file_kind::kDeployment;
}

std::string ComposeDocument(const std::string& parameters,
                            const std::string& shared_template) {
  located_json merged = ParseLocatedJson(parameters, "");
  if (!shared_template.empty()) {
    MergeTemplate(ParseLocatedJson(shared_template, ""), merged);
  }
  return Dump(merged.value);
}

}  // namespace trefoilmill
