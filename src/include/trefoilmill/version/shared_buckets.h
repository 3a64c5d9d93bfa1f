/// A fixed number of buckets whose copies share what did not change.
#ifndef TREFOILMILL_VERSION_SHARED_BUCKETS_H_
#define TREFOILMILL_VERSION_SHARED_BUCKETS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace trefoilmill {

/// Storage of a hash table. A copy costs one pointer a bucket; a change copies
/// only its own bucket, and only if another copy shares it. Not thread-safe.
template <class element>
class shared_buckets {
 public:
  /// Holds 10,000 elements with ten a bucket.
  static constexpr std::size_t kCount = 1024;
  using bucket = std::vector<element>;

  static std::size_t IndexOf(std::uint64_t hash) { return hash % kCount; }

  const bucket& At(std::size_t index) const {
    static const bucket empty;
    return buckets_[index] == nullptr ? empty : *buckets_[index];
  }

  /// The bucket, to be changed; it belongs to this copy alone from now on.
  bucket& Own(std::size_t index) {
    std::shared_ptr<bucket>& owned = buckets_[index];
    if (owned == nullptr) {
      owned = std::make_shared<bucket>();
    } else if (owned.use_count() > 1) {
      owned = std::make_shared<bucket>(*owned);
    }
    return *owned;
  }

  void Clear(std::size_t index) { buckets_[index] = nullptr; }

  /// Whether a bucket is known to be equal because the copies share it.
  bool Shares(const shared_buckets& other, std::size_t index) const {
    return buckets_[index] == other.buckets_[index];
  }

  /// Calls `visit` with each element.
  template <class visitor>
  void ForEach(visitor&& visit) const {
    for (const auto& stored : buckets_) {
      if (stored != nullptr) {
        for (const element& e : *stored) {
          visit(e);
        }
      }
    }
  }

 private:
  /// Null for an empty bucket.
  std::array<std::shared_ptr<bucket>, kCount> buckets_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_SHARED_BUCKETS_H_
