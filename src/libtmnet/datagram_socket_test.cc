#define BOOST_TEST_MODULE datagram_socket
#include "trefoilmill/net/datagram_socket.h"

#include <boost/test/unit_test.hpp>

#include "net_test_support.h"

namespace trefoilmill {
namespace {

socket_address At(std::uint16_t port) {
  return {.ip = kTestIp, .port = port};
}

}  // namespace

BOOST_AUTO_TEST_CASE(datagrams_arrive_with_their_sender) {
  const auto loop = MakeLoop();
  std::string got;
  socket_address sender;
  auto a =
      datagram_socket::Bind(*loop, At(7741), [](const auto&, const auto&) {});
  auto b = datagram_socket::Bind(
      *loop, At(7742), [&](const socket_address& from, std::string bytes) {
        sender = from;
        got = std::move(bytes);
      });
  BOOST_REQUIRE(a.has_value() && b.has_value());
  const std::string sent("bytes\0of any kind", 17);
  BOOST_TEST(a.value()->Send(At(7742), sent));
  BOOST_TEST_REQUIRE(RunUntil(*loop, [&] { return !got.empty(); }));
  BOOST_TEST(got == sent);
  BOOST_TEST((sender == At(7741)));
}

BOOST_AUTO_TEST_CASE(a_taken_port_is_a_failure) {
  const auto loop = MakeLoop();
  const auto ignore = [](const auto&, const auto&) {};
  const auto first = datagram_socket::Bind(*loop, At(7743), ignore);
  const auto second = datagram_socket::Bind(*loop, At(7743), ignore);
  BOOST_TEST(first.has_value());
  BOOST_TEST(second.has_error());
}

}  // namespace trefoilmill
