#define BOOST_TEST_MODULE datagram_socket
#include "trefoilmill/net/datagram_socket.h"

#include <boost/test/unit_test.hpp>

#include "net_test_support.h"

namespace trefoilmill {
namespace {

/// An address of the test network.
socket_address TestSocketAddress(std::uint16_t port) {
  return {.ip = kTestIp, .port = port};
}

}  // namespace

BOOST_AUTO_TEST_CASE(datagrams_are_received_with_their_source_address) {
  const auto loop = MakeLoop();
  std::string received;
  socket_address source;
  auto sender = datagram_socket::Bind(*loop, TestSocketAddress(7741),
                                      [](const auto&, const auto&) {});
  auto receiver = datagram_socket::Bind(
      *loop, TestSocketAddress(7742),
      [&](const socket_address& from, std::string payload) {
        source = from;
        received = std::move(payload);
      });
  BOOST_REQUIRE(sender.has_value() && receiver.has_value());
  const std::string sent("bytes\0of any kind", 17);
  BOOST_TEST(sender.value()->Send(TestSocketAddress(7742), sent));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return !received.empty(); }));
  BOOST_TEST(received == sent);
  BOOST_TEST((source == TestSocketAddress(7741)));
}

BOOST_AUTO_TEST_CASE(binding_a_port_in_use_fails) {
  const auto loop = MakeLoop();
  const auto ignore = [](const auto&, const auto&) {};
  const auto first =
      datagram_socket::Bind(*loop, TestSocketAddress(7743), ignore);
  const auto second =
      datagram_socket::Bind(*loop, TestSocketAddress(7743), ignore);
  BOOST_TEST(first.has_value());
  BOOST_TEST(second.has_error());
}

}  // namespace trefoilmill
