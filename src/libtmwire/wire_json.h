/// Small helpers that the codecs of other programs' JSON share.
#ifndef TREFOILMILL_LIBTMWIRE_WIRE_JSON_H_
#define TREFOILMILL_LIBTMWIRE_WIRE_JSON_H_

#include <cstdint>
#include <optional>
#include <string>

#include "diagnostics.h"
#include "located_json.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// @name Members of a reply; nullptr or nullopt if missing or of another type
/// @{
const json* FindMember(const json& object, const std::string& key);
std::optional<std::string> FindText(const json& object, const std::string& key);
std::optional<std::uint64_t> FindUnsigned(const json& object,
                                          const std::string& key);
/// A number of milliseconds, not negative and not beyond a day.
std::optional<duration> FindMilliseconds(const json& object,
                                         const std::string& key);
/// @}

/// A 64-bit number as a decimal string; nullopt for any other text.
std::optional<std::uint64_t> ParseDecimal(const std::string& text);

/// A malformed text: kNotRun with `reason`.
failure Malformed(reason_code reason, std::string detail);

/// All errors as one failure with kBadRequest.
failure AsFailure(const diagnostics& errors);

/// Reads "10.0.0.1:8000"; nullopt for any other text.
std::optional<socket_address> ParseSocketAddress(const std::string& text);

json AddressJson(const socket_address& address);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMWIRE_WIRE_JSON_H_
