/// HTTP messages that must be read in one way, or not at all: shared by the
/// tests of message_framing and of the server and client.
#ifndef TREFOILMILL_LIBTMNET_MESSAGE_CASES_TEST_H_
#define TREFOILMILL_LIBTMNET_MESSAGE_CASES_TEST_H_

#include <cstdint>
#include <string>
#include <vector>

namespace trefoilmill {

struct message_case {
  std::string bytes;
  /// Whether it is one complete message and the bytes after it are others.
  bool accepted;
  std::uint64_t body_bytes = 0;
};

inline const std::string request_head = "POST /book/1 HTTP/1.1\r\nHost: h\r\n";
inline const std::string ok_head = "HTTP/1.1 200 OK\r\n";

inline const std::vector<message_case> request_cases = {
    {"GET / HTTP/1.1\r\n\r\n", true},
    {"HEAD /a?b=%20 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", true, 3},
    {"TRACE / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", true, 3},
    {"REPORT / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", true, 3},
    {request_head + "Content-Length: 3\r\n\r\nabc", true, 3},
    {request_head + "content-LENGTH:\t3 \r\n\r\nabc", true, 3},
    {request_head + "Content-Length: 0\r\n\r\n", true},
    {request_head + "Transfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
     true, 3},
    {request_head +
         "Transfer-Encoding: chunked\r\n\r\nA\r\n0123456789\r\n1\r\nx\r\n"
         "0\r\nTrailer: x\r\n\r\n",
     true, 11},
    // Two lengths, also equal ones, and length beside chunks.
    {request_head + "Content-Length: 0\r\nContent-Length: 3\r\n\r\nabc", false},
    {request_head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", false},
    {request_head + "Content-Length: 3, 3\r\n\r\nabc", false},
    {request_head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "0\r\n\r\n",
     false},
    // A space before the colon, folded lines, no name.
    {request_head + "Content-Length : 3\r\n\r\nabc", false},
    {request_head + "Content-Length: \r\n 3\r\n\r\nabc", false},
    {request_head + " Content-Length: 3\r\n\r\nabc", false},
    {request_head + ": 3\r\n\r\n", false},
    {request_head + "Content-Length\r\n\r\n", false},
    // Signs, other bases, nothing, too large.
    {request_head + "Content-Length: +3\r\n\r\nabc", false},
    {request_head + "Content-Length: -3\r\n\r\nabc", false},
    {request_head + "Content-Length: 0x3\r\n\r\nabc", false},
    {request_head + "Content-Length:\r\n\r\n", false},
    {request_head + "Content-Length: 3 3\r\n\r\nabc", false},
    {request_head + "Content-Length: 18446744073709551619\r\n\r\nabc", false},
    // Other codings.
    {request_head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", false},
    {request_head + "Transfer-Encoding: identity\r\n\r\n", false},
    {request_head +
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\n\r\n",
     false},
    {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
    // Bare line feeds and other control characters.
    {"POST / HTTP/1.1\nContent-Length: 3\r\n\r\nabc", false},
    {request_head + "Content-Length: 3\n\r\nabc", false},
    {request_head + "Content-Length: 3\r\n\nabc", false},
    {request_head + "X: a\rContent-Length: 3\r\n\r\nabc", false},
    {request_head + "X: a" + std::string(1, '\0') + "\r\n\r\n", false},
    // Chunk lines.
    {request_head + "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
     false},
    {request_head + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
     false},
    {request_head + "Transfer-Encoding: chunked\r\n\r\n 3\r\nabc\r\n0\r\n\r\n",
     false},
    {request_head + "Transfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n",
     false},
    {request_head +
         "Transfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\n0\r\n\r\n",
     false},
    {request_head +
         "Transfer-Encoding: chunked\r\n\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
     false},
    {request_head + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
     false},
    {request_head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc0\r\n\r\n\r\n",
     false},
    {request_head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\n0\r\n\r\n",
     false},
    {request_head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
     false},
    // Request lines.
    {"\r\nGET / HTTP/1.1\r\n\r\n", false},
    {"GET  / HTTP/1.1\r\n\r\n", false},
    {"GET / a HTTP/1.1\r\n\r\n", false},
    {"GET / HTTP/1.2\r\n\r\n", false},
    {"GET /\r\n\r\n", false},
    {"G(T / HTTP/1.1\r\n\r\n", false},
    // Two hosts may mean two routes.
    {request_head + "Host: other\r\n\r\n", false},
};

inline const std::vector<message_case> response_cases = {
    {ok_head + "Content-Length: 3\r\n\r\nabc", true, 3},
    {ok_head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true,
     3},
    {"HTTP/1.1 204\r\n\r\n", true},
    {"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n", true},
    {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok_head +
         "Content-Length: 3\r\n\r\nabc",
     true, 3},
    {"HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
    {ok_head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", false},
    {ok_head + "Content-Length : 3\r\n\r\nabc", false},
    {ok_head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", false},
    {ok_head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
     false},
    {ok_head + "Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n",
     false},
    {"HTTP/1.1 2000 OK\r\n\r\n", false},
    {"HTTP/1.1 20 OK\r\n\r\n", false},
    // A status that is none reached callers as an answer on other systems.
    {"HTTP/1.1 000 OK\r\nContent-Length: 3\r\n\r\nabc", false},
    {"HTTP/1.1 099 OK\r\nContent-Length: 3\r\n\r\nabc", false},
    {"HTTP/1.1 000\r\n\r\n", false},
    {"HTTP/1.1 -00 OK\r\n\r\n", false},
    {"HTTP/2 200 OK\r\n\r\n", false},
    {"garbage\r\n\r\n", false},
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMNET_MESSAGE_CASES_TEST_H_
