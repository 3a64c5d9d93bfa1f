#include "trefoilmill_entry/part_server.h"

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace trefoilmill::entry {
namespace {

/// Text of the parts in one page, at least, unless it is the last: some 20 KB
/// when compressed, which a link of 20 Mbit/s carries in 8 ms.
constexpr std::size_t kPageTextBytes = 128 << 10;
constexpr std::size_t kMaxPages = 16;

}  // namespace

parts_page MakePage(const object_parts& whole,
                    revision as_of,
                    const parts_request& request) {
  parts_page page{.as_of = as_of,
                  .size = whole.parts.size(),
                  .digest = whole.parts.digest(),
                  .document = whole.document,
                  .is_last = true,
                  .buckets = {}};
  std::size_t text_bytes = 0;
  for (std::size_t index = 0; index < part_set::kBuckets; ++index) {
    if (whole.parts.BucketDigest(index) == request.bucket_digests[index]) {
      continue;
    }
    if (text_bytes >= kPageTextBytes) {
      page.is_last = false;
      return page;
    }
    page.buckets.push_back(
        {.index = index, .parts = whole.parts.Bucket(index)});
    for (const shared_part& p : page.buckets.back().parts) {
      text_bytes += p->text().size();
    }
  }
  return page;
}

const part_server::held_parts& part_server::PartsNow(object_kind kind) {
  const store_follower& follower = store_.Follower(kind);
  held_parts& held = held_[kind];
  if (held.at != follower.changed_at()) {
    held = {.at = follower.changed_at(), .whole = PartsOf(kind, follower)};
  }
  return held;
}

result<std::string> part_server::PageFor(object_kind kind,
                                         const std::string& request) {
  const held_parts& held = PartsNow(kind);
  const std::uint64_t hash = XXH3_64bits(request.data(), request.size());
  const auto made = std::ranges::find_if(pages_, [&](const made_page& page) {
    return page.kind == kind && page.at == held.at && page.request_hash == hash;
  });
  if (made != pages_.end()) {
    return made->bytes;
  }
  auto decoded = DecodePartsRequest(request);
  if (!decoded.has_value()) {
    return decoded.error();
  }
  pages_.push_back({.kind = kind,
                    .at = held.at,
                    .request_hash = hash,
                    .bytes = EncodePartsPage(
                        MakePage(held.whole, held.at, decoded.value()))});
  if (pages_.size() > kMaxPages) {
    pages_.pop_front();
  }
  return pages_.back().bytes;
}

}  // namespace trefoilmill::entry
