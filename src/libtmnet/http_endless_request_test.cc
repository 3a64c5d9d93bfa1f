/// A caller that sends bytes without end: the server closes the connection, and
/// its memory stays bounded.
#define BOOST_TEST_MODULE http_endless_request
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>

#include "net_test_support.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {
namespace {

constexpr std::size_t kMaxBodyBytes = 1 << 20;
/// What the server may take, and what socket buffers hold.
constexpr std::size_t kMaxSentBytes = 2 * kMaxBodyBytes + (15 << 20);
const std::string kFiller(65536, 'a');

/// What a caller sends: a beginning, and then the same again and again.
struct flood {
  const char* name;
  std::string beginning;
  std::string repeated;
  friend std::ostream& operator<<(std::ostream& out, const flood& f) {
    return out << f.name;
  }
};

const std::string kHead = "POST / HTTP/1.1\r\nHost: a\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

const flood kFloods[] = {
    {"request line", "GET /", kFiller},
    {"header line", kHead + "X: ", kFiller},
    {"header lines", kHead, "X: " + kFiller + "\r\n"},
    {"body of a huge length", kHead + "Content-Length: 9000000000000\r\n\r\n",
     kFiller},
    {"chunks", kChunkedHead, "10000\r\n" + kFiller + "\r\n"},
    {"chunk length", kChunkedHead, kFiller},
    {"zeros of a chunk length", kChunkedHead, std::string(65536, '0')},
    {"trailer line", kChunkedHead + "0\r\nX: ", kFiller},
};

}  // namespace

BOOST_DATA_TEST_CASE(bytes_without_end_are_cut_off,
                     boost::unit_test::data::make(kFloods),
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
