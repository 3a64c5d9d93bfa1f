/// Tests the selection of the greatest records.
#define BOOST_TEST_MODULE record_merge
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>

#include "trefoilmill/request/request_run.h"

namespace trefoilmill {
namespace {

/// Returns a record that is zero except for its first byte.
std::string Record(unsigned char first_byte) {
  std::string record(kRecordBytes, '\0');
  record.front() = static_cast<char>(first_byte);
  return record;
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_greatest_records_come_first_compared_as_bytes) {
  const std::string a = Record(0x01) + Record(0xff);
  const std::string b = Record(0x7f) + Record(0x80);
  BOOST_TEST(MergeRecords({&a, &b}, 3) ==
             Record(0xff) + Record(0x80) + Record(0x7f));
}

BOOST_AUTO_TEST_CASE(equal_records_are_kept_and_remainders_are_ignored) {
  const std::string a = Record(5) + "short";
  const std::string b = Record(5);
  BOOST_TEST(MergeRecords({&a, &b}, 10) == Record(5) + Record(5));
  const std::string empty;
  BOOST_TEST(MergeRecords({&empty}, 10).empty());
  BOOST_TEST(MergeRecords({}, 10).empty());
  BOOST_TEST(MergeRecords({&a}, 0).empty());
}

BOOST_AUTO_TEST_CASE(merging_matches_a_full_sort) {
  std::mt19937 random(3);
  std::vector<std::string> parts(9);
  std::vector<std::string> all;
  for (std::string& part : parts) {
    for (unsigned i = 0; i < random() % 40; ++i) {
      std::string record(kRecordBytes, '\0');
      std::ranges::generate(record,
                            [&] { return static_cast<char>(random() % 3); });
      part += record;
      all.push_back(record);
    }
  }
  std::ranges::sort(all, std::greater<>());
  std::string expected;
  for (std::size_t i = 0; i < std::min<std::size_t>(50, all.size()); ++i) {
    expected += all[i];
  }
  std::vector<const std::string*> part_pointers;
  part_pointers.reserve(parts.size());
  for (const std::string& part : parts) {
    part_pointers.push_back(&part);
  }
  BOOST_TEST(MergeRecords(part_pointers, 50) == expected);
}

}  // namespace trefoilmill
