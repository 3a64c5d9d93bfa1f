#include "trefoilmill/version/part_set.h"

#include <algorithm>
#include <array>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace trefoilmill {
namespace {

constexpr int kHalfDigestBits = 32;

/// The era and the number of a revision as the seed of a digest.
std::uint64_t SeedOf(revision at) {
  const std::array<std::uint64_t, 2> words = {at.era().value(), at.value()};
  return XXH3_64bits(words.data(), sizeof words);
}

part_digest DigestOf(const std::string& section,
                     revision at,
                     const std::string& text) {
  const std::uint64_t seed =
      XXH3_64bits_withSeed(section.data(), section.size(), SeedOf(at));
  return part_digest(XXH3_64bits_withSeed(text.data(), text.size(), seed));
}

bool HasDigest(const part_set::bucket& parts, part_digest digest) {
  return std::ranges::any_of(
      parts, [digest](const shared_part& p) { return p->digest() == digest; });
}

/// Adds the parts of `from` that `other` lacks.
template <class visitor>
void ForEachMissing(const part_set::bucket& from,
                    const part_set::bucket& other,
                    visitor&& visit) {
  for (const shared_part& p : from) {
    if (!HasDigest(other, p->digest())) {
      visit(p);
    }
  }
}

}  // namespace

part::part(std::string section, revision at, std::string text)
    : section_(std::move(section)),
      at_(at),
      text_(std::move(text)),
      digest_(DigestOf(section_, at_, text_)) {}

std::size_t part_set::BucketOf(part_digest digest) {
  return shared_buckets<shared_part>::IndexOf(digest.value());
}

void part_set::Insert(shared_part added) {
  const part_digest digest = added->digest();
  if (Contains(digest)) {
    return;
  }
  ++size_;
  text_bytes_ += added->text().size();
  digest_ += digest.value();
  buckets_.Own(BucketOf(digest)).push_back(std::move(added));
}

bool part_set::Erase(part_digest digest) {
  const std::size_t index = BucketOf(digest);
  const bucket& parts = Bucket(index);
  const auto found = std::ranges::find(parts, digest, &part::digest);
  if (found == parts.end()) {
    return false;
  }
  --size_;
  text_bytes_ -= (*found)->text().size();
  digest_ -= digest.value();
  const auto position = found - parts.begin();
  bucket& own = buckets_.Own(index);
  own.erase(own.begin() + position);
  return true;
}

void part_set::ClearBucket(std::size_t index) {
  for (const shared_part& p : Bucket(index)) {
    --size_;
    text_bytes_ -= p->text().size();
    digest_ -= p->digest().value();
  }
  buckets_.Clear(index);
}

bool part_set::Contains(part_digest digest) const {
  return HasDigest(Bucket(BucketOf(digest)), digest);
}

bool part_set::HasSection(const std::string& section) const {
  for (std::size_t index = 0; index < kBuckets; ++index) {
    if (std::ranges::any_of(Bucket(index), [&](const shared_part& p) {
          return p->section() == section;
        })) {
      return true;
    }
  }
  return false;
}

std::uint32_t part_set::BucketDigest(std::size_t index) const {
  std::uint64_t sum = 0;
  for (const shared_part& p : Bucket(index)) {
    sum += p->digest().value();
  }
  return static_cast<std::uint32_t>(sum ^ (sum >> kHalfDigestBits));
}

std::vector<shared_part> part_set::Parts() const {
  std::vector<shared_part> parts;
  parts.reserve(size_);
  buckets_.ForEach([&](const shared_part& p) { parts.push_back(p); });
  return parts;
}

part_set::difference part_set::Difference(const part_set& from,
                                          const part_set& to) {
  difference out;
  for (std::size_t index = 0; index < kBuckets; ++index) {
    if (from.buckets_.Shares(to.buckets_, index)) {
      continue;
    }
    const bucket& before = from.Bucket(index);
    const bucket& after = to.Bucket(index);
    ForEachMissing(before, after, [&](const shared_part& p) {
      out.removed.push_back(p->digest());
    });
    ForEachMissing(after, before,
                   [&](const shared_part& p) { out.added.push_back(p); });
  }
  return out;
}

}  // namespace trefoilmill
