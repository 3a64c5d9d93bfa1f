/// State shared by the HTTP server and its requests in progress.
#ifndef TREFOILMILL_LIBTMNET_HTTP_RESPONDER_IMPL_H_
#define TREFOILMILL_LIBTMNET_HTTP_RESPONDER_IMPL_H_

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <sys/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "message_framing.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

/// Builds the JSON error response for a failure that the HTTP layer detects.
http_response MakeErrorResponse(int status,
                                verdict outcome,
                                reason_code reason);

/// Server state that requests use. Reference counted, as requests may outlive
/// their server.
struct server_state {
  std::size_t requests_in_progress = 0;
  bool close_after_responses = false;
  timeval idle_timeout{};
};

/// State of one connection of a server.
struct server_connection {
  std::uint64_t id = 0;
  event_loop* loop = nullptr;
  bufferevent* bev = nullptr;
  evhttp_connection* evcon = nullptr;
  /// For how long it may be idle.
  const timeval* idle_timeout = nullptr;
  /// Bytes that evhttp may leave unparsed, as it limits the length of neither a
  /// chunk's first line nor what follows a request.
  std::size_t max_unparsed_bytes = 0;
  /// When the connection was accepted.
  time_point accepted_at;
  /// Whether part of a request has arrived since the latest response, or since
  /// the connection was accepted.
  bool request_begun = false;
  /// Whether a request was ever handled.
  bool has_served = false;
  /// Set once the server has begun to close the connection; requests that
  /// evhttp still reads from it are not handled.
  bool closed_by_server = false;
  /// Set once evhttp has refused a request; it then closes the connection.
  bool refused = false;
  /// Set while the server itself writes to the output buffer; all other output
  /// comes from evhttp.
  bool writing_response = false;
  /// Follows the bytes of the requests, beside evhttp.
  message_framing framing;
  /// What the connection holds, among those of the process.
  connection_budget::entry use;
  /// Memory of the request that is in progress, in bytes.
  std::size_t request_bytes = 0;
  /// Whether reading ahead is bounded now.
  bool read_ahead_bounded = false;
  /// Called when the next request may have to be rejected, as its bytes are
  /// malformed.
  std::function<void()> on_malformed;
  /// Called with the status of each rejection that the server makes itself.
  std::function<void(int)> on_rejected;
  /// The latest request; expired once its last responder is destroyed.
  std::weak_ptr<http_responder::impl> current_request;
  /// Called if the connection closes before the latest response is written.
  std::function<void(lost_response)> on_response_lost;

  /// Memory that is held for what was received and not yet handled.
  std::size_t PendingBytes() const;
  /// Reports to the budget what the connection holds now.
  void UpdateUse();
  /// The answer to the latest request is written to the socket.
  void OnAnswerSent();
  /// Whether a request has been handed on that has no answer yet.
  bool IsInProgress() const;
  /// Whether a further request has been read whole.
  bool HasWholeRequestWaiting() const;
  /// Bounds what is read ahead while a request is in progress or a whole one
  /// waits, so that requests one behind the other are read as they are handled.
  void UpdateReadLimit();
};

/// State of one request on the server side.
struct http_responder::impl {
  std::shared_ptr<server_state> server;
  std::shared_ptr<server_connection> connection;
  /// Null once the response is sent or the connection is closed.
  evhttp_request* evreq = nullptr;
  /// evhttp's own callbacks, saved by WatchForClose().
  bufferevent_data_cb read_cb = nullptr;
  bufferevent_data_cb write_cb = nullptr;
  bufferevent_event_cb event_cb = nullptr;
  void* cb_arg = nullptr;
  std::function<void()> on_peer_disconnected;
  std::function<void(lost_response)> on_response_lost;

  impl() = default;
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;
  ~impl();

  /// Whether the request has a response, or never will have one.
  bool completed() const { return evreq == nullptr; }
  /// Starts to detect that the peer closes while the request is in progress.
  void WatchForClose();
  /// Restores evhttp's callbacks on the connection, and its timeout for
  /// writing.
  void StopWatchingForClose();
  /// Restores the timeout for reading. evhttp callback; `self` is the
  /// connection.
  static void OnResponseWritten(evhttp_request* evreq, void* self);
  /// Marks the request as no longer in progress.
  void MarkCompleted();
  /// Handles the end of the connection: releases evhttp's request and calls
  /// `on_peer_disconnected`.
  void HandleConnectionClosed();
  /// Sends the response. With `truncate_to_bytes` (bytes), sends only that much
  /// of the body and closes the connection.
  void SendResponse(const http_response& response,
                    std::optional<std::size_t> truncate_to_bytes);
  /// Closes the connection without a response.
  void Abort();
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMNET_HTTP_RESPONDER_IMPL_H_
