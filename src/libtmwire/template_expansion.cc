#include "template_expansion.h"

#include <optional>
#include <utility>
#include <vector>

#include "wire_json.h"

namespace trefoilmill {
namespace {

const char* const reference_key = "$param";
const char* const declarations_path = "template.parameters";

/// A parameter's value and where it was written.
struct bound_value {
  const json* value;
  std::string path;
};

/// Looks parameters up: first those of the organisation, then the defaults.
class parameter_scope {
 public:
  explicit parameter_scope(const json& document)
      : given_(FindMember(document, "parameters")) {
    const json* shared = FindMember(document, "template");
    declared_ = shared == nullptr ? nullptr : FindMember(*shared, "parameters");
  }

  std::optional<bound_value> Find(const std::string& name) const {
    const json* declaration =
        declared_ == nullptr ? nullptr : FindMember(*declared_, name);
    if (declaration == nullptr) {
      return std::nullopt;
    }
    const json* given = given_ == nullptr ? nullptr : FindMember(*given_, name);
    if (given != nullptr) {
      return bound_value{given, MemberPath("parameters", name)};
    }
    const json* fallback = FindMember(*declaration, "default");
    if (fallback != nullptr) {
      return bound_value{
          fallback, MemberPath(MemberPath(declarations_path, name), "default")};
    }
    return std::nullopt;
  }

  std::string WhyMissing(const std::string& name) const {
    const bool is_declared =
        declared_ != nullptr && FindMember(*declared_, name) != nullptr;
    return is_declared
               ? "needs parameter \"" + name + "\", which has no default"
               : "refers to parameter \"" + name +
                     "\", which the template does not declare";
  }

 private:
  const json* given_;
  const json* declared_ = nullptr;
};

bool IsReference(const json& value) {
  return value.is_object() && value.contains(reference_key);
}

class expander {
 public:
  expander(const parameter_scope& scope, diagnostics& errors)
      : scope_(scope), errors_(errors) {}

  /// Expands `value`; false if it has no value and must be taken out.
  bool Expand(json& value, const std::string& path) {
    if (IsReference(value)) {
      return Substitute(value, path);
    }
    if (value.is_object()) {
      ExpandMembers(value, path);
    } else if (value.is_array()) {
      ExpandElements(value, path);
    }
    return true;
  }

 private:
  bool Substitute(json& value, const std::string& path) {
    const json& name = value[reference_key];
    if (!name.is_string() || value.size() != 1) {
      errors_.Add(path, "a reference must be {\"$param\": \"NAME\"}");
      return false;
    }
    const auto bound = scope_.Find(name.get<std::string>());
    if (!bound.has_value()) {
      errors_.Add(path, scope_.WhyMissing(name.get<std::string>()));
      return false;
    }
    errors_.Alias(path, bound->path);
    // The copy comes first: assigning drops the name.
    json copy = *bound->value;
    value = std::move(copy);
    return true;
  }

  void ExpandMembers(json& object, const std::string& path) {
    std::vector<std::string> missing;
    for (auto& [key, member] : object.items()) {
      if (!Expand(member, MemberPath(path, key))) {
        missing.push_back(key);
      }
    }
    for (const std::string& key : missing) {
      object.erase(key);
    }
  }

  void ExpandElements(json& list, const std::string& path) {
    for (std::size_t i = 0; i < list.size(); ++i) {
      if (!Expand(list[i], ElementPath(path, i))) {
        list[i] = nullptr;
      }
    }
  }

  const parameter_scope& scope_;
  diagnostics& errors_;
};

}  // namespace

void ExpandTemplate(json& document, diagnostics& errors) {
  if (!document.is_object() || !document.contains("template")) {
    return;
  }
  const json original = document;
  const parameter_scope scope(original);
  json& shared = document["template"];
  if (!shared.is_object()) {
    return;
  }
  expander expand(scope, errors);
  for (auto& [key, section] : shared.items()) {
    if (key != "parameters" &&
        !expand.Expand(section, MemberPath("template", key))) {
      section = json::object();
    }
  }
}

std::set<std::string> DeclaredParameters(const json& document) {
  std::set<std::string> names;
  const json* shared = FindMember(document, "template");
  const json* declared =
      shared == nullptr ? nullptr : FindMember(*shared, "parameters");
  if (declared != nullptr && declared->is_object()) {
    for (const auto& [name, declaration] : declared->items()) {
      names.insert(name);
    }
  }
  return names;
}

}  // namespace trefoilmill
