#include "trefoilmill/net/datagram_socket.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace trefoilmill {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65536;
/// Datagrams taken in before other events have their turn.
constexpr int kMaxPerWakeUp = 64;

sockaddr_in ToNative(const socket_address& address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
  return native;
}

socket_address FromNative(const sockaddr_in& native) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &native.sin_addr, text.data(), text.size());
  return {.ip = text.data(), .port = ntohs(native.sin_port)};
}

failure CannotBind(const socket_address& address) {
  failure error;
  error.reason = reason_code::kConnectionRefused;
  error.detail = "cannot bind " + address.ip + ":" +
                 std::to_string(address.port) + " for datagrams";
  return error;
}

}  // namespace

struct datagram_socket::impl {
  evutil_socket_t fd = -1;
  on_datagram received;
  event* readable = nullptr;

  impl() = default;
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;
  ~impl() {
    if (readable != nullptr) {
      event_free(readable);
    }
    if (fd >= 0) {
      evutil_closesocket(fd);
    }
  }

  static void OnReadable(evutil_socket_t fd, short, void* self) {
    static std::array<char, kMaxDatagramBytes> buffer;
    for (int count = 0; count < kMaxPerWakeUp; ++count) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      const ssize_t got =
          recvfrom(fd, buffer.data(), buffer.size(), MSG_DONTWAIT,
                   reinterpret_cast<sockaddr*>(&from), &size);
      if (got < 0) {
        return;
      }
      static_cast<impl*>(self)->received(
          FromNative(from),
          std::string(buffer.data(), static_cast<std::size_t>(got)));
    }
  }
};

datagram_socket::datagram_socket(std::unique_ptr<impl> state)
    : impl_(std::move(state)) {}

datagram_socket::~datagram_socket() = default;

result<std::unique_ptr<datagram_socket>> datagram_socket::Bind(
    event_loop& loop,
    const socket_address& address,
    on_datagram received) {
  auto made = std::make_unique<impl>();
  made->received = std::move(received);
  made->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in native = ToNative(address);
  if (made->fd < 0 || evutil_make_socket_nonblocking(made->fd) != 0 ||
      bind(made->fd, reinterpret_cast<const sockaddr*>(&native),
           sizeof native) != 0) {
    return CannotBind(address);
  }
  made->readable = event_new(loop.base(), made->fd, EV_READ | EV_PERSIST,
                             &impl::OnReadable, made.get());
  event_add(made->readable, nullptr);
  return std::unique_ptr<datagram_socket>(new datagram_socket(std::move(made)));
}

bool datagram_socket::Send(const socket_address& to, const std::string& bytes) {
  const sockaddr_in native = ToNative(to);
  return sendto(impl_->fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
                reinterpret_cast<const sockaddr*>(&native), sizeof native) >= 0;
}

}  // namespace trefoilmill
