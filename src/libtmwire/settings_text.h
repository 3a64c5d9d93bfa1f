/// What the settings of all processes have in common.
#ifndef TREFOILMILL_LIBTMWIRE_SETTINGS_TEXT_H_
#define TREFOILMILL_LIBTMWIRE_SETTINGS_TEXT_H_

#include <string>
#include <utility>

#include "diagnostics.h"
#include "located_json.h"
#include "object_reader.h"
#include "trefoilmill/settings.h"
#include "trefoilmill/wire/settings_file.h"

namespace trefoilmill {

inline void ReadLogLevel(object_reader& reader, log_level& out) {
  reader.Choice<log_level>("log_level",
                           {{"debug", log_level::kDebug},
                            {"info", log_level::kInfo},
                            {"warning", log_level::kWarning},
                            {"error", log_level::kError}},
                           presence::kOptional, out);
}

/// Parses JSON with comments. `read` makes the settings of the members; `check`
/// looks at settings without errors and may add some.
template <class settings, class read_function, class check_function>
parsed_settings<settings> ParseSettingsText(const std::string& text,
                                            const std::string& file,
                                            read_function read,
                                            check_function check) {
  located_json parsed = ParseLocatedJson(text, file);
  if (!parsed.errors.empty()) {
    return {.value = std::nullopt, .errors = std::move(parsed.errors)};
  }
  diagnostics errors(std::move(parsed.places));
  object_reader reader(parsed.value, "", errors);
  settings made = read(reader);
  reader.Finish();
  if (errors.errors().empty()) {
    check(made, reader);
  }
  if (!errors.errors().empty()) {
    return {.value = std::nullopt, .errors = errors.Take()};
  }
  return {.value = std::move(made), .errors = {}};
}

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMWIRE_SETTINGS_TEXT_H_
