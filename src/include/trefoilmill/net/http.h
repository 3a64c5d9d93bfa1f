/// HTTP over libevent's evhttp: a server, single keep-alive connections and a
/// small pooled client. No policy: callers decide what failures mean.
#ifndef TREFOILMILL_NET_HTTP_H_
#define TREFOILMILL_NET_HTTP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/http_message.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// Answers one request, now or later. If destroyed unsent, sends status 500.
/// Copies share the one request; only the first Send() counts.
class http_responder {
 public:
  struct impl;
  explicit http_responder(std::shared_ptr<impl> state);
  void Send(const http_response& response) const;
  /// Closes the connection without a reply (stand-ins use it).
  void Abort() const;
  /// Sends the headers and part of the body, then closes (stand-ins).
  void SendTruncated(const http_response& response,
                     std::size_t body_bytes) const;
  /// Sends the whole reply twice (stand-ins).
  void SendTwice(const http_response& response) const;
  /// Called if the peer goes away before Send().
  void OnPeerGone(std::function<void()> task) const;
  /// Names the peer's connection; unique within the process.
  std::uint64_t connection() const;

 private:
  std::shared_ptr<impl> impl_;
};

struct http_server_options {
  std::size_t max_body_bytes = 1 << 20;
  /// Leaves `path` and `query` of requests empty, for handlers that only use
  /// the target.
  bool target_only = false;
  std::size_t max_header_bytes = 16384;
  duration idle_timeout = std::chrono::seconds(60);
};

class http_server {
 public:
  using handler = std::function<void(http_request, http_responder)>;

  static result<std::unique_ptr<http_server>> Listen(
      event_loop& loop,
      const socket_address& address,
      const http_server_options& options,
      handler on_request);
  ~http_server();

  /// The port listened on, also when it was given as 0 (any).
  std::uint16_t port() const;

  /// Bounds for connections that open from now on.
  void SetLimits(std::size_t max_header_bytes,
                 std::size_t max_body_bytes,
                 duration idle_timeout);
  /// Every reply from now on says `Connection: close`.
  void CloseAfterReplies();
  /// Closes connections on which no request is being handled or arriving.
  void CloseIdle();
  /// Stops listening; open connections stay.
  void StopAccepting();
  std::size_t open_connections() const;
  std::size_t requests_in_progress() const;

  /// Consulted for each new connection; false closes it at once.
  void OnAccept(std::function<bool()> admit);
  /// Called when a connection has closed.
  void OnClosed(std::function<void()> task);
  /// Closes all open connections at once (stand-ins use it for a restart);
  /// requests that had reached only the socket's buffer are not handled.
  void DropConnections();

 private:
  struct impl;
  explicit http_server(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

/// How an exchange failed.
enum class http_failure {
  kRefused,    ///< No usable connection; nothing was sent.
  kTimeout,    ///< No complete reply in time; the request was sent.
  kReset,      ///< The connection broke after the request was handed over.
  kMalformed,  ///< The reply could not be parsed or was too large.
};

/// Exactly one of the two is set.
struct http_exchange {
  std::optional<http_response> response;
  std::optional<http_failure> failed;
};

/// One keep-alive connection that carries one request at a time.
class http_connection {
 public:
  struct options {
    duration connect_timeout = std::chrono::milliseconds(500);
    std::size_t max_body_bytes = 1 << 20;
    /// Local IP number to connect from; empty for any.
    std::string local_ip;
    /// Takes a reply without a length as complete if the peer closed the
    /// connection in good order.
    bool accept_close_delimited = false;
    /// How soon probes of the peer find out that an open connection leads
    /// nowhere; zero sends no probes.
    duration dead_peer_timeout{};
  };
  using on_connected = std::function<void(bool connected)>;
  using on_reply = std::function<void(http_exchange)>;

  static std::unique_ptr<http_connection> Create(event_loop& loop,
                                                 const socket_address& address,
                                                 const options& opts);
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;
  ~http_connection();

  /// Opens the TCP connection without sending anything. `done` is called
  /// exactly once, never from within Connect(), unless the connection is
  /// destroyed first. May be called again once the connection has closed.
  void Connect(on_connected done);
  /// Sends one request; `done` is called exactly once, never from within
  /// Send(), unless the connection is destroyed first. Never sends it again
  /// by itself, and never reconnects: on a closed or busy connection it fails
  /// as kRefused. A connection on which bytes came unasked counts as closed, so
  /// that a doubled reply is never taken for the next one. `timeout` covers the
  /// whole exchange. Any failure but kRefused leaves the connection closed.
  void Send(const http_request& request, duration timeout, on_reply done);
  /// Called when the peer closes the connection while it is idle. One that
  /// closes with a reply shows by connected() being false in `done`.
  void OnClosed(std::function<void()> task);
  bool connected() const;
  bool busy() const;

 private:
  struct impl;
  explicit http_connection(std::shared_ptr<impl> state);
  std::shared_ptr<impl> impl_;
};

/// A pool of connections to any address, for calls of low rate.
class http_client {
 public:
  /// Connects from `local_ip`; from any if empty.
  explicit http_client(event_loop& loop,
                       std::string local_ip = "",
                       const http_connection::options& opts = {});
  ~http_client();
  /// Opens a connection if none is idle; `done` is called exactly once.
  void Send(const socket_address& address,
            const http_request& request,
            duration timeout,
            http_connection::on_reply done);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_NET_HTTP_H_
