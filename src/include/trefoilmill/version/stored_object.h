/// Objects of the platform's store, in the form that this system uses for lists
/// and watches.
#ifndef TREFOILMILL_VERSION_STORED_OBJECT_H_
#define TREFOILMILL_VERSION_STORED_OBJECT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/version/part_set.h"

namespace trefoilmill {

/// The kinds of stored objects that this system reads. The platform's names for
/// them may differ.
enum class object_kind {
  kConfiguration,
  kEndpoints,
  kZonesOut,  ///< Availability zones that operators took out of service.
  kHosts,     ///< Announcements of the hosts of this system.
  kRollouts,  ///< Orders to move services to another software version.
  kQuarantinedRequests,  ///< Requests that are sent to no endpoint any more.
};

/// The kinds of which hosts keep copies, for iteration. Roll-outs are followed
/// only where the settings call for it.
inline constexpr object_kind kObjectKinds[] = {
    object_kind::kConfiguration, object_kind::kEndpoints,
    object_kind::kZonesOut, object_kind::kHosts, object_kind::kRollouts};

/// Returns "configuration", "endpoints", "zones_out", "hosts",
/// "rollouts" or "quarantined_requests", for logs and digests.
std::string_view ToString(object_kind kind);

/// One object of the store.
struct stored_object {
  std::string name;
  /// Store revision of the last write, or of the deletion in a deletion event.
  revision at;
  /// JSON text; see platform::DecodeRollout() for that of an order, which
  /// includes the state that the system writes. Empty if `parts` is set.
  std::string content;
  /// The content of a configuration, split into parts; null for other kinds.
  std::shared_ptr<const part_set> parts;

  friend bool operator==(const stored_object& a, const stored_object& b) {
    const bool same_parts =
        a.parts == nullptr || b.parts == nullptr || *a.parts == *b.parts;
    return a.name == b.name && a.at == b.at && a.content == b.content &&
           (a.parts == nullptr) == (b.parts == nullptr) && same_parts;
  }
};

/// A newer version of an object whose content is split into parts, as what
/// differs from another version.
struct object_patch {
  std::string name;
  revision at;
  /// Digest of the parts that it applies to.
  std::uint64_t base_digest = 0;
  /// Digest of the parts that it leads to.
  std::uint64_t digest = 0;
  std::vector<part_digest> removed;
  std::vector<shared_part> added;
};

/// A write or deletion of one object.
struct object_event {
  stored_object object;
  bool deleted = false;
};

/// One page of a list, sorted by name.
struct object_page {
  std::vector<stored_object> items;
  /// Whether more items follow the last one of this page.
  bool has_more = false;
  /// Store revision at which the page was read.
  revision as_of;
};

/// Changes since the revision that a watch started from.
struct object_changes {
  std::vector<object_event> events;
  /// Store revision up to which `events` is complete; the next watch starts
  /// here.
  revision as_of;
};

/// The store no longer has the history since the requested revision; the
/// objects must be listed again.
struct history_compacted {};

/// Result of a watch.
using watch_result = std::variant<object_changes, history_compacted>;

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_STORED_OBJECT_H_
