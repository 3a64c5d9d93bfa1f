/// Helpers for network tests: event loop runs with a timeout, and a raw TCP
/// server and client that can send malformed data or break connections.
#ifndef TREFOILMILL_LIBTMNET_NET_TEST_SUPPORT_H_
#define TREFOILMILL_LIBTMNET_NET_TEST_SUPPORT_H_

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "trefoilmill/net/event_loop.h"

namespace trefoilmill {

/// Loopback address on which the test servers listen.
constexpr const char* kTestIp = "127.10.0.1";
/// Makes a hanging test fail. Not a performance limit.
constexpr duration kTestTimeout = std::chrono::seconds(20);

/// Creates an event loop.
inline std::unique_ptr<event_loop> MakeLoop() {
  auto created = event_loop::Create();
  return std::move(created).value();
}

/// Runs the loop until `done()` returns true. Returns false if that takes
/// longer than kTestTimeout.
inline bool RunUntil(event_loop& loop, const std::function<bool()>& done) {
  bool timed_out = false;
  const timer timeout = loop.RunAfter(kTestTimeout, [&] {
    timed_out = true;
    loop.Stop();
  });
  const timer poll = loop.RunEvery(std::chrono::milliseconds(1), [&] {
    if (done()) {
      loop.Stop();
    }
  });
  if (!done()) {
    loop.Run();
  }
  return !timed_out;
}

/// Runs the loop for `run_time`.
inline void RunFor(event_loop& loop, duration run_time) {
  const timer stop_timer = loop.RunAfter(run_time, [&] { loop.Stop(); });
  loop.Run();
}

/// kTestIp and `port` as a socket address.
inline sockaddr_in TestSockaddr(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, kTestIp, &address.sin_addr);
  return address;
}

/// What a raw server does with a connection after it has received data: keep it
/// open, close it, or reset it (TCP RST).
enum class raw_server_action { kKeepOpen, kClose, kReset };

/// TCP server that records what it receives, answers each read with a fixed
/// sequence of bytes and then keeps, closes or resets the connection.
class raw_server {
 public:
  /// Listens on kTestIp at `port`, or at any free one if that is 0; throws
  /// std::runtime_error if that fails. Sends `reply` after each read, nothing
  /// if it is empty.
  raw_server(event_loop& loop,
             std::string reply,
             raw_server_action action_after_read,
             std::uint16_t port = 0)
      : reply_(std::move(reply)), action_after_read_(action_after_read) {
    const sockaddr_in address = TestSockaddr(port);
    listener_ = evconnlistener_new_bind(
        loop.base(), &raw_server::SetAcceptFilter, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
        reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (listener_ == nullptr) {
      throw std::runtime_error("raw_server: cannot listen on the test address");
    }
  }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;
  ~raw_server() {
    evconnlistener_free(listener_);
    CloseAll();
  }

  /// The port that the server listens on.
  std::uint16_t port() const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(evconnlistener_get_fd(listener_),
                reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
  }
  /// Closes all connections at once, without running the loop.
  void CloseAll() {
    for (bufferevent* bev : connections_) {
      // bufferevent_free() closes the socket only when the loop runs.
      shutdown(bufferevent_getfd(bev), SHUT_RDWR);
      bufferevent_free(bev);
    }
    connections_.clear();
  }
  /// Number of connections accepted so far.
  int accepted() const { return accepted_count_; }
  /// All bytes received so far, over all connections.
  const std::string& received() const { return received_; }

 private:
  static void SetAcceptFilter(evconnlistener* listener,
                              evutil_socket_t fd,
                              sockaddr*,
                              int,
                              void* self) {
    auto* server = static_cast<raw_server*>(self);
    ++server->accepted_count_;
    bufferevent* bev = bufferevent_socket_new(evconnlistener_get_base(listener),
                                              fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, &raw_server::OnRead, nullptr, nullptr, self);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    server->connections_.push_back(bev);
  }

  static void OnRead(bufferevent* bev, void* self) {
    auto* server = static_cast<raw_server*>(self);
    evbuffer* input = bufferevent_get_input(bev);
    std::string data(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, data.data(), data.size());
    server->received_ += data;
    const evutil_socket_t fd = bufferevent_getfd(bev);
    if (!server->reply_.empty()) {
      send(fd, server->reply_.data(), server->reply_.size(), 0);
    }
    if (server->action_after_read_ == raw_server_action::kReset) {
      // With a linger time of zero, close() sends a reset.
      const linger zero_linger{.l_onoff = 1, .l_linger = 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
    }
    if (server->action_after_read_ != raw_server_action::kKeepOpen) {
      std::erase(server->connections_, bev);
      bufferevent_free(bev);
    }
  }

  std::string reply_;
  raw_server_action action_after_read_;
  evconnlistener* listener_ = nullptr;
  std::vector<bufferevent*> connections_;
  std::string received_;
  int accepted_count_ = 0;
};

/// TCP client without an event loop: what it sends is in the server's socket
/// buffer at once, before the server's loop runs.
class socket_client {
 public:
  /// Connects to kTestIp at `port`; throws std::runtime_error if that fails.
  explicit socket_client(std::uint16_t port)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in address = TestSockaddr(port);
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
      throw std::runtime_error("socket_client: cannot connect");
    }
  }
  socket_client(const socket_client&) = delete;
  socket_client& operator=(const socket_client&) = delete;
  ~socket_client() { close(fd_); }

  void Send(const std::string& bytes) const {
    send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  /// Reads what has arrived; returns all bytes received so far.
  const std::string& Receive() {
    std::string chunk(1 << 20, '\0');
    const ssize_t size = recv(fd_, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (size > 0) {
      received_.append(chunk, 0, static_cast<std::size_t>(size));
    }
    return received_;
  }

 private:
  int fd_;
  std::string received_;
};

/// TCP client that sends raw bytes and records what it receives.
class raw_client {
 public:
  /// Starts to connect to kTestIp at `port`.
  raw_client(event_loop& loop, std::uint16_t port)
      : bev_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    const sockaddr_in address = TestSockaddr(port);
    bufferevent_setcb(bev_, &raw_client::OnRead, nullptr, &raw_client::OnEvent,
                      this);
    bufferevent_enable(bev_, EV_READ | EV_WRITE);
    bufferevent_socket_connect(
        bev_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    // Parts of a message that are written one after another arrive at once.
    const int enabled = 1;
    setsockopt(bufferevent_getfd(bev_), IPPROTO_TCP, TCP_NODELAY, &enabled,
               sizeof enabled);
  }
  raw_client(const raw_client&) = delete;
  raw_client& operator=(const raw_client&) = delete;
  ~raw_client() { bufferevent_free(bev_); }

  /// Queues `bytes` for sending.
  void Write(const std::string& bytes) {
    bufferevent_write(bev_, bytes.data(), bytes.size());
  }
  /// Whether the connection has ended, by a close or an error.
  bool closed() const { return closed_; }
  /// All bytes received so far.
  const std::string& received() const { return received_; }

 private:
  static void OnRead(bufferevent* bev, void* self) {
    evbuffer* input = bufferevent_get_input(bev);
    std::string data(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, data.data(), data.size());
    static_cast<raw_client*>(self)->received_ += data;
  }
  static void OnEvent(bufferevent*, short events, void* self) {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      static_cast<raw_client*>(self)->closed_ = true;
    }
  }

  bufferevent* bev_;
  bool closed_ = false;
  std::string received_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMNET_NET_TEST_SUPPORT_H_
