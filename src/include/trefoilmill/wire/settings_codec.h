/// Reads a daemon's settings file. docs/CONFIGURATION.md lists every setting.
#ifndef TREFOILMILL_WIRE_SETTINGS_CODEC_H_
#define TREFOILMILL_WIRE_SETTINGS_CODEC_H_

#include <string>
#include <string_view>

#include "trefoilmill/settings.h"
#include "trefoilmill/wire/settings_file.h"

namespace trefoilmill {

/// Reads JSON with comments. `file` names the text in errors. A key that is
/// not known is an error that names the nearest known one.
parsed_settings<daemon_settings> ParseDaemonSettings(const std::string& text,
                                                     const std::string& file);

/// The wire name of a level: "debug", "info", "warning", "error".
std::string_view ToString(log_level level);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_SETTINGS_CODEC_H_
