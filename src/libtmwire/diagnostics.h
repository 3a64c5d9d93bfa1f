/// Collects the errors of one text, or of one template with its parameters.
#ifndef TREFOILMILL_LIBTMWIRE_DIAGNOSTICS_H_
#define TREFOILMILL_LIBTMWIRE_DIAGNOSTICS_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "located_json.h"
#include "trefoilmill/wire/config_error.h"

namespace trefoilmill {

/// Errors of one text that are kept; more would not help anyone.
inline constexpr std::size_t kMaxErrors = 500;

class diagnostics {
 public:
  explicit diagnostics(std::map<std::string, text_place> places);

  /// Says that the value at `path`, and all below it, was written at `origin`.
  void Alias(const std::string& path, const std::string& origin);

  /// Records an error at `path`; the line is that of the nearest value which
  /// holds it.
  void Add(const std::string& path, std::string message);

  /// Whether any error was added at `path` or below it.
  bool HasErrorsAt(const std::string& path) const;

  /// Whether every error was added at one of `paths` or below.
  bool AllErrorsWithin(const std::vector<std::string>& paths) const;

  /// Errors so far, in the order in which they were found.
  const std::vector<config_error>& errors() const { return errors_; }
  /// Hands the errors out, in the order of files and lines.
  std::vector<config_error> Take();

 private:
  std::string Resolve(const std::string& path) const;
  text_place PlaceOf(const std::string& path) const;

  std::map<std::string, text_place> places_;
  std::map<std::string, std::string> aliases_;
  std::vector<config_error> errors_;
  /// Paths as they were given to Add().
  std::set<std::string> error_paths_;
};

/// Fewest insertions, deletions and replacements that turn `a` into `b`.
std::size_t EditDistance(std::string_view a, std::string_view b);

/// The candidate with the least edit distance to `name`; empty if there is
/// none.
std::string Nearest(std::string_view name,
                    const std::vector<std::string>& candidates);

/// "a, b, c".
std::string Join(const std::vector<std::string>& parts);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMWIRE_DIAGNOSTICS_H_
