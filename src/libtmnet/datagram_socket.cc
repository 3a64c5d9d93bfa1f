#include "trefoilmill/net/datagram_socket.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <utility>

#include "socket_addresses.h"

namespace trefoilmill {
namespace {

/// Size of the receive buffer, in bytes; larger than any UDP payload.
constexpr std::size_t kMaxDatagramBytes = 65536;
/// Datagrams read per readable event, so that a burst does not starve the
/// other events of the loop.
constexpr int kMaxDatagramsPerWakeup = 64;

/// 0.0.0.0 if `address.ip` is not an IPv4 address.
sockaddr_in ToSockaddrOrAny(const socket_address& address) {
  return ToSockaddr(address).value_or(
      sockaddr_in{.sin_family = AF_INET, .sin_port = htons(address.port)});
}

socket_address FromSockaddr(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return {.ip = text.data(), .port = ntohs(address.sin_port)};
}

failure BindFailure(const socket_address& address) {
  failure error;
  error.reason = reason_code::kConnectionRefused;
  error.detail =
      "cannot bind address " + Authority(address) + " to a UDP socket";
  return error;
}

}  // namespace

struct datagram_socket::impl {
  evutil_socket_t fd = -1;
  receive_callback on_receive;
  event* read_event = nullptr;

  impl() = default;
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;
  ~impl() {
    if (read_event != nullptr) {
      event_free(read_event);
    }
    if (fd >= 0) {
      evutil_closesocket(fd);
    }
  }

  static void OnReadable(evutil_socket_t fd, short, void* argument) {
    // Static to keep 64 KiB off the stack. Shared by all sockets, which
    // therefore must be on one thread.
    static std::array<char, kMaxDatagramBytes> buffer;
    for (int count = 0; count < kMaxDatagramsPerWakeup; ++count) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      const ssize_t received =
          recvfrom(fd, buffer.data(), buffer.size(), MSG_DONTWAIT,
                   reinterpret_cast<sockaddr*>(&from), &size);
      if (received < 0) {
        return;
      }
      static_cast<impl*>(argument)->on_receive(
          FromSockaddr(from),
          std::string(buffer.data(), static_cast<std::size_t>(received)));
    }
  }
};

datagram_socket::datagram_socket(std::unique_ptr<impl> state)
    : impl_(std::move(state)) {}

datagram_socket::~datagram_socket() = default;

result<std::unique_ptr<datagram_socket>> datagram_socket::Bind(
    event_loop& loop,
    const socket_address& address,
    receive_callback on_receive) {
  auto state = std::make_unique<impl>();
  state->on_receive = std::move(on_receive);
  state->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in local = ToSockaddrOrAny(address);
  if (state->fd < 0 || evutil_make_socket_nonblocking(state->fd) != 0 ||
      bind(state->fd, reinterpret_cast<const sockaddr*>(&local),
           sizeof local) != 0) {
    return BindFailure(address);
  }
  state->read_event = event_new(loop.base(), state->fd, EV_READ | EV_PERSIST,
                                &impl::OnReadable, state.get());
  event_add(state->read_event, nullptr);
  return std::unique_ptr<datagram_socket>(
      new datagram_socket(std::move(state)));
}

bool datagram_socket::Send(const socket_address& to,
                           const std::string& payload) {
  const sockaddr_in destination = ToSockaddrOrAny(to);
  return sendto(impl_->fd, payload.data(), payload.size(), MSG_DONTWAIT,
                reinterpret_cast<const sockaddr*>(&destination),
                sizeof destination) >= 0;
}

}  // namespace trefoilmill
