#include "trefoilmill_entry/object_digests.h"

#include <algorithm>
#include <string>

namespace trefoilmill::entry {

document_id DocumentIdOf(object_kind kind) {
  return document_id(std::string(ToString(kind)));
}

std::optional<object_kind> KindOf(const document_id& document) {
  for (const object_kind kind : kObjectKinds) {
    if (document == DocumentIdOf(kind)) {
      return kind;
    }
  }
  return std::nullopt;
}

std::vector<document_digest> DigestsOf(const store_sync& store) {
  std::vector<document_digest> digests;
  for (const object_kind kind : kObjectKinds) {
    const revision at = store.Follower(kind).changed_at();
    if (at != revision()) {
      digests.push_back({.id = DocumentIdOf(kind), .in_force = at});
    }
  }
  return digests;
}

std::optional<revision> FindRevision(
    const std::vector<document_digest>& digests,
    object_kind kind) {
  const auto found =
      std::ranges::find(digests, DocumentIdOf(kind), &document_digest::id);
  if (found == digests.end()) {
    return std::nullopt;
  }
  return found->in_force;
}

}  // namespace trefoilmill::entry
