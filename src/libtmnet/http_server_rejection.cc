/// What a server rejects by itself: requests that evhttp does not accept, that
/// evhttp reads otherwise than their bytes say, and that are too large.
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "http_common.h"
#include "http_server_impl.h"

namespace trefoilmill {
namespace {

// Length of a status line up to the status code, as in "HTTP/1.1 400", and the
// offset of the code in it.
constexpr std::size_t kStatusLinePrefixBytes = 12;
constexpr std::size_t kStatusCodeOffset = 9;

constexpr int kHttpRequestTimeout = 408;
constexpr int kHttpHeadersTooLarge = 431;

// A response that rejects a request which evhttp does not handle.
std::string MakeRejectionText(int status) {
  const std::string body =
      MakeErrorResponse(status, verdict::kNotRun, reason_code::kBadRequest)
          .body;
  return "HTTP/1.1 " + std::to_string(status) +
         " Refused\r\nContent-Type: application/json"
         "\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Limits are those of the server, which are below evhttp's.
std::optional<http_response> CheckLimits(const http_server_options& options,
                                         const http_request& request) {
  if (request.body.size() > options.max_body_bytes) {
    return MakeErrorResponse(HTTP_ENTITYTOOLARGE, verdict::kNotRun,
                             reason_code::kBadRequest);
  }
  if (HeaderBytes(request.headers) > options.max_header_bytes) {
    return MakeErrorResponse(kHttpHeadersTooLarge, verdict::kNotRun,
                             reason_code::kBadRequest);
  }
  return std::nullopt;
}

// The connection is closed, as the bytes that follow cannot be delimited.
std::optional<http_response> CheckFraming(
    const message_framing::message& framed,
    const http_request& request) {
  const auto reject = [](int status) {
    http_response response =
        MakeErrorResponse(status, verdict::kNotRun, reason_code::kBadRequest);
    response.headers.push_back({"Connection", "close"});
    return response;
  };
  if (framed.found != message_framing::fault::kNone || !framed.complete ||
      framed.body_bytes != request.body.size()) {
    return reject(HTTP_BADREQUEST);
  }
  if (framed.method != request.method) {
    return reject(HTTP_BADMETHOD);
  }
  return std::nullopt;
}

}  // namespace

std::optional<http_response> http_server::impl::CheckRequest(
    const message_framing::message& framed,
    const http_request& request) const {
  const auto rejection = CheckFraming(framed, request);
  return rejection.has_value() ? rejection : CheckLimits(options, request);
}

void http_server::impl::ReportRejection(evhttp_connection* evcon,
                                        int status) const {
  if (on_rejected) {
    on_rejected({.status = status, .peer_ip = PeerIp(evcon)});
  }
}

void http_server::impl::PostRejection(evhttp_connection* evcon) {
  const server_connection& connection = *connections.at(evcon);
  loop.Post([weak = std::weak_ptr(liveness_token), evcon, id = connection.id] {
    if (const auto owner = weak.lock()) {
      (*owner)->RejectMalformed(evcon, id);
    }
  });
}

void http_server::impl::RejectMalformed(evhttp_connection* evcon,
                                        std::uint64_t id) {
  const auto found = connections.find(evcon);
  if (found == connections.end() || found->second->id != id) {
    return;
  }
  server_connection& connection = *found->second;
  const auto request = connection.current_request.lock();
  evbuffer* output = bufferevent_get_output(connection.bev);
  const bool is_busy = (request != nullptr && !request->completed()) ||
                       evbuffer_get_length(output) > 0;
  if (is_busy || connection.refused || connection.closed_by_server ||
      connection.framing.empty()) {
    return;
  }
  const bool is_too_long =
      connection.framing.front().found == message_framing::fault::kTooLong;
  WriteRejection(connection,
                 is_too_long ? kHttpHeadersTooLarge : HTTP_BADREQUEST);
}

void http_server::impl::WriteRejection(server_connection& connection,
                                       int status) {
  const std::string response = MakeRejectionText(status);
  connection.on_rejected(status);
  connection.closed_by_server = true;
  connection.writing_response = true;
  evbuffer_add(bufferevent_get_output(connection.bev), response.data(),
               response.size());
  WriteOutput(connection.bev);
  connection.writing_response = false;
  // The event loop then detects the end of the connection and frees it.
  shutdown(bufferevent_getfd(connection.bev), SHUT_RDWR);
}

void http_server::impl::RejectSlow(server_connection& connection) {
  const bool has_head =
      !connection.framing.empty() && connection.framing.front().has_head;
  const duration limit = options.header_timeout +
                         (has_head ? options.idle_timeout : duration::zero());
  const bool is_slow = connection.use.phase() == connection_phase::kReceiving &&
                       loop.Now() - connection.use.since() > limit;
  // What has come and was not read yet is not late.
  if (is_slow && !connection.refused && !connection.closed_by_server &&
      PeekSocket(bufferevent_getfd(connection.bev)) == peek_result::kNothing) {
    WriteRejection(connection, kHttpRequestTimeout);
  }
}

void http_server::RejectSlowRequests() {
  for (const auto& [evcon, connection] : impl_->connections) {
    impl_->RejectSlow(*connection);
  }
}

// Called when the output buffer changes. evhttp rejects malformed and oversized
// requests with an HTML page of its own and then closes the connection. This
// replaces the page with a JSON error while it is still in the buffer.
void http_server::impl::OnOutputChanged(evbuffer* output,
                                        const evbuffer_cb_info* change,
                                        void* self) {
  auto* connection = static_cast<server_connection*>(self);
  connection->UpdateUse();
  if (connection->writing_response || change->n_added == 0) {
    return;
  }
  const std::string error_page = CopyBuffer(output);
  if (error_page.size() < kStatusLinePrefixBytes ||
      error_page[kStatusCodeOffset] != '4') {
    return;
  }
  const auto header_end = error_page.find("\r\n\r\n");
  if (header_end == std::string::npos) {
    return;
  }
  const bool is_malformed =
      !connection->framing.empty() &&
      connection->framing.front().found == message_framing::fault::kMalformed;
  const int evhttp_status = std::stoi(error_page.substr(
      kStatusCodeOffset, kStatusLinePrefixBytes - kStatusCodeOffset));
  const int status = is_malformed ? HTTP_BADREQUEST : evhttp_status;
  // evhttp writes the page in several parts.
  if (!std::exchange(connection->refused, true)) {
    connection->on_rejected(status);
  }
  const std::string error_response = MakeRejectionText(status);
  connection->writing_response = true;
  evbuffer_drain(output, error_page.size());
  evbuffer_add(output, error_response.data(), error_response.size());
  connection->writing_response = false;
}

}  // namespace trefoilmill
