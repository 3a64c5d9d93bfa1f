/// What one host tells another of a request in progress that it hands over, as
/// one line of ASCII for a header: `{"request": "r-1", "sent_to":
/// [["shelf-3", ["i-7", "i-9"]]]}`.
#ifndef TREFOILMILL_WIRE_HAND_OVER_CODEC_H_
#define TREFOILMILL_WIRE_HAND_OVER_CODEC_H_

#include <string>
#include <string_view>

#include "trefoilmill/ids.h"
#include "trefoilmill/request/earlier_attempts.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// A request that was sent to endpoints before it was handed over.
struct handed_over_request {
  request_id id;
  /// Not empty.
  earlier_attempts attempts;
};

std::string EncodeHandOver(const handed_over_request& handed_over);

/// Fails with kBadRequest on any other text, and if no endpoint is named.
result<handed_over_request> DecodeHandOver(std::string_view text);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_HAND_OVER_CODEC_H_
