/// Parts of the platform's objects as they travel between hosts: CBOR,
/// compressed.
#ifndef TREFOILMILL_WIRE_PART_CODEC_H_
#define TREFOILMILL_WIRE_PART_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/verdict.h"
#include "trefoilmill/version/part_set.h"

namespace trefoilmill {

/// What a host that fetches parts has: the digests of its buckets. Whatever its
/// parts are of, complete or not, the reply holds only buckets that differ.
struct parts_request {
  /// One for each bucket.
  std::vector<std::uint32_t> bucket_digests;
};

/// A bucket's whole content.
struct bucket_content {
  std::size_t index = 0;
  std::vector<shared_part> parts;
};

/// An object whose content is a document that is split into parts.
struct document_place {
  std::string name;
  revision at;
};

/// Some of the buckets that differ.
struct parts_page {
  /// Revision, size and digest of the sender's whole set.
  revision as_of;
  std::size_t size = 0;
  std::uint64_t digest = 0;
  /// Set if the parts make up one document; unset if each part is an object.
  std::optional<document_place> document;
  /// Whether no further bucket differs.
  bool is_last = true;
  std::vector<bucket_content> buckets;
};

std::string EncodePartsRequest(const parts_request& request);
/// Fails with kBadRequest on bytes that are not exactly one request.
result<parts_request> DecodePartsRequest(std::string_view bytes);

std::string EncodePartsPage(const parts_page& page);
/// Fails with kBadRequest on bytes that are not exactly one page.
result<parts_page> DecodePartsPage(std::string_view bytes);

/// Parts alone, for messages that state elsewhere what they belong to.
std::string EncodeParts(const std::vector<shared_part>& parts);
/// Fails with kBadRequest on bytes that are not exactly one list of parts.
result<std::vector<shared_part>> DecodeParts(std::string_view bytes);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_PART_CODEC_H_
