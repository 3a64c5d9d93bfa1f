/// Reads the settings file of an entry process.
#ifndef TREFOILMILL_WIRE_ENTRY_SETTINGS_CODEC_H_
#define TREFOILMILL_WIRE_ENTRY_SETTINGS_CODEC_H_

#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/entry_settings.h"
#include "trefoilmill/wire/config_error.h"

namespace trefoilmill {

struct parsed_entry_settings {
  /// Set exactly if `errors` is empty.
  std::optional<entry_settings> value;
  std::vector<config_error> errors;
};

/// Reads JSON with comments; `file` names the text in errors.
parsed_entry_settings ParseEntrySettings(const std::string& text,
                                         const std::string& file);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_ENTRY_SETTINGS_CODEC_H_
