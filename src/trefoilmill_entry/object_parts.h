/// Conversions between stored objects and the parts that hosts send each other:
/// a configuration is split into parts, and each object of another kind is one
/// part.
#ifndef TREFOILMILL_ENTRY_OBJECT_PARTS_H_
#define TREFOILMILL_ENTRY_OBJECT_PARTS_H_

#include <optional>

#include "trefoilmill/version/part_set.h"
#include "trefoilmill/version/store_follower.h"
#include "trefoilmill/version/stored_object.h"
#include "trefoilmill/wire/part_codec.h"

namespace trefoilmill::entry {

/// All objects of one kind, as parts.
struct object_parts {
  part_set parts;
  /// Set if the parts make up one object.
  std::optional<document_place> document;
};

/// Splits the content of a configuration into parts; leaves objects of other
/// kinds and malformed content as they are.
void SplitContent(object_kind kind, stored_object& object);

/// The parts of a host's objects of one kind.
object_parts PartsOf(object_kind kind, const store_follower& follower);

/// The objects that the parts make up, as of revision `as_of`.
store_follower::copy CopyOf(const object_parts& whole, revision as_of);

/// A copy for hosts of earlier versions, which know no parts: every object has
/// its content as text.
store_follower::copy WithTexts(store_follower::copy copy);

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_OBJECT_PARTS_H_
