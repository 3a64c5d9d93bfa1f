/// Tests sets of parts: digests, sharing between copies, and differences.
#define BOOST_TEST_MODULE part_set
#include "trefoilmill/version/part_set.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

namespace trefoilmill {
namespace {

shared_part Part(const std::string& text, revision at = {}) {
  return std::make_shared<const part>("routes[]", at, text);
}

part_set SetOf(int first, int last) {
  part_set parts;
  for (int i = first; i < last; ++i) {
    parts.Insert(Part("part " + std::to_string(i)));
  }
  return parts;
}

/// Applies a difference.
part_set Apply(part_set from, const part_set::difference& difference) {
  for (const part_digest digest : difference.removed) {
    BOOST_TEST(from.Erase(digest));
  }
  for (const shared_part& added : difference.added) {
    from.Insert(added);
  }
  return from;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_digest_covers_section_revision_and_text) {
  const part plain("a", revision(), "text");
  BOOST_TEST((part("a", revision(), "text").digest() == plain.digest()));
  std::set<part_digest> digests = {plain.digest()};
  digests.insert(part("b", revision(), "text").digest());
  digests.insert(part("a", revision(), "other").digest());
  digests.insert(part("a", revision(7), "text").digest());
  // Numbers are given out again after the store was restored.
  digests.insert(part("a", revision(store_era(2), 7), "text").digest());
  BOOST_TEST(digests.size() == 5U);
}

BOOST_AUTO_TEST_CASE(equal_content_in_any_order_is_equal) {
  part_set backwards;
  for (int i = 99; i >= 0; --i) {
    backwards.Insert(Part("part " + std::to_string(i)));
    backwards.Insert(Part("part " + std::to_string(i)));
  }
  BOOST_TEST((backwards == SetOf(0, 100)));
  BOOST_TEST(backwards.size() == 100U);
  BOOST_TEST(!(backwards == SetOf(0, 99)));
}

BOOST_AUTO_TEST_CASE(a_changed_copy_leaves_the_original_as_it_was) {
  const part_set original = SetOf(0, 3000);
  part_set copy = original;
  copy.Erase(Part("part 7")->digest());
  copy.Insert(Part("new"));
  copy.ClearBucket(part_set::BucketOf(Part("part 9")->digest()));
  BOOST_TEST((original == SetOf(0, 3000)));
  BOOST_TEST(original.Contains(Part("part 7")->digest()));
  BOOST_TEST(original.Contains(Part("part 9")->digest()));
  BOOST_TEST(!copy.Contains(Part("part 9")->digest()));
  BOOST_TEST(!copy.Erase(Part("part 7")->digest()));
}

BOOST_AUTO_TEST_CASE(a_difference_leads_from_one_set_to_the_other) {
  std::mt19937 random(1);
  for (int play = 0; play < 50; ++play) {
    const int first = static_cast<int>(random() % 300);
    const part_set from =
        SetOf(first, first + static_cast<int>(random() % 900));
    const part_set to = SetOf(static_cast<int>(random() % 300), 700);
    const auto difference = part_set::Difference(from, to);
    BOOST_TEST((Apply(from, difference) == to));
    BOOST_TEST(difference.empty() == (from == to));
  }
  BOOST_TEST(part_set::Difference(SetOf(0, 50), SetOf(0, 50)).empty());
}

BOOST_AUTO_TEST_CASE(buckets_have_equal_digests_only_with_equal_content) {
  const part_set before = SetOf(0, 2000);
  part_set after = before;
  const shared_part added = Part("added");
  after.Insert(added);
  int differing = 0;
  for (std::size_t i = 0; i < part_set::kBuckets; ++i) {
    differing += before.BucketDigest(i) != after.BucketDigest(i) ? 1 : 0;
  }
  BOOST_TEST(differing == 1);
  BOOST_TEST(part_set().BucketDigest(3) == 0U);
}

}  // namespace trefoilmill
