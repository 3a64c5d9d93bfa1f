/// What makes a caller's request the same as an earlier one, although each
/// attempt of a caller has an id of its own.
#ifndef TREFOILMILL_REQUEST_REQUEST_IDENTITY_H_
#define TREFOILMILL_REQUEST_REQUEST_IDENTITY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "trefoilmill/http_message.h"
#include "trefoilmill/ids.h"

namespace trefoilmill {

/// Hash of a request, the same on every host.
using request_fingerprint =
    strong_id<struct request_fingerprint_tag, std::uint64_t>;

/// The fingerprint as 16 hexadecimal digits, for logs and names in the store.
std::string ToString(request_fingerprint fingerprint);
/// Inverse of ToString(); nullopt for any other text.
std::optional<request_fingerprint> ParseFingerprint(std::string_view text);

/// Identifies a request by what it asks, with and without its caller: the same
/// content may do harm for one caller and none for another.
struct request_identity {
  /// Method, host, target and body.
  request_fingerprint content;
  /// The content and the caller's IP number.
  request_fingerprint content_and_caller;
  friend bool operator==(const request_identity&,
                         const request_identity&) = default;
};

/// Identifies a request as it arrived from a caller at `host`, the value of its
/// Host header.
request_identity IdentifyRequest(const http_request& request,
                                 std::string_view host);

}  // namespace trefoilmill

#endif  // TREFOILMILL_REQUEST_REQUEST_IDENTITY_H_
