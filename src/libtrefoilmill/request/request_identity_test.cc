#define BOOST_TEST_MODULE request_identity
#include "trefoilmill/request/request_identity.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <vector>

namespace trefoilmill {

BOOST_AUTO_TEST_CASE(a_request_that_comes_again_has_the_same_identity) {
  const http_request first{.method = "POST",
                           .headers = {{"Trefoilmill-Request-Id", "1"}},
                           .body = "b",
                           .peer_ip = "10.0.0.1",
                           .target = "/a/b?c"};
  http_request again = first;
  again.headers = {{"Trefoilmill-Request-Id", "2"}};
  BOOST_TEST((IdentifyRequest(first, "h") == IdentifyRequest(again, "h")));

  const std::vector<std::function<void(http_request&)>> changes = {
      [](http_request& r) { r.method = "PUT"; },
      [](http_request& r) { r.body = "c"; },
      [](http_request& r) { r.target = "/a/b?d"; },
      // Bytes may not pass from one part to the next.
      [](http_request& r) {
        r.target = "/a/b?";
        r.body = "cb";
      }};
  for (const auto& change : changes) {
    http_request other = first;
    change(other);
    const request_identity identity = IdentifyRequest(other, "h");
    BOOST_TEST((identity.content != IdentifyRequest(first, "h").content));
  }
  BOOST_TEST((IdentifyRequest(first, "h").content !=
              IdentifyRequest(first, "g").content));
}

BOOST_AUTO_TEST_CASE(callers_differ_and_content_does_not) {
  const http_request one{.method = "GET", .peer_ip = "10.0.0.1"};
  const http_request two{.method = "GET", .peer_ip = "10.0.0.2"};
  const auto a = IdentifyRequest(one, "h");
  const auto b = IdentifyRequest(two, "h");
  BOOST_TEST((a.content == b.content));
  BOOST_TEST((a.content_and_caller != b.content_and_caller));
}

BOOST_AUTO_TEST_CASE(text_round_trips) {
  for (const std::uint64_t value :
       {std::uint64_t{0}, std::uint64_t{0xabc}, ~std::uint64_t{0}}) {
    const std::string text = ToString(request_fingerprint(value));
    BOOST_TEST(text.size() == 16U);
    BOOST_TEST((ParseFingerprint(text) == request_fingerprint(value)));
  }
  for (const char* text :
       {"", "0", "00c0ffee00c0ffeg", "-0c0ffee00c0ffee", "00c0ffee00c0ffee0"}) {
    BOOST_TEST(!ParseFingerprint(text).has_value());
  }
}

}  // namespace trefoilmill
