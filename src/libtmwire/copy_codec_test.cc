#define BOOST_TEST_MODULE copy_codec
#include "trefoilmill/wire/copy_codec.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace trefoilmill {

BOOST_AUTO_TEST_CASE(a_copy_survives_its_way) {
  const store_follower::copy sent{
      .as_of = revision(77),
      .objects = {{.name = "a", .at = revision(70), .content = "{\"x\":1}"},
                  {.name = "b", .at = revision(77), .content = "null"}}};
  const auto received = DecodeCopy(EncodeCopy(sent));
  BOOST_TEST_REQUIRE(received.has_value());
  BOOST_TEST((received.value().as_of == sent.as_of));
  BOOST_TEST((received.value().objects == sent.objects));
}

BOOST_AUTO_TEST_CASE(no_bytes_bring_the_decoder_down) {
  BOOST_TEST(rc::check([](const std::string& bytes) {
    const auto decoded = DecodeCopy(bytes);
    RC_ASSERT(decoded.has_value() || !decoded.error().detail.empty());
    const auto host = ReadHostRecord(bytes);
    RC_ASSERT(host.has_value() || !host.error().detail.empty());
  }));
}

BOOST_AUTO_TEST_CASE(a_truncated_copy_is_refused) {
  const std::string bytes = EncodeCopy(
      {.as_of = revision(1),
       .objects = {{.name = "a", .at = revision(1), .content = ""}}});
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    BOOST_TEST(!DecodeCopy(bytes.substr(0, size)).has_value());
  }
}

BOOST_AUTO_TEST_CASE(a_host_announces_itself) {
  const host_record sent{.id = host_id("h1"),
                         .zone = zone_id("perth"),
                         .peer = {.ip = "10.0.0.1", .port = 7740},
                         .callers = {.ip = "10.0.0.1", .port = 8226},
                         .administration = {.ip = "10.0.0.1", .port = 7740},
                         .millicores = 250};
  const auto read = ReadHostRecord(WriteHostRecord(sent));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST((read.value() == sent));
}

BOOST_AUTO_TEST_CASE(a_copy_names_the_era_of_the_store) {
  const revision at(store_era(3), 70);
  const store_follower::copy sent{
      .as_of = revision(store_era(3), 77),
      .objects = {{.name = "a", .at = at, .content = "{}"}}};
  const auto received = DecodeCopy(EncodeCopy(sent));
  BOOST_TEST_REQUIRE(received.has_value());
  BOOST_TEST((received.value().as_of == sent.as_of));
  BOOST_TEST((received.value().objects == sent.objects));
}

}  // namespace trefoilmill
