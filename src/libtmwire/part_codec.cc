#include "trefoilmill/wire/part_codec.h"

#include <memory>
#include <utility>

#include "bounded_cbor.h"
#include "compression.h"
#include "wire_json.h"

namespace trefoilmill {
namespace {

/// Largest message after decompression: 8 MiB, as for whole copies.
constexpr std::size_t kMaxDecompressedBytes = 8 << 20;
constexpr std::size_t kFieldsOfPart = 3;
constexpr std::size_t kFieldsOfPage = 6;

json PartJson(const part& p) {
  return {p.section(), RevisionJson(p.at()), p.text()};
}

json PartsJson(const std::vector<shared_part>& parts) {
  json list = json::array();
  for (const shared_part& p : parts) {
    list.push_back(PartJson(*p));
  }
  return list;
}

std::string Pack(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return Compress(bytes);
}

/// A discarded value means malformed bytes.
json Unpack(std::string_view bytes) {
  const auto text = Decompress(bytes, kMaxDecompressedBytes);
  return text.has_value() ? ParseBoundedCbor(*text)
                          : json(json::value_t::discarded);
}

shared_part ReadPart(const json& value) {
  revision at;
  if (!value.is_array() || value.size() != kFieldsOfPart ||
      !value[0].is_string() || !ReadRevision(value[1], at) ||
      !value[2].is_string()) {
    return nullptr;
  }
  return std::make_shared<const part>(value[0].get<std::string>(), at,
                                      value[2].get<std::string>());
}

bool ReadParts(const json& value, std::vector<shared_part>& out) {
  if (!value.is_array()) {
    return false;
  }
  for (const json& item : value) {
    out.push_back(ReadPart(item));
    if (out.back() == nullptr) {
      return false;
    }
  }
  return true;
}

bool ReadBucket(const json& value, bucket_content& out) {
  if (!value.is_array() || value.size() != 2 ||
      !value[0].is_number_unsigned() ||
      value[0].get<std::uint64_t>() >= part_set::kBuckets) {
    return false;
  }
  out.index = value[0].get<std::size_t>();
  return ReadParts(value[1], out.parts);
}

bool ReadDocument(const json& value, std::optional<document_place>& out) {
  if (value.is_null()) {
    return true;
  }
  document_place place;
  if (!value.is_array() || value.size() != 2 || !value[0].is_string() ||
      !ReadRevision(value[1], place.at)) {
    return false;
  }
  place.name = value[0].get<std::string>();
  out = std::move(place);
  return true;
}

bool ReadPage(const json& value, parts_page& out) {
  if (!value.is_array() || value.size() != kFieldsOfPage ||
      !ReadRevision(value[0], out.as_of) || !value[1].is_number_unsigned() ||
      !value[2].is_number_unsigned() || !ReadDocument(value[3], out.document) ||
      !value[4].is_boolean() || !value[5].is_array()) {
    return false;
  }
  out.size = value[1].get<std::size_t>();
  out.digest = value[2].get<std::uint64_t>();
  out.is_last = value[4].get<bool>();
  for (const json& bucket : value[5]) {
    if (!ReadBucket(bucket, out.buckets.emplace_back())) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string EncodePartsRequest(const parts_request& request) {
  return Pack(json(request.bucket_digests));
}

result<parts_request> DecodePartsRequest(std::string_view bytes) {
  const json value = Unpack(bytes);
  if (!value.is_array() || value.size() != part_set::kBuckets) {
    return Malformed(reason_code::kBadRequest, "not a request for parts");
  }
  parts_request request;
  for (const json& digest : value) {
    if (!digest.is_number_unsigned() ||
        !std::in_range<std::uint32_t>(digest.get<std::uint64_t>())) {
      return Malformed(reason_code::kBadRequest, "not a digest of a bucket");
    }
    request.bucket_digests.push_back(digest.get<std::uint32_t>());
  }
  return request;
}

std::string EncodePartsPage(const parts_page& page) {
  json buckets = json::array();
  for (const bucket_content& content : page.buckets) {
    buckets.push_back({content.index, PartsJson(content.parts)});
  }
  json document;
  if (page.document.has_value()) {
    document = {page.document->name, RevisionJson(page.document->at)};
  }
  return Pack({RevisionJson(page.as_of), page.size, page.digest,
               std::move(document), page.is_last, std::move(buckets)});
}

result<parts_page> DecodePartsPage(std::string_view bytes) {
  parts_page page;
  if (!ReadPage(Unpack(bytes), page)) {
    return Malformed(reason_code::kBadRequest, "not a page of parts");
  }
  return page;
}

std::string EncodeParts(const std::vector<shared_part>& parts) {
  return Pack(PartsJson(parts));
}

result<std::vector<shared_part>> DecodeParts(std::string_view bytes) {
  std::vector<shared_part> parts;
  if (!ReadParts(Unpack(bytes), parts)) {
    return Malformed(reason_code::kBadRequest, "not a list of parts");
  }
  return parts;
}

}  // namespace trefoilmill
