/// A caller that sends bytes without end: the server closes the connection, and
/// its memory stays bounded.
#define BOOST_TEST_MODULE http_endless_request
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "endless_input_test.h"
#include "net_test_support.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {
namespace {

constexpr std::size_t kMaxBodyBytes = 1 << 20;
/// What the server may take, and what socket buffers hold.
constexpr std::size_t kMaxSentBytes = 2 * kMaxBodyBytes + (15 << 20);
const std::string filler(65536, 'a');

const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
const std::string chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";

const endless_input floods[] = {
    {"request line", "GET /", filler},
    {"header line", head + "X: ", filler},
    {"header lines", head, "X: " + filler + "\r\n"},
    {"body of a huge length", head + "Content-Length: 9000000000000\r\n\r\n",
     filler},
    {"chunks", chunked_head, "10000\r\n" + filler + "\r\n"},
    {"chunk length", chunked_head, filler},
    {"zeros of a chunk length", chunked_head, std::string(65536, '0')},
    {"trailer line", chunked_head + "0\r\nX: ", filler},
};

}  // namespace

BOOST_DATA_TEST_CASE(bytes_without_end_are_cut_off,
                     boost::unit_test::data::make(floods),
                     sent) {
  const auto loop = MakeLoop();
  const auto server = http_server::Listen(
      *loop, {kTestIp, 0}, {.max_body_bytes = kMaxBodyBytes},
      [](const http_request&, const http_responder& responder) {
        responder.Send({});
      });
  raw_client caller(*loop, server.value()->port());
  caller.Write(sent.beginning);
  std::size_t sent_bytes = 0;
  while (!caller.closed() && sent_bytes <= 2 * kMaxSentBytes) {
    caller.Write(sent.repeated);
    sent_bytes += sent.repeated.size();
    RunFor(*loop, duration(500));
  }
  BOOST_TEST(sent_bytes <= kMaxSentBytes);
  BOOST_TEST(
      RunUntil(*loop, [&] { return server.value()->open_connections() == 0; }));
}

}  // namespace trefoilmill
