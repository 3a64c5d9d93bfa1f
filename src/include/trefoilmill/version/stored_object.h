/// Objects of the platform's store, as the product follows them.
#ifndef TREFOILMILL_VERSION_STORED_OBJECT_H_
#define TREFOILMILL_VERSION_STORED_OBJECT_H_

#include <string>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"

namespace trefoilmill {

/// What kind of object the product looks for, whatever the platform calls it.
enum class object_kind {
  kConfiguration,
  kEndpoints,
  kZonesOut,  ///< Availability zones that operators have taken out.
  kHosts,     ///< Hosts of this system announce themselves here.
};

inline constexpr object_kind kObjectKinds[] = {
    object_kind::kConfiguration, object_kind::kEndpoints,
    object_kind::kZonesOut, object_kind::kHosts};

/// "configuration", "endpoints", "zones_out", "hosts": for logs and digests.
std::string_view ToString(object_kind kind);

struct stored_object {
  std::string name;
  revision at;
  /// Its content, as JSON text.
  std::string content;
  friend bool operator==(const stored_object&, const stored_object&) = default;
};

struct object_event {
  stored_object object;
  bool deleted = false;
};

/// Part of a list, in the order of names.
struct object_page {
  std::vector<stored_object> items;
  /// The list goes on behind the last item.
  bool has_more = false;
  /// The store's revision that the page shows.
  revision as_of;
};

/// Changes since the revision that was watched from.
struct object_changes {
  std::vector<object_event> events;
  /// Watch on from here.
  revision as_of;
};

/// The store no longer has the changes asked for: list again.
struct history_gone {};

using watch_result = std::variant<object_changes, history_gone>;

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_STORED_OBJECT_H_
