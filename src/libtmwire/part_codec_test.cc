/// Tests the codecs of parts between hosts.
#define BOOST_TEST_MODULE part_codec
#include "trefoilmill/wire/part_codec.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "compression.h"

namespace trefoilmill {
namespace {

shared_part Part(const std::string& text) {
  return std::make_shared<const part>("routes[]", revision(store_era(1), 4),
                                      text);
}

parts_page Page() {
  const shared_part p = Part("{\"a\":1}");
  return {.as_of = revision(store_era(2), 77),
          .size = 9,
          .digest = 0xffffffffffffffffULL,
          .document = document_place{.name = "main", .at = revision(70)},
          .is_last = false,
          .buckets = {{.index = part_set::BucketOf(p->digest()), .parts = {p}},
                      {.index = 1023, .parts = {}}}};
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_page_survives_its_way) {
  const parts_page sent = Page();
  const auto received = DecodePartsPage(EncodePartsPage(sent));
  BOOST_TEST_REQUIRE(received.has_value());
  const parts_page& page = received.value();
  BOOST_TEST((page.as_of == sent.as_of));
  BOOST_TEST(page.size == sent.size);
  BOOST_TEST(page.digest == sent.digest);
  BOOST_TEST(page.document->name == "main");
  BOOST_TEST((page.document->at == revision(70)));
  BOOST_TEST(!page.is_last);
  BOOST_TEST_REQUIRE(page.buckets.size() == 2U);
  BOOST_TEST((page.buckets[0].parts[0]->digest() ==
              sent.buckets[0].parts[0]->digest()));
  BOOST_TEST(page.buckets[1].parts.empty());
}

BOOST_AUTO_TEST_CASE(a_request_names_every_bucket) {
  parts_request sent;
  for (std::uint32_t i = 0; i < part_set::kBuckets; ++i) {
    sent.bucket_digests.push_back(i * 4'000'037U);
  }
  const auto received = DecodePartsRequest(EncodePartsRequest(sent));
  BOOST_TEST_REQUIRE(received.has_value());
  BOOST_TEST((received.value().bucket_digests == sent.bucket_digests));
  sent.bucket_digests.pop_back();
  BOOST_TEST(DecodePartsRequest(EncodePartsRequest(sent)).has_error());
}

BOOST_AUTO_TEST_CASE(malformed_bytes_are_refused) {
  for (const std::string& bytes :
       {EncodePartsPage(Page()), EncodeParts({Part("a")})}) {
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      BOOST_TEST(DecodePartsPage(bytes.substr(0, size)).has_error());
      BOOST_TEST(DecodeParts(bytes.substr(0, size)).has_error());
    }
  }
  BOOST_TEST(rc::check([](const std::string& bytes) {
    RC_ASSERT(DecodePartsPage(bytes).has_error());
    RC_ASSERT(DecodePartsRequest(bytes).has_error());
    RC_ASSERT(DecodeParts(bytes).has_error());
  }));
}

BOOST_AUTO_TEST_CASE(a_bucket_beyond_the_last_one_is_refused) {
  parts_page page = Page();
  page.buckets[1].index = part_set::kBuckets;
  BOOST_TEST(DecodePartsPage(EncodePartsPage(page)).has_error());
}

// A few bytes may state that they stand for a great many.
BOOST_AUTO_TEST_CASE(decompression_is_bounded) {
  const std::string bytes = Compress(std::string(1'000'000, 'a'));
  BOOST_TEST(bytes.size() < 1000U);
  BOOST_TEST(Decompress(bytes, 1'000'000)->size() == 1'000'000U);
  BOOST_TEST(!Decompress(bytes, 999'999).has_value());
  BOOST_TEST(DecodeParts(Compress(std::string(9 << 20, 'a'))).has_error());
}

}  // namespace trefoilmill
