/// Content split into parts that are named by their digests, so that
/// hosts find what differs between two versions, send each other only that, and
/// do work only for that.
#ifndef TREFOILMILL_VERSION_PART_SET_H_
#define TREFOILMILL_VERSION_PART_SET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/version/shared_buckets.h"

namespace trefoilmill {

/// Name of a part: a hash of everything in it. Hosts of one fleet trust each
/// other, so it need not withstand forgery.
using part_digest = strong_id<struct part_digest_tag, std::uint64_t>;

/// One part. Its digest is computed once.
class part {
 public:
  /// `section` says where the part belongs, such as the name of a list or of an
  /// object. `at` is the revision of an object, and unset within a document.
  part(std::string section, revision at, std::string text);

  const std::string& section() const { return section_; }
  revision at() const { return at_; }
  const std::string& text() const { return text_; }
  part_digest digest() const { return digest_; }

 private:
  std::string section_;
  revision at_;
  std::string text_;
  part_digest digest_;
};

/// Ends the section of a part that is one element of a list.
inline constexpr char kElementSuffix[] = "[]";

using shared_part = std::shared_ptr<const part>;

/// A set of parts, divided into a fixed number of buckets by digest. Copies
/// share all buckets; a change copies only the buckets that it touches. Not
/// thread-safe.
class part_set {
 public:
  /// The digests of all buckets take 4 KB in a message.
  static constexpr std::size_t kBuckets = shared_buckets<shared_part>::kCount;
  using bucket = shared_buckets<shared_part>::bucket;

  /// What to remove from one set, and to add to it, to get another.
  struct difference {
    std::vector<part_digest> removed;
    std::vector<shared_part> added;
    /// Whether the sets are equal.
    bool empty() const { return removed.empty() && added.empty(); }
  };

  /// The bucket that holds the part of this digest.
  static std::size_t BucketOf(part_digest digest);

  /// Adds a part, unless the set has one with the same digest.
  void Insert(shared_part added);
  /// Removes a part; returns false if there is none.
  bool Erase(part_digest digest);
  /// Removes all parts of a bucket.
  void ClearBucket(std::size_t index);

  std::size_t size() const { return size_; }
  /// Hash of the whole content, independent of order.
  std::uint64_t digest() const { return digest_; }
  bool Contains(part_digest digest) const;
  /// Whether any part has this section. Looks at parts until it finds one.
  bool HasSection(const std::string& section) const;
  /// The parts of one bucket.
  const bucket& Bucket(std::size_t index) const { return buckets_.At(index); }
  /// Short hash of one bucket's content; 0 if it is empty.
  std::uint32_t BucketDigest(std::size_t index) const;
  /// Total length of the texts, in bytes.
  std::size_t text_bytes() const { return text_bytes_; }
  /// All parts, in the order of buckets.
  std::vector<shared_part> Parts() const;

  /// What turns `from` into `to`. Work follows what differs, as far as the sets
  /// share buckets.
  static difference Difference(const part_set& from, const part_set& to);

  /// Whether both hold the same parts, by their digests.
  friend bool operator==(const part_set& a, const part_set& b) {
    return a.size_ == b.size_ && a.digest_ == b.digest_;
  }

 private:
  shared_buckets<shared_part> buckets_;
  std::size_t size_ = 0;
  std::size_t text_bytes_ = 0;
  std::uint64_t digest_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_PART_SET_H_
