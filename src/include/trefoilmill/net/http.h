/// HTTP/1.1 on libevent's evhttp: a server, a keep-alive client connection and
/// a client with a connection pool. Contains no retry or error handling policy;
/// callers decide how to react to a failure.
#ifndef TREFOILMILL_NET_HTTP_H_
#define TREFOILMILL_NET_HTTP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilmill/http_message.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// A response that the server could not deliver.
struct lost_response {
  /// Bytes of the response that were not written to the socket.
  std::size_t unsent_bytes = 0;
};

/// Sends the response to one request, from within the request handler or later.
/// Copies refer to the same request; only the first response is sent. If the
/// last copy is destroyed before that, the client receives status 500. Calls
/// have no effect once the connection or the server is gone.
class http_responder {
 public:
  struct impl;
  explicit http_responder(std::shared_ptr<impl> state);
  /// Sends the complete response.
  void Send(const http_response& response) const;
  /// Closes the connection without a response. For fault injection.
  void Abort() const;
  /// Sends the headers and the first `body_bytes` bytes of the body, then
  /// closes the connection. Content-Length states the full length. For fault
  /// injection.
  void SendTruncated(const http_response& response,
                     std::size_t body_bytes) const;
  /// Sends the complete response twice. For fault injection.
  void SendDuplicate(const http_response& response) const;
  /// Sets the task to call if the connection closes before a response is sent.
  void OnPeerDisconnected(std::function<void()> task) const;
  /// Sets the task to call if the connection closes while part of the response
  /// is still to be written to the socket. Set it before Send().
  void OnResponseLost(std::function<void(lost_response)> task) const;
  /// Whether the server itself has begun to close the connection.
  bool closed_by_server() const;
  /// Identifier of the connection, unique within the process.
  std::uint64_t connection() const;

 private:
  std::shared_ptr<impl> impl_;
};

/// Limits and request parsing options of a server.
struct http_server_options {
  /// A request with a larger body is rejected with status 413.
  std::size_t max_body_bytes = 1 << 20;
  /// Leaves `path` and `query` of requests empty, for handlers that only use
  /// the undecoded request target.
  bool target_only = false;
  /// A request with larger headers in total is rejected with status 431.
  std::size_t max_header_bytes = 16384;
  /// Closes a connection after this time without any read or write.
  duration idle_timeout = std::chrono::seconds(60);
  /// How long a client may take to send the head of a request. For the whole
  /// request it has the idle timeout in addition. RejectSlowRequests() checks
  /// both.
  duration header_timeout = std::chrono::seconds(10);
};

/// A request that the server rejected by itself.
struct rejected_request {
  /// Status of the response.
  int status = 0;
  /// The peer's IP number.
  std::string peer_ip;
};

/// HTTP server on one IPv4 address. Rejects malformed and oversized requests
/// itself, with a JSON error body; passes all others to the request handler.
class http_server {
 public:
  /// Called for each request; may respond now or keep the responder.
  using request_handler = std::function<void(http_request, http_responder)>;

  /// Binds `address` and starts to accept connections. Fails with kBadRequest
  /// if the address is not an IPv4 address, and with kConnectionRefused if it
  /// cannot be bound.
  static result<std::unique_ptr<http_server>> Listen(
      event_loop& loop,
      const socket_address& address,
      const http_server_options& options,
      request_handler on_request);
  /// Closes all connections. Responders may outlive the server.
  ~http_server();

  /// The bound port, also if port 0 (any free port) was requested.
  std::uint16_t port() const;

  /// Replaces these four options. The new values hold for all connections
  /// accepted from now on; on open connections only some of the checks use
  /// them.
  void SetLimits(std::size_t max_header_bytes,
                 std::size_t max_body_bytes,
                 duration idle_timeout,
                 duration header_timeout);
  /// Adds `Connection: close` to all responses from now on.
  void CloseAfterResponses();
  /// Closes connections that have no request in progress, no part of one
  /// received and no response to write. A new connection gets a moment to send
  /// its first request. Requests that arrive on a connection afterwards are not
  /// handled, since they could not be answered.
  void CloseIdleConnections(time_point now);
  /// Closes the listening socket; established connections stay open. Those that
  /// the kernel holds for the server are accepted before, which takes a few
  /// turns of the loop.
  void StopAccepting();
  /// Whether connections may still be accepted.
  bool is_accepting() const;
  /// Number of established connections.
  std::size_t open_connections() const;
  /// Number of requests passed to the handler that have no response yet.
  std::size_t requests_in_progress() const;
  /// Number of connections with response bytes that are not written to the
  /// socket yet.
  std::size_t unsent_connections() const;
  /// Writes as much of the responses as the sockets take now, without waiting
  /// for the next turn of the loop. For a process that is about to end.
  void FlushResponses();

  /// Sets a filter to call for each new connection; if it returns false, the
  /// connection is closed at once.
  void SetAcceptFilter(std::function<bool()> accept_filter);
  /// Rejects requests that take too long to arrive with status 408, and closes
  /// their connections. To be called every second or so.
  void RejectSlowRequests();
  /// Sets the task to call when a connection could not be accepted, as there is
  /// no descriptor left. Accepting goes on after a pause.
  void OnAcceptFailed(std::function<void()> task);
  /// Sets the task to call whenever a connection has closed.
  void OnConnectionClosed(std::function<void()> task);
  /// Sets the task to call for each request that the server rejects by itself
  /// and that the handler does not see.
  void OnRejected(std::function<void(const rejected_request&)> task);
  /// Closes all connections at once, as a restart of the process would.
  /// Requests that are received but not yet parsed are not handled. For fault
  /// injection.
  void CloseAllConnections();

 private:
  struct impl;
  explicit http_server(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

/// Why a request received no response.
enum class http_failure {
  kNotConnected,    ///< No usable connection; nothing was sent.
  kTimeout,         ///< The request was sent; no complete response in time.
  kConnectionLost,  ///< The connection closed after sending of the request had
                    ///< begun.
  kMalformed,       ///< The response could not be parsed or was too large.
};

/// "not_connected", "timeout", "connection_lost" or "malformed", for logs.
std::string_view ToString(http_failure reason);

/// Result of one request: exactly one of the two members is set.
struct http_result {
  std::optional<http_response> response;
  std::optional<http_failure> failure_reason;
};

/// Client side of a keep-alive connection that carries one request at a time,
/// without pipelining.
class http_connection {
 public:
  /// Settings of a connection.
  struct options {
    /// Limit for establishing the TCP connection.
    duration connect_timeout = std::chrono::milliseconds(500);
    /// A response with a larger body fails with http_failure::kMalformed.
    std::size_t max_body_bytes = 1 << 20;
    /// Local IPv4 address to connect from; empty for any.
    std::string local_ip;
    /// Accepts a response without Content-Length or Transfer-Encoding, whose
    /// body ends when the peer closes the connection. A reset is still a
    /// failure.
    bool accept_close_delimited = false;
    /// Whether a request may be given up while all connections of the loop hold
    /// more memory than they may.
    bool may_give_up_for_memory = false;
    /// Time after which TCP keepalive probes detect that the peer is
    /// unreachable; zero disables the probes.
    duration dead_peer_timeout{};
  };
  using connect_callback = std::function<void(bool connected)>;
  using result_callback = std::function<void(http_result)>;

  /// Creates an unconnected object; call Connect() before Send().
  static std::unique_ptr<http_connection> Create(event_loop& loop,
                                                 const socket_address& address,
                                                 const options& opts);
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;
  ~http_connection();

  /// Establishes the TCP connection without sending any data. Calls `done`
  /// exactly once, never from within Connect(), unless this object is destroyed
  /// first. May be called again after the connection has closed.
  void Connect(connect_callback done);
  /// Sends one request. Calls `done` exactly once, never from within Send(),
  /// unless this object is destroyed first. Never retries or reconnects: on a
  /// closed or busy connection the request fails with kNotConnected, and so
  /// does one with a method that is not supported. So it does if unsolicited
  /// data has arrived, which also closes the connection; otherwise a duplicate
  /// response would be taken for that of the next request.
  /// `timeout` covers the time until the response is complete. Any failure
  /// other than kNotConnected leaves the connection closed.
  void Send(const http_request& request,
            duration timeout,
            result_callback done);
  /// Sets the task to call when an idle connection closes, be it by the peer or
  /// due to unsolicited data. If the connection closes along with a response,
  /// connected() returns false within `done` instead.
  void OnClosed(std::function<void()> task);
  /// Whether the connection is established, idle or busy.
  bool connected() const;
  /// Whether a request is in progress.
  bool busy() const;

 private:
  struct impl;
  explicit http_connection(std::shared_ptr<impl> state);
  std::shared_ptr<impl> impl_;
};

/// Client for any number of servers that pools idle connections per address.
/// Meant for low request rates.
class http_client {
 public:
  /// Identifies a request of this client.
  using request_handle = std::uint64_t;

  /// Connects from the IPv4 address `local_ip`, or from any if it is empty; it
  /// takes precedence over `options.local_ip`.
  explicit http_client(event_loop& loop,
                       std::string local_ip = "",
                       const http_connection::options& options = {});
  /// Closes all connections; requests in progress are not reported.
  ~http_client();
  /// Sends `request` on an idle connection to `address`, or on a new one if
  /// there is none. `timeout` covers connecting, too. Calls `done` exactly
  /// once, never from within Send(), unless the request is cancelled or the
  /// client destroyed first.
  request_handle Send(const socket_address& address,
                      const http_request& request,
                      duration timeout,
                      http_connection::result_callback done);
  /// Closes the connection of a request in progress, whose result is then not
  /// reported. Does nothing if the request has ended. Not to be called from
  /// within a callback of the same request.
  void Cancel(request_handle handle);
  /// Closes the idle connections to `address`, so that later requests use new
  /// ones. Not to be called from within Send().
  void CloseIdleConnections(const socket_address& address);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_NET_HTTP_H_
