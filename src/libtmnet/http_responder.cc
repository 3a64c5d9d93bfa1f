#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <algorithm>
#include <string>
#include <utility>

#include "http_responder_impl.h"

namespace trefoilmill {

namespace {

// Bytes of a next request that may wait while one is being handled.
constexpr std::size_t kMaxBytesAhead = 65536;

}  // namespace

http_response MakeErrorResponse(int status,
                                verdict outcome,
                                reason_code reason) {
  const std::string error = R"({"verdict":")" + std::string(ToString(outcome)) +
                            R"(","reason":")" + std::string(ToString(reason)) +
                            R"("})";
  return {.status = status, .body = R"({"error":)" + error + "}"};
}

http_responder::impl::~impl() {
  // Whoever let go of the request may have acted on it.
  Reply(
      MakeErrorResponse(500, verdict::kMayHaveRun, reason_code::kEndpointError),
      std::nullopt);
}

// evhttp neither reads nor watches a connection while its request is being
// handled. Reading goes on here, so that a close shows, but into the buffer
// only: evhttp takes bytes of the next request later, from its own callback.
void http_responder::impl::WatchForClose() {
  bufferevent* bev = connection->bev;
  bufferevent_getcb(bev, &read_cb, &write_cb, &event_cb, &cb_arg);
  bufferevent_setcb(bev, nullptr, write_cb, event_cb, cb_arg);
  bufferevent_set_timeouts(bev, nullptr, nullptr);
  bufferevent_setwatermark(bev, EV_READ, 0, kMaxBytesAhead);
  bufferevent_enable(bev, EV_READ);
}

void http_responder::impl::StopWatching() {
  bufferevent* bev = connection->bev;
  bufferevent_disable(bev, EV_READ);
  bufferevent_setwatermark(bev, EV_READ, 0, 0);
  bufferevent_setcb(bev, read_cb, write_cb, event_cb, cb_arg);
  bufferevent_set_timeouts(bev, &server->idle_timeout, &server->idle_timeout);
}

void http_responder::impl::Leave() {
  raw = nullptr;
  --server->in_progress;
}

void http_responder::impl::PeerGone() {
  if (raw == nullptr) {
    return;
  }
  // On a broken connection evhttp detaches the request and leaves it to us; on
  // shutdown of the server it frees it itself.
  if (evhttp_request_get_connection(raw) == nullptr) {
    evhttp_request_free(raw);
  }
  Leave();
  if (const auto task = std::exchange(on_peer_gone, nullptr)) {
    task();
  }
}

void http_responder::impl::Reply(const http_response& response,
                                 std::optional<std::size_t> truncate_to) {
  if (raw == nullptr) {
    return;
  }
  evhttp_request* request = raw;
  const bool close = truncate_to || server->close_after_replies;
  on_peer_gone = nullptr;
  Leave();
  StopWatching();
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  for (const auto& header : response.headers) {
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
  if (!response.content_type.empty()) {
    evhttp_add_header(headers, "Content-Type", response.content_type.c_str());
  }
  if (close && evhttp_find_header(headers, "Connection") == nullptr) {
    evhttp_add_header(headers, "Connection", "close");
  }
  std::size_t size = response.body.size();
  if (truncate_to) {
    evhttp_add_header(headers, "Content-Length",
                      std::to_string(response.body.size()).c_str());
    size = std::min(size, *truncate_to);
  }
  evbuffer* body = evhttp_request_get_output_buffer(request);
  evbuffer_add(body, response.body.data(), size);
  connection->replying = true;
  evhttp_send_reply(request, response.status, nullptr, nullptr);
  connection->replying = false;
}

void http_responder::impl::Abort() {
  if (raw == nullptr) {
    return;
  }
  // The loop then sees the end of the connection and frees the rest.
  on_peer_gone = nullptr;
  shutdown(bufferevent_getfd(connection->bev), SHUT_RDWR);
}

http_responder::http_responder(std::shared_ptr<impl> state)
    : impl_(std::move(state)) {}

void http_responder::Send(const http_response& response) const {
  impl_->Reply(response, std::nullopt);
}

void http_responder::Abort() const {
  impl_->Abort();
}

void http_responder::SendTruncated(const http_response& response,
                                   std::size_t body_bytes) const {
  impl_->Reply(response, body_bytes);
}

void http_responder::SendTwice(const http_response& response) const {
  if (impl_->raw == nullptr) {
    return;
  }
  impl_->Reply(response, std::nullopt);
  const std::string again =
      "HTTP/1.1 " + std::to_string(response.status) +
      " Again\r\nContent-Type: " + response.content_type +
      "\r\nContent-Length: " + std::to_string(response.body.size()) +
      "\r\n\r\n" + response.body;
  impl_->connection->replying = true;
  bufferevent_write(impl_->connection->bev, again.data(), again.size());
  impl_->connection->replying = false;
}

void http_responder::OnPeerGone(std::function<void()> task) const {
  impl_->on_peer_gone = std::move(task);
}

std::uint64_t http_responder::connection() const {
  return impl_->connection->id;
}

}  // namespace trefoilmill
