/// Reads deployments, with their templates, and settings from files.
#ifndef TREFOILMILL_TREFOILMILLCTL_FILES_H_
#define TREFOILMILL_TREFOILMILLCTL_FILES_H_

#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/wire/config_error.h"

namespace trefoilmill {

/// A deployment that was read and checked.
struct loaded_deployment {
  deployment value;
  /// What is to be stored.
  std::string document;
};

/// Exactly one of `value` and `errors` is filled.
struct load_outcome {
  std::optional<loaded_deployment> value;
  std::vector<config_error> errors;
};

/// Reads `file`, and the template that it names, relative to it.
load_outcome LoadDeployment(const std::string& file);

/// All errors of a deployment or of a process's settings, whichever it is.
std::vector<config_error> CheckFile(const std::string& file);

/// Prints each error on a line of its own, or all as JSON.
void PrintErrors(const std::vector<config_error>& errors, bool as_json);

}  // namespace trefoilmill

#endif  // TREFOILMILL_TREFOILMILLCTL_FILES_H_
