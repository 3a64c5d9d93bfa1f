/// JSON with comments, parsed so that each value's place in the text is known.
#ifndef TREFOILMILL_LIBTMWIRE_LOCATED_JSON_H_
#define TREFOILMILL_LIBTMWIRE_LOCATED_JSON_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "trefoilmill/wire/config_error.h"

namespace trefoilmill {

using json = nlohmann::json;

/// Deepest nesting of objects and arrays that is read.
inline constexpr std::size_t kMaxNesting = 64;

/// Where a value stands.
struct text_place {
  std::string file;
  int line = 1;
};

/// A parsed text; `value` is null if `errors` is not empty.
struct located_json {
  json value;
  /// By path, such as "parameters.zones[1].ip"; "" is the whole text.
  std::map<std::string, text_place> places;
  std::vector<config_error> errors;
};

/// Parses `text`. Besides broken syntax, a key that occurs twice in one object
/// and too deep nesting are errors.
located_json ParseLocatedJson(const std::string& text, const std::string& file);

/// The path of `key` within the object at `path`.
std::string MemberPath(const std::string& path, const std::string& key);

/// The path of element `index` of the array at `path`.
std::string ElementPath(const std::string& path, std::size_t index);

/// Parses a text from another program: no comments, nesting bounded. A
/// discarded value means broken syntax.
json ParseStrictJson(const std::string& text);

/// Writes `value`; bytes that are not UTF-8 are replaced. One line unless
/// `indent` is 0 or more.
std::string Dump(const json& value, int indent = -1);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMWIRE_LOCATED_JSON_H_
