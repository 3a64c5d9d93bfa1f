/// Copies of the platform's objects as they travel between hosts, in CBOR.
#ifndef TREFOILMILL_WIRE_COPY_CODEC_H_
#define TREFOILMILL_WIRE_COPY_CODEC_H_

#include <string>

#include "trefoilmill/deployment.h"
#include "trefoilmill/verdict.h"
#include "trefoilmill/version/store_follower.h"

namespace trefoilmill {

std::string EncodeCopy(const store_follower::copy& copy);

/// Fails with kBadRequest on bytes that are not exactly one copy.
result<store_follower::copy> DecodeCopy(const std::string& bytes);

/// A host's announcement in the platform's store, as JSON.
std::string WriteHostRecord(const host_record& record);

/// Fails with kBadRequest on a text that announces no host.
result<host_record> ReadHostRecord(const std::string& text);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_COPY_CODEC_H_
