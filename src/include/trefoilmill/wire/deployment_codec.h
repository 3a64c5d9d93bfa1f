/// Puts a template and one organisation's parameters together into a
/// deployment, and checks it. The document "deployment" in the platform's
/// store is `{"template": {...}, "parameters": {...}}`; docs/CONFIGURATION.md
/// describes both parts.
///
/// In the template, `{"$param": "name"}` stands for a parameter's value.
/// Endpoints of a service are named and addressed deterministically: service 3
/// of "kiosk-counter" has "kiosk-counter-3-a", "-b" and "-c", dealt out over
/// the zones in turn.
#ifndef TREFOILMILL_WIRE_DEPLOYMENT_CODEC_H_
#define TREFOILMILL_WIRE_DEPLOYMENT_CODEC_H_

#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/snapshot.h"
#include "trefoilmill/wire/config_error.h"

namespace trefoilmill {

/// What to do about an error that concerns one service only.
enum class strictness {
  kWhole,             ///< Any error leaves no deployment (validate, apply).
  kKeepGoodServices,  ///< Leave out broken services (a daemon's reading).
};

/// A deployment, its errors, or with kKeepGoodServices both.
struct parsed_deployment {
  std::optional<deployment> value;
  std::vector<config_error> errors;
};

/// A text and the name of its file, for errors.
struct config_text {
  std::string text;
  std::string file;
};

/// Largest document that the platform's store holds, in bytes.
inline constexpr std::size_t kMaxDocumentBytes = 1000000;

/// Reads the document "deployment". `file` names the text in errors.
parsed_deployment ParseDeployment(const std::string& text,
                                  const std::string& file,
                                  strictness strict);

/// Reads a deployment file whose template stands in a file of its own.
parsed_deployment ParseDeployment(const config_text& parameters,
                                  const config_text& shared_template,
                                  strictness strict);

/// A deployment's `"template_file"`, relative to the deployment's own file.
struct template_reference {
  std::string file;
  /// Line of the name, from 1.
  int line = 1;
};

/// nullopt if the template stands in the same text, or the text is malformed.
std::optional<template_reference> TemplateFileOf(const std::string& text);

/// What a file of JSON with comments is about.
enum class file_kind { kDaemonSettings, kEntrySettings, kDeployment };

/// Guesses from the top-level keys; a deployment if nothing tells.
file_kind GuessFileKind(const std::string& text);

/// The document to store: one line without comments. The texts must have been
/// read without errors; `shared_template` is empty if there is only one.
std::string ComposeDocument(const std::string& parameters,
                            const std::string& shared_template);

/// Writes a deployment out in full, as a document that ParseDeployment() reads
/// back as the same.
std::string WriteDeployment(const deployment& value);

/// A catalog with one version in which each shard of a service has replicas in
/// as many zones as its searchers allow. For stand-ins and trials: the true
/// catalog comes from the platform's indexing side.
snapshot_catalog DefaultCatalog(const deployment& value,
                                snapshot_version version);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_DEPLOYMENT_CODEC_H_
