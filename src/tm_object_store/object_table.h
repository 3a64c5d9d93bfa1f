/// Objects with versions that rise with every write and outlive deletion.
#ifndef TREFOILMILL_TM_OBJECT_STORE_OBJECT_TABLE_H_
#define TREFOILMILL_TM_OBJECT_STORE_OBJECT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"

namespace trefoilmill {

/// Condition of a write: the object must not exist.
struct if_absent {};
/// Condition of a write: the object must exist in this version.
struct if_version {
  revision version;
};
using write_condition = std::variant<if_absent, if_version>;

struct stored_object {
  /// nullopt once deleted.
  std::optional<std::string> value;
  /// 0 for a key that was never written.
  revision version;
};

struct listed_object {
  std::string key;
  revision version;
};

class object_table {
 public:
  /// The object's present state; of an unknown key, version 0 and no value.
  stored_object Get(const std::string& key) const;
  /// Writes if `condition` holds; false if it does not.
  bool Put(const std::string& key,
           std::string value,
           const write_condition& condition);
  /// Deletes if `condition` holds, which must name a version.
  bool Delete(const std::string& key, const if_version& condition);
  /// The objects that exist below `prefix`, in order.
  std::vector<listed_object> List(const std::string& prefix) const;

 private:
  std::map<std::string, stored_object> objects_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_TM_OBJECT_STORE_OBJECT_TABLE_H_
