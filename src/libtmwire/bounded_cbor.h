/// CBOR from a peer, with bounded nesting: the library's reader recurses.
#ifndef TREFOILMILL_LIBTMWIRE_BOUNDED_CBOR_H_
#define TREFOILMILL_LIBTMWIRE_BOUNDED_CBOR_H_

#include <nlohmann/json.hpp>
#include <string_view>

#include "trefoilmill/ids.h"

namespace trefoilmill {

/// Deepest nesting of arrays and maps in a message between daemons.
inline constexpr std::size_t kMaxCborNesting = 16;

/// A discarded value means broken bytes, bytes left over, or deeper nesting.
nlohmann::json ParseBoundedCbor(std::string_view bytes);

/// A revision between hosts: its number, or [era, number] in a later era than
/// the first.
nlohmann::json RevisionJson(const revision& at);

/// Returns false, and leaves `out` as it was, if `value` is no revision.
bool ReadRevision(const nlohmann::json& value, revision& out);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMWIRE_BOUNDED_CBOR_H_
