/// Errors in what people write: settings, templates, parameters. All errors
/// of a text are found at once, each with its place and what is allowed.
#ifndef TREFOILMILL_WIRE_CONFIG_ERROR_H_
#define TREFOILMILL_WIRE_CONFIG_ERROR_H_

#include <string>
#include <vector>

namespace trefoilmill {

/// One error and where it is.
struct config_error {
  /// The file's name as it was given; empty for a text without a file.
  std::string file;
  /// Line of the value, from 1.
  int line = 1;
  /// Path of the value, such as "parameters.zones[1].ip"; empty for the whole
  /// text.
  std::string key;
  /// What is wrong and what is allowed.
  std::string message;

  friend bool operator==(const config_error&, const config_error&) = default;
};

/// One line for people: "file:line: key: message".
std::string ToString(const config_error& error);

/// `{"errors": [{"line", "key", "message"}]}` for the administration API.
std::string WriteConfigErrors(const std::vector<config_error>& errors);

/// Inverse of WriteConfigErrors(); empty for a text of another form.
std::vector<config_error> ParseConfigErrors(const std::string& text,
                                            const std::string& file);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_CONFIG_ERROR_H_
