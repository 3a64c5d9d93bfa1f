/// The differences between two JSON values, path by path.
#ifndef TREFOILMILL_TREFOILMILLCTL_JSON_DIFF_H_
#define TREFOILMILL_TREFOILMILLCTL_JSON_DIFF_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace trefoilmill {

/// One value that differs. Empty `before` or `after`: it is not there.
struct json_difference {
  std::string path;
  std::string before;
  std::string after;
};

/// Elements of lists that have a "name" or an "id" are matched by it, whatever
/// their order; others by their position.
std::vector<json_difference> DiffJson(const nlohmann::json& before,
                                      const nlohmann::json& after);

/// "path: before -> after", with "(none)" for what is not there.
std::string ToString(const json_difference& difference);

}  // namespace trefoilmill

#endif  // TREFOILMILL_TREFOILMILLCTL_JSON_DIFF_H_
