/// Splits JSON documents into parts, without decoding them, and puts them
/// together again.
#ifndef TREFOILMILL_WIRE_DOCUMENT_SPLITTER_H_
#define TREFOILMILL_WIRE_DOCUMENT_SPLITTER_H_

#include <string>
#include <string_view>

#include "trefoilmill/verdict.h"
#include "trefoilmill/version/part_set.h"

namespace trefoilmill {

/// Splits a JSON object: each element of a list at its top level is a part
/// with the list's name and kElementSuffix as section, and each other member is
/// a part with the member's name as section; so is an empty list. Fails with
/// kBadRequest if `text` is not a JSON object. A part's own text is only
/// checked when it is decoded.
result<part_set> SplitDocument(std::string_view text);

/// The JSON object that the parts make up. Elements of lists may come in
/// another order than in the text that was split into parts.
std::string JoinDocument(const part_set& parts);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_DOCUMENT_SPLITTER_H_
