#include "peer_connection.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <cstddef>
#include <utility>

#include "http_common.h"
#include "socket_addresses.h"

namespace trefoilmill {
namespace {

/// Time from opening a connection to the peer's hello; closed after that.
constexpr duration kHandshakeTimeout = std::chrono::seconds(2);
/// A connection whose ping is unanswered for longer is closed at its next
/// check: one or both of its directions may be stalled, while the host may be
/// reachable on another connection.
constexpr duration kPongTimeout = std::chrono::milliseconds(2500);
/// A connection with more unsent bytes is closed, as its peer no longer reads.
constexpr std::size_t kMaxUnsentBytes = 32 << 20;

}  // namespace

evutil_socket_t OpenBoundSocket(const std::string& local_ip) {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto local = ToSockaddr({.ip = local_ip, .port = 0});
  if (descriptor >= 0 && local.has_value()) {
    const int on = 1;
    setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on,
               sizeof(on));
    // A failed bind is not an error: the kernel then picks the source address.
    [[maybe_unused]] const int bound = bind(
        descriptor, reinterpret_cast<const sockaddr*>(&*local), sizeof(*local));
  }
  return descriptor;
}

peer_connection::peer_connection(event_loop& loop,
                                 websocket_context& context,
                                 const origin& from,
                                 callbacks on_event)
    : serial_(from.serial),
      callbacks_(std::move(on_event)),
      stream_(bufferevent_socket_new(loop.base(),
                                     from.descriptor,
                                     BEV_OPT_CLOSE_ON_FREE)),
      session_(websocket_session::Create(context,
                                         from.local_role,
                                         from.authority,
                                         SessionCallbacks())) {
  handshake_timer_ = loop.RunAfter(kHandshakeTimeout, [this] {
    if (!ready_) {
      callbacks_.on_lost(*this);
    }
  });
  bufferevent_setcb(stream_.get(), OnReadable, nullptr, OnStreamEvent, this);
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

websocket_session::callbacks peer_connection::SessionCallbacks() {
  return {.write =
              [this](const char* bytes, std::size_t size) {
                bufferevent_write(stream_.get(), bytes, size);
              },
          .on_open = [this] { callbacks_.on_open(*this); },
          .on_message =
              [this](const std::string& bytes) {
                callbacks_.on_message(*this, bytes);
              },
          .on_pong = [this] { pinged_at_.reset(); },
          .on_close = [this] { callbacks_.on_lost(*this); }};
}

void peer_connection::Connect(const sockaddr_in& remote) {
  if (bufferevent_socket_connect(stream_.get(),
                                 reinterpret_cast<const sockaddr*>(&remote),
                                 sizeof(remote)) != 0) {
    callbacks_.on_lost(*this);
  }
}

void peer_connection::StartSession() {
  SetNoDelay(bufferevent_getfd(stream_.get()));
  session_->Start();
}

bool peer_connection::Send(const std::string& bytes) {
  return session_->SendBinary(bytes);
}

bool peer_connection::is_congested() const {
  const evbuffer* output = bufferevent_get_output(stream_.get());
  return evbuffer_get_length(output) > kMaxUnsentBytes;
}

void peer_connection::CheckLiveness(time_point now) {
  if (!ready_) {
    return;
  }
  if (!pinged_at_.has_value()) {
    pinged_at_ = now;
    session_->Ping();
  } else if (now - *pinged_at_ > kPongTimeout) {
    callbacks_.on_lost(*this);
  }
}

void peer_connection::MarkReady(const host_id& host) {
  peer_ = host;
  ready_ = true;
}

void peer_connection::OnReadable(bufferevent* stream, void* argument) {
  auto* connection = static_cast<peer_connection*>(argument);
  evbuffer* input = bufferevent_get_input(stream);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  connection->session_->Receive(bytes.data(), bytes.size());
}

void peer_connection::OnStreamEvent(bufferevent* /*stream*/,
                                    short what,
                                    void* argument) {
  auto* connection = static_cast<peer_connection*>(argument);
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    connection->StartSession();
    return;
  }
  connection->callbacks_.on_lost(*connection);
}

}  // namespace trefoilmill
