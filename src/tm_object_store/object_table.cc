#include "tm_object_store/object_table.h"

#include <utility>

namespace trefoilmill {

namespace {

struct condition_check {
  const stored_object& present;

  bool operator()(const if_absent&) const { return !present.value; }
  bool operator()(const if_version& condition) const {
    return present.value && present.version == condition.version;
  }
};

bool Holds(const stored_object& present, const write_condition& condition) {
  return std::visit(condition_check{present}, condition);
}

void Write(stored_object& object, std::optional<std::string> value) {
  object.value = std::move(value);
  object.version = revision(object.version.value() + 1);
}

}  // namespace

stored_object object_table::Get(const std::string& key) const {
  const auto found = objects_.find(key);
  return found == objects_.end() ? stored_object{} : found->second;
}

bool object_table::Put(const std::string& key,
                       std::string value,
                       const write_condition& condition) {
  if (!Holds(Get(key), condition)) {
    return false;
  }
  Write(objects_[key], std::move(value));
  return true;
}

bool object_table::Delete(const std::string& key, const if_version& condition) {
  if (!Holds(Get(key), condition)) {
    return false;
  }
  Write(objects_[key], std::nullopt);
  return true;
}

std::vector<listed_object> object_table::List(const std::string& prefix) const {
  std::vector<listed_object> listed;
  for (auto at = objects_.lower_bound(prefix);
       at != objects_.end() && at->first.starts_with(prefix); ++at) {
    if (at->second.value) {
      listed.push_back({.key = at->first, .version = at->second.version});
    }
  }
  return listed;
}

}  // namespace trefoilmill
