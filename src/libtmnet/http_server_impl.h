/// State of an HTTP server and what it does on evhttp's events.
#ifndef TREFOILMILL_LIBTMNET_HTTP_SERVER_IMPL_H_
#define TREFOILMILL_LIBTMNET_HTTP_SERVER_IMPL_H_

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

#include "http_responder_impl.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

struct http_server::impl {
  event_loop& loop;
  http_server_options options;
  http_server::request_handler on_request;
  std::unique_ptr<evhttp, decltype(&evhttp_free)> http{nullptr, &evhttp_free};
  evhttp_bound_socket* bound_socket = nullptr;
  std::uint16_t port = 0;
  std::unordered_map<evhttp_connection*, std::shared_ptr<server_connection>>
      connections;
  /// Accepted connections whose registration is posted.
  std::size_t unregistered_connections = 0;
  timer stop_accepting_timer;
  std::shared_ptr<server_state> state = std::make_shared<server_state>();
  std::function<bool()> accept_filter;
  std::function<void()> on_closed;
  std::function<void(const rejected_request&)> on_rejected;
  std::function<void()> on_accept_failed;
  /// Accepts again after it failed.
  timer accept_again_timer;
  /// Posted tasks hold a weak pointer to it and do nothing if it has expired.
  std::shared_ptr<impl*> liveness_token;

  impl(event_loop& owner_loop,
       const http_server_options& server_options,
       http_server::request_handler handler)
      : loop(owner_loop),
        options(server_options),
        on_request(std::move(handler)),
        liveness_token(std::make_shared<impl*>(this)) {}

  static bufferevent* MakeBufferevent(event_base* base, void* self);
  static void OnConnectionClosed(evhttp_connection* evcon, void* self);
  static void OnRequest(evhttp_request* evreq, void* self);
  static void OnOutputChanged(evbuffer* output,
                              const evbuffer_cb_info* change,
                              void* self);
  static void OnInputChanged(evbuffer* input,
                             const evbuffer_cb_info* change,
                             void* self);
  /// Whether the connection may be closed without cutting off a request.
  static bool IsIdle(const server_connection& connection, time_point now);
  void RegisterConnection(bufferevent* bev);
  /// Servers by their listeners: libevent's callback names nothing else.
  static std::unordered_map<evconnlistener*, impl*>& ServersByListener();
  /// Accepting failed, as it does when the process has no descriptor left.
  static void OnAcceptFailed(evconnlistener* listener, void* http);
  void HandleAcceptFailed(evconnlistener* listener);
  /// Closes a connection, whatever it holds, in a later turn of the loop,
  /// unless a request is in progress on it by then.
  void PostClose(evhttp_connection* evcon, std::uint64_t id);
  /// The memory of a request that has been received.
  static std::size_t BytesOf(const message_framing::message& framed);
  /// Whether the kernel holds connections that are not accepted yet. Closing
  /// the listening socket would reset them.
  bool HasPendingConnections() const;
  /// Closes the listening socket once no connection is pending, at `give_up_at`
  /// in any case.
  void StopAccepting(time_point give_up_at);
  void DispatchRequest(evhttp_request* evreq);
  /// The response to a request that evhttp has read, if it is rejected:
  /// because its bytes say something else, or it is larger than allowed.
  std::optional<http_response> CheckRequest(
      const message_framing::message& framed,
      const http_request& request) const;
  /// Rejects the request that a connection sends too slowly, and closes it.
  void RejectSlow(server_connection& connection);
  /// Writes a rejection of its own to a connection that evhttp reads from, and
  /// closes it.
  static void WriteRejection(server_connection& connection, int status);
  /// Calls `on_rejected` for a request of this connection.
  void ReportRejection(evhttp_connection* evcon, int status) const;
  /// Posts RejectMalformed(): the bytes of the next request are malformed.
  void PostRejection(evhttp_connection* evcon);
  /// Rejects the next request of a connection, unless evhttp has read it as one
  /// meanwhile: it may wait for bytes that never come. Closes the connection.
  void RejectMalformed(evhttp_connection* evcon, std::uint64_t id);
  void ApplyLimits();
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMNET_HTTP_SERVER_IMPL_H_
