/// Reads the settings file of an entry process.
#ifndef TREFOILMILL_WIRE_ENTRY_SETTINGS_CODEC_H_
#define TREFOILMILL_WIRE_ENTRY_SETTINGS_CODEC_H_

#include <string>

#include "trefoilmill/entry_settings.h"
#include "trefoilmill/wire/settings_file.h"

namespace trefoilmill {

/// Reads JSON with comments; `file` names the text in errors.
parsed_settings<entry_settings> ParseEntrySettings(const std::string& text,
                                                   const std::string& file);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_ENTRY_SETTINGS_CODEC_H_
