/// Reads files that people or the platform write.
#ifndef TREFOILMILL_WIRE_SETTINGS_FILE_H_
#define TREFOILMILL_WIRE_SETTINGS_FILE_H_

#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/wire/config_error.h"

namespace trefoilmill {

/// The file's content; nullopt if it cannot be read.
std::optional<std::string> ReadTextFile(const std::string& file);

/// The error of a file that cannot be read.
config_error UnreadableFile(const std::string& file);

/// Settings, or everything that is wrong with them.
template <class settings>
struct parsed_settings {
  /// Set exactly if `errors` is empty.
  std::optional<settings> value;
  std::vector<config_error> errors;
};

/// Reads the file and gives its text to `parse`.
template <class settings>
parsed_settings<settings> ReadSettingsFile(
    const std::string& file,
    parsed_settings<settings> (*parse)(const std::string& text,
                                       const std::string& file)) {
  const auto text = ReadTextFile(file);
  if (!text.has_value()) {
    return {.value = std::nullopt, .errors = {UnreadableFile(file)}};
  }
  return parse(*text, file);
}

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_SETTINGS_FILE_H_
