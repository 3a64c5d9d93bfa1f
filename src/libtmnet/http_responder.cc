#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <algorithm>
#include <string>
#include <utility>

#include "http_responder_impl.h"

namespace trefoilmill {

namespace {

// Limit for bytes of pipelined requests that are buffered while a request is in
// progress, or while a whole one waits.
constexpr std::size_t kMaxPipelinedBytes = 4096;

}  // namespace

std::size_t server_connection::PendingBytes() const {
  return MemoryOf(framing.pending(),
                  evbuffer_get_length(bufferevent_get_input(bev)));
}

void server_connection::UpdateUse() {
  use.SetBytes(PendingBytes() + request_bytes +
               evbuffer_get_length(bufferevent_get_output(bev)));
}

bool server_connection::IsInProgress() const {
  const auto request = current_request.lock();
  return request != nullptr && !request->completed();
}

void server_connection::OnAnswerSent() {
  const bool next_has_begun =
      evbuffer_get_length(bufferevent_get_input(bev)) > 0;
  use.SetPhase(loop->Now(), next_has_begun ? connection_phase::kReceiving
                                           : connection_phase::kIdle);
  UpdateUse();
}

bool server_connection::HasWholeRequestWaiting() const {
  return !framing.empty() && framing.front().complete;
}

void server_connection::UpdateReadLimit() {
  const bool bounded = HasWholeRequestWaiting() || IsInProgress();
  if (bounded != std::exchange(read_ahead_bounded, bounded)) {
    bufferevent_setwatermark(bev, EV_READ, 0, bounded ? kMaxPipelinedBytes : 0);
  }
}

http_response MakeErrorResponse(int status,
                                verdict outcome,
                                reason_code reason) {
  const std::string error = R"({"verdict":")" + std::string(ToString(outcome)) +
                            R"(","reason":")" + std::string(ToString(reason)) +
                            R"("})";
  return {.status = status, .body = R"({"error":)" + error + "}"};
}

http_responder::impl::~impl() {
  // The handler dropped the request without a response, but may already have
  // acted on it.
  SendResponse(
      MakeErrorResponse(500, verdict::kMayHaveRun, reason_code::kEndpointError),
      std::nullopt);
}

// While a request is in progress, evhttp does not read from the connection and
// so would not detect that the peer closes it. Reading stays enabled here, but
// without a read callback: bytes of the next request stay in the input buffer
// until StopWatchingForClose() restores evhttp's callback.
void http_responder::impl::WatchForClose() {
  bufferevent* bev = connection->bev;
  bufferevent_getcb(bev, &read_cb, &write_cb, &event_cb, &cb_arg);
  bufferevent_setcb(bev, nullptr, write_cb, event_cb, cb_arg);
  bufferevent_set_timeouts(bev, nullptr, nullptr);
  connection->UpdateReadLimit();
  bufferevent_enable(bev, EV_READ);
}

void http_responder::impl::StopWatchingForClose() {
  bufferevent* bev = connection->bev;
  bufferevent_disable(bev, EV_READ);
  connection->UpdateReadLimit();
  bufferevent_setcb(bev, read_cb, write_cb, event_cb, cb_arg);
  // A caller that still reads the response sends nothing meanwhile.
  bufferevent_set_timeouts(bev, nullptr, &server->idle_timeout);
}

void http_responder::impl::OnResponseWritten(evhttp_request* evreq,
                                             void* self) {
  auto* connection = static_cast<server_connection*>(self);
  bufferevent* bev =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(evreq));
  connection->OnAnswerSent();
  bufferevent_set_timeouts(bev, connection->idle_timeout,
                           connection->idle_timeout);
  if (connection->framing.is_faulty()) {
    connection->on_malformed();
  }
}

void http_responder::impl::MarkCompleted() {
  evreq = nullptr;
  --server->requests_in_progress;
}

void http_responder::impl::HandleConnectionClosed() {
  if (evreq == nullptr) {
    return;
  }
  // If the connection breaks, evhttp detaches the request and the owner must
  // free it; if the server shuts down, evhttp frees the request itself.
  if (evhttp_request_get_connection(evreq) == nullptr) {
    evhttp_request_free(evreq);
  }
  MarkCompleted();
  if (const auto task = std::exchange(on_peer_disconnected, nullptr)) {
    task();
  }
}

void http_responder::impl::SendResponse(
    const http_response& response,
    std::optional<std::size_t> truncate_to_bytes) {
  if (evreq == nullptr) {
    return;
  }
  evhttp_request* request = evreq;
  // A request that was read whole is answered, too, before the close.
  const bool close_connection =
      truncate_to_bytes ||
      (server->close_after_responses && !connection->HasWholeRequestWaiting());
  on_peer_disconnected = nullptr;
  connection->on_response_lost = std::exchange(on_response_lost, nullptr);
  // Bytes of a pipelined request are in the buffer already.
  connection->request_begun =
      evbuffer_get_length(bufferevent_get_input(connection->bev)) > 0;
  MarkCompleted();
  StopWatchingForClose();
  connection->request_bytes = 0;
  connection->use.SetPhase(connection->loop->Now(), connection_phase::kSending);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  for (const auto& header : response.headers) {
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
  if (!response.content_type.empty()) {
    evhttp_add_header(headers, "Content-Type", response.content_type.c_str());
  }
  if (close_connection &&
      evhttp_find_header(headers, "Connection") == nullptr) {
    evhttp_add_header(headers, "Connection", "close");
  }
  std::size_t size = response.body.size();
  if (truncate_to_bytes) {
    evhttp_add_header(headers, "Content-Length",
                      std::to_string(response.body.size()).c_str());
    size = std::min(size, *truncate_to_bytes);
  }
  if (evhttp_request_get_command(request) == EVHTTP_REQ_HEAD) {
    // A body here would be taken for the next response.
    if (size > 0 && !truncate_to_bytes) {
      evhttp_add_header(headers, "Content-Length",
                        std::to_string(size).c_str());
    }
    size = 0;
  }
  evbuffer* body = evhttp_request_get_output_buffer(request);
  evbuffer_add(body, response.body.data(), size);
  evhttp_request_set_on_complete_cb(request, &impl::OnResponseWritten,
                                    connection.get());
  connection->writing_response = true;
  evhttp_send_reply(request, response.status, nullptr, nullptr);
  connection->writing_response = false;
  connection->UpdateUse();
}

void http_responder::impl::Abort() {
  if (evreq == nullptr) {
    return;
  }
  // The event loop then detects the end of the connection, and the close
  // callback releases the request.
  on_peer_disconnected = nullptr;
  shutdown(bufferevent_getfd(connection->bev), SHUT_RDWR);
}

http_responder::http_responder(std::shared_ptr<impl> state)
    : impl_(std::move(state)) {}

void http_responder::Send(const http_response& response) const {
  impl_->SendResponse(response, std::nullopt);
}

void http_responder::Abort() const {
  impl_->Abort();
}

void http_responder::SendTruncated(const http_response& response,
                                   std::size_t body_bytes) const {
  impl_->SendResponse(response, body_bytes);
}

void http_responder::SendDuplicate(const http_response& response) const {
  if (impl_->evreq == nullptr) {
    return;
  }
  impl_->SendResponse(response, std::nullopt);
  const std::string duplicate =
      "HTTP/1.1 " + std::to_string(response.status) +
      " Again\r\nContent-Type: " + response.content_type +
      "\r\nContent-Length: " + std::to_string(response.body.size()) +
      "\r\n\r\n" + response.body;
  impl_->connection->writing_response = true;
  bufferevent_write(impl_->connection->bev, duplicate.data(), duplicate.size());
  impl_->connection->writing_response = false;
}

void http_responder::OnPeerDisconnected(std::function<void()> task) const {
  impl_->on_peer_disconnected = std::move(task);
}

void http_responder::OnResponseLost(
    std::function<void(lost_response)> task) const {
  impl_->on_response_lost = std::move(task);
}

bool http_responder::closed_by_server() const {
  return impl_->connection->closed_by_server;
}

std::uint64_t http_responder::connection() const {
  return impl_->connection->id;
}

}  // namespace trefoilmill
