/// A peer that sends bytes without end, in a head or a body, until the client
/// closes: the request fails, memory stays bounded, and the event loop goes on.
#define BOOST_TEST_MODULE http_endless_response
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "endless_input_test.h"
#include "net_test_support.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxBodyBytes = 1 << 20;
/// What the peer can send at most: what the client accepts, and what socket
/// buffers of both sides hold.
constexpr std::size_t kMaxSentBytes = 2 * kMaxBodyBytes + (15 << 20);
constexpr duration kRequestTimeout = seconds(2);
constexpr duration kMaxTurn = milliseconds(100);

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string chunked_head = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string filler(4096, 'a');

const endless_input floods[] = {
    {"status line", "HTTP/1.1 200 ", filler},
    {"no status line at all", "", filler},
    {"header line", head + "X: ", filler},
    {"header lines", head, "X: " + std::string(100, 'a') + "\r\n"},
    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"body up to the end of the connection", head + "\r\n", filler},
    {"body of a huge length", head + "Content-Length: 9000000000000\r\n\r\n",
     filler},
    {"chunks", chunked_head, "1000\r\n" + filler + "\r\n"},
    {"chunk of a huge length", chunked_head + "7fffffffffff\r\n", filler},
    {"chunk length", chunked_head, filler},
    {"zeros of a chunk length", chunked_head, std::string(4096, '0')},
    {"trailer line", chunked_head + "0\r\nX: ", filler},
    {"trailer lines", chunked_head + "0\r\n",
     "X: " + std::string(100, 'a') + "\r\n"},
    {"after a whole response", head + "Content-Length: 2\r\n\r\nok", filler},
};

}  // namespace

/// Accepts one connection and floods it once a request has arrived, on a thread
/// of its own, until the client closes.
class flooding_peer {
 public:
  explicit flooding_peer(const endless_input& sent) : sent_(sent) {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, kTestIp, &address.sin_addr);
    BOOST_REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&address),
                       sizeof address) == 0);
    BOOST_REQUIRE(listen(listener_, 1) == 0);
    socklen_t length = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Run(); });
  }
  ~flooding_peer() {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }
  std::uint16_t port() const { return port_; }
  std::size_t sent_bytes() const { return sent_bytes_; }
  bool closed() const { return closed_; }

 private:
  void Run() {
    const int connection = accept(listener_, nullptr, nullptr);
    char request[4096];
    if (connection < 0 || recv(connection, request, sizeof request, 0) <= 0) {
      closed_ = true;
      return;
    }
    bool open = Write(connection, sent_.beginning);
    while (open) {
      open = Write(connection, sent_.repeated);
    }
    close(connection);
    closed_ = true;
  }
  bool Write(int connection, const std::string& bytes) {
    std::size_t written = 0;
    while (written < bytes.size()) {
      const ssize_t n = send(connection, bytes.data() + written,
                             bytes.size() - written, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      written += static_cast<std::size_t>(n);
      sent_bytes_ += static_cast<std::size_t>(n);
    }
    return true;
  }

  endless_input sent_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<std::size_t> sent_bytes_ = 0;
  std::atomic<bool> closed_ = false;
  std::thread thread_;
};

BOOST_DATA_TEST_CASE(bytes_without_end_are_cut_off,
                     boost::unit_test::data::make(floods),
                     sent) {
  const auto loop = MakeLoop();
  flooding_peer peer(sent);
  const auto connection = http_connection::Create(
      *loop, {kTestIp, peer.port()},
      {.max_body_bytes = kMaxBodyBytes, .accept_close_delimited = true});
  std::optional<bool> connected;
  connection->Connect([&](bool success) { connected = success; });
  BOOST_REQUIRE(RunUntil(*loop, [&] { return connected.has_value(); }));
  duration longest_turn{};
  time_point last_turn = loop->Now();
  const timer turns = loop->RunEvery(milliseconds(5), [&] {
    longest_turn = std::max(longest_turn, loop->Now() - last_turn);
    last_turn = loop->Now();
  });
  std::optional<http_result> result;
  const time_point sent_at = loop->Now();
  connection->Send({.method = "GET", .path = "/"}, kRequestTimeout,
                   [&](const http_result& exchange) { result = exchange; });
  BOOST_REQUIRE(RunUntil(*loop, [&] { return result.has_value(); }));
  BOOST_TEST((loop->Now() - sent_at <= kRequestTimeout + kMaxTurn));
  BOOST_TEST(RunUntil(*loop, [&] { return peer.closed(); }));
  BOOST_TEST(!connection->connected());
  BOOST_TEST(peer.sent_bytes() <= kMaxSentBytes);
  BOOST_TEST((longest_turn <= kMaxTurn));
  const bool was_whole = sent.name == std::string("after a whole response");
  BOOST_TEST(result->response.has_value() == was_whole);
}

}  // namespace trefoilmill
