/// Conversions between stored objects and the parts that hosts send each other:
/// a configuration is taken apart, and each object of another kind is one part.
#ifndef TREFOILMILL_ENTRY_OBJECT_PARTS_H_
#define TREFOILMILL_ENTRY_OBJECT_PARTS_H_

#include <string>

#include "trefoilmill/version/store_follower.h"
#include "trefoilmill/version/stored_object.h"

namespace trefoilmill::entry {

/// Takes the content of a configuration apart; leaves objects of other kinds
/// and malformed content as they are.
void TakeApart(object_kind kind, stored_object& object);

/// The content of an object as text.
std::string TextOf(const stored_object& object);

/// A copy for hosts of earlier versions, which know no parts: every object has
/// its content as text.
store_follower::copy WithTexts(store_follower::copy copy);

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_OBJECT_PARTS_H_
