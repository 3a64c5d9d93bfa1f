#include "diagnostics.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <utility>

namespace trefoilmill {
namespace {

/// The path that holds `path`; nullopt for the whole text.
std::optional<std::string> ParentOf(const std::string& path) {
  if (path.empty()) {
    return std::nullopt;
  }
  const auto cut = path.find_last_of(".[");
  return cut == std::string::npos ? "" : path.substr(0, cut);
}

/// Whether `path` is `holder` or below it.
bool IsWithin(const std::string& path, const std::string& holder) {
  return path.starts_with(holder) &&
         (holder.empty() || path.size() == holder.size() ||
          path[holder.size()] == '.' || path[holder.size()] == '[');
}

}  // namespace

diagnostics::diagnostics(std::map<std::string, text_place> places)
    : places_(std::move(places)) {}

void diagnostics::Alias(const std::string& path, const std::string& origin) {
  aliases_[path] = origin;
}

void diagnostics::Add(const std::string& path, std::string message) {
  error_paths_.insert(path);
  if (errors_.size() >= kMaxErrors) {
    return;
  }
  const std::string key = Resolve(path);
  const text_place place = PlaceOf(key);
  config_error error{.file = place.file,
                     .line = place.line,
                     .key = key,
                     .message = std::move(message)};
  if (std::ranges::find(errors_, error) == errors_.end()) {
    errors_.push_back(std::move(error));
  }
}

bool diagnostics::HasErrorsAt(const std::string& path) const {
  return std::ranges::any_of(error_paths_, [&path](const std::string& one) {
    return IsWithin(one, path);
  });
}

bool diagnostics::AllErrorsWithin(const std::vector<std::string>& paths) const {
  return std::ranges::all_of(error_paths_, [&paths](const std::string& one) {
    return std::ranges::any_of(
        paths, [&one](const std::string& path) { return IsWithin(one, path); });
  });
}

std::vector<config_error> diagnostics::Take() {
  std::ranges::stable_sort(errors_, {}, [](const config_error& error) {
    return std::pair(std::string_view(error.file), error.line);
  });
  return std::exchange(errors_, {});
}

std::string diagnostics::Resolve(const std::string& path) const {
  std::optional<std::string> prefix = path;
  while (prefix.has_value()) {
    const auto found = aliases_.find(*prefix);
    if (found != aliases_.end()) {
      return found->second + path.substr(prefix->size());
    }
    prefix = ParentOf(*prefix);
  }
  return path;
}

text_place diagnostics::PlaceOf(const std::string& path) const {
  std::optional<std::string> holder = path;
  while (holder.has_value()) {
    const auto found = places_.find(*holder);
    if (found != places_.end()) {
      return found->second;
    }
    holder = ParentOf(*holder);
  }
  return {};
}

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row.back();
}

std::string Nearest(std::string_view name,
                    const std::vector<std::string>& candidates) {
  const auto distance = [name](const std::string& candidate) {
    return EditDistance(name, candidate);
  };
  const auto found = std::ranges::min_element(candidates, {}, distance);
  return found == candidates.end() ? "" : *found;
}

std::string Join(const std::vector<std::string>& parts) {
  std::string joined;
  for (const std::string& part : parts) {
    joined += (joined.empty() ? "" : ", ") + part;
  }
  return joined;
}

}  // namespace trefoilmill
