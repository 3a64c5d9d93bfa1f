#include "json_diff.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace trefoilmill {
namespace {

using nlohmann::json;

/// The name that tells a list's element from others; empty if it has none.
std::string NameOf(const json& element) {
  for (const char* key : {"name", "id"}) {
    if (element.is_object() && element.contains(key) &&
        element[key].is_string()) {
      return element[key].get<std::string>();
    }
  }
  return "";
}

bool AllNamed(const json& list) {
  std::set<std::string> names;
  return std::ranges::all_of(list, [&names](const json& element) {
    const std::string name = NameOf(element);
    return !name.empty() && names.insert(name).second;
  });
}

std::map<std::string, const json*> Members(const json& value, bool by_name) {
  std::map<std::string, const json*> members;
  if (value.is_object()) {
    for (const auto& [key, member] : value.items()) {
      members.emplace("." + key, &member);
    }
    return members;
  }
  for (std::size_t i = 0; i < value.size(); ++i) {
    const std::string key = by_name ? NameOf(value[i]) : std::to_string(i);
    members.emplace("[" + key + "]", &value[i]);
  }
  return members;
}

std::string Shown(const json* value) {
  return value == nullptr
             ? ""
             : value->dump(-1, ' ', false, json::error_handler_t::replace);
}

void Compare(const json* before,
             const json* after,
             const std::string& path,
             std::vector<json_difference>& out) {
  const bool both = before != nullptr && after != nullptr;
  if (both && *before == *after) {
    return;
  }
  const bool structured =
      both && before->type() == after->type() && before->is_structured();
  if (!structured) {
    out.push_back(
        {.path = path, .before = Shown(before), .after = Shown(after)});
    return;
  }
  const bool by_name = AllNamed(*before) && AllNamed(*after);
  const auto old_members = Members(*before, by_name);
  auto all = Members(*after, by_name);
  all.insert(old_members.begin(), old_members.end());
  const auto new_members = Members(*after, by_name);
  for (const auto& [key, unused] : all) {
    const auto old_one = old_members.find(key);
    const auto new_one = new_members.find(key);
    const std::string member_path =
        path.empty() && key.starts_with('.') ? key.substr(1) : path + key;
    Compare(old_one == old_members.end() ? nullptr : old_one->second,
            new_one == new_members.end() ? nullptr : new_one->second,
            member_path, out);
  }
}

}  // namespace

std::vector<json_difference> DiffJson(const json& before, const json& after) {
  std::vector<json_difference> out;
  Compare(&before, &after, "", out);
  return out;
}

std::string ToString(const json_difference& difference) {
  const auto shown = [](const std::string& text) {
    return text.empty() ? std::string("(none)") : text;
  };
  return difference.path + ": " + shown(difference.before) + " -> " +
         shown(difference.after);
}

}  // namespace trefoilmill
