/// Messages between daemons as bytes: one CBOR array a message,
/// `[kind, wall_us, logical, fields...]`. Decoding never trusts its input.
#ifndef TREFOILMILL_WIRE_PEER_CODEC_H_
#define TREFOILMILL_WIRE_PEER_CODEC_H_

#include <string>
#include <string_view>

#include "trefoilmill/messages.h"
#include "trefoilmill/timeline.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// A message with the sender's hybrid logical time.
struct peer_frame {
  hybrid_time sent;
  peer_message message;
};

/// Largest frame that a peer may send, in bytes. Above the store's largest
/// value, so that any document fits.
inline constexpr std::size_t kMaxPeerFrameBytes = 4 << 20;

std::string EncodePeerFrame(const peer_frame& frame);

/// Fails with kBadRequest on bytes that are not exactly one known message.
result<peer_frame> DecodePeerFrame(std::string_view bytes);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_PEER_CODEC_H_
