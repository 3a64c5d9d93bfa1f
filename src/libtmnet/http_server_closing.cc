/// How a server ends: it accepts no more, and closes connections without
/// cutting off a request.
#include <event2/bufferevent.h>
#include <poll.h>
#include <sys/socket.h>

#include "http_common.h"
#include "http_server_impl.h"

namespace trefoilmill {
namespace {

// How long the end of accepting waits at most for a moment at which the kernel
// holds no connection that is not accepted.
constexpr duration kMaxAcceptDelay = std::chrono::milliseconds(100);
// How long a new connection is not idle though it has sent nothing yet.
constexpr duration kFirstRequestTime = std::chrono::milliseconds(100);

}  // namespace

bool http_server::impl::HasPendingConnections() const {
  pollfd listening{.fd = evhttp_bound_socket_get_fd(bound_socket),
                   .events = POLLIN,
                   .revents = 0};
  return poll(&listening, 1, 0) == 1;
}

void http_server::impl::StopAccepting(time_point give_up_at) {
  if (bound_socket == nullptr) {
    return;
  }
  if (HasPendingConnections() && loop.Now() < give_up_at) {
    stop_accepting_timer = loop.RunAfter(
        duration::zero(), [this, give_up_at] { StopAccepting(give_up_at); });
    return;
  }
  evhttp_del_accept_socket(http.get(), bound_socket);
  bound_socket = nullptr;
}

bool http_server::impl::IsIdle(const server_connection& connection,
                               time_point now) {
  const bool is_new = !connection.has_served &&
                      now - connection.accepted_at < kFirstRequestTime;
  return !is_new && !connection.request_begun &&
         connection.current_request.expired() &&
         evbuffer_get_length(bufferevent_get_output(connection.bev)) == 0 &&
         PeekSocket(bufferevent_getfd(connection.bev)) != peek_result::kData;
}

void http_server::CloseIdleConnections(time_point now) {
  // What the kernel received before shutdown() can still be read after it, so
  // `closed_by_server` has to keep such a request from being handled.
  for (const auto& [evcon, connection] : impl_->connections) {
    if (impl::IsIdle(*connection, now)) {
      connection->closed_by_server = true;
      shutdown(bufferevent_getfd(connection->bev), SHUT_RDWR);
    }
  }
}

void http_server::FlushResponses() {
  for (const auto& [evcon, connection] : impl_->connections) {
    WriteOutput(connection->bev);
  }
}

void http_server::CloseAfterResponses() {
  impl_->state->close_after_responses = true;
}

void http_server::StopAccepting() {
  impl_->StopAccepting(impl_->loop.Now() + kMaxAcceptDelay);
}

bool http_server::is_accepting() const {
  return impl_->bound_socket != nullptr;
}

void http_server::CloseAllConnections() {
  // The event loop then detects the end of each connection and frees it.
  for (const auto& [evcon, connection] : impl_->connections) {
    connection->closed_by_server = true;
    shutdown(bufferevent_getfd(connection->bev), SHUT_RDWR);
  }
}

}  // namespace trefoilmill
