#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "http_common.h"
#include "http_server_impl.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

namespace {

// Connections that the kernel queues until they are accepted.
constexpr int kListenBacklog = 1024;
// evhttp's limits are set to this multiple of the server's own. A request
// beyond evhttp's limits is rejected and the connection closed before all of it
// is read, so that a client that is still writing may receive a reset instead
// of the response.
constexpr ev_ssize_t kEvhttpLimitFactor = 4;
constexpr std::uint16_t kAllMethods = 0xffff;
// Length of a status line up to the status code, as in "HTTP/1.1 400", and the
// offset of the code in it.
constexpr std::size_t kStatusLinePrefixBytes = 12;
constexpr std::size_t kStatusCodeOffset = 9;

constexpr int kHttpHeadersTooLarge = 431;
// Which end of a buffer evbuffer_freeze() concerns.
constexpr int kAtFront = 1;

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

timeval ToTimeval(duration timeout) {
  return {.tv_sec = static_cast<time_t>(timeout.count() / 1'000'000),
          .tv_usec = static_cast<suseconds_t>(timeout.count() % 1'000'000)};
}

failure MakeListenFailure(reason_code reason, std::string detail) {
  failure error;
  error.reason = reason;
  error.detail = std::move(detail);
  return error;
}

// Sets the path and query of `request` from the request target.
void DecodeTarget(evhttp_request* evreq, http_request& request) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(evreq);
  request.path = DecodePath(evhttp_uri_get_path(uri));
  const char* encoded_query = evhttp_uri_get_query(uri);
  evkeyvalq query{};
  if (encoded_query == nullptr ||
      evhttp_parse_query_str(encoded_query, &query) != 0) {
    return;
  }
  for (auto& parameter : CopyHeaders(&query)) {
    request.query.emplace(std::move(parameter.name),
                          std::move(parameter.value));
  }
  evhttp_clear_headers(&query);
}

/// Added to the limits of headers and body: what one read may bring.
constexpr std::size_t kUnparsedReserveBytes = 64 << 10;

}  // namespace

bufferevent* http_server::impl::MakeBufferevent(event_base* base, void* self) {
  auto* server = static_cast<impl*>(self);
  bufferevent* bev = bufferevent_socket_new(base, -1, 0);
  if (bev == nullptr) {
    return nullptr;
  }
  // evhttp sets the socket and its callbacks right after this call returns. The
  // posted task runs before the loop polls that socket.
  ++server->unregistered_connections;
  server->loop.Post(
      [bev, liveness_token = std::weak_ptr(server->liveness_token)] {
        if (const auto owner = liveness_token.lock()) {
          (*owner)->RegisterConnection(bev);
        }
      });
  return bev;
}

void http_server::impl::RegisterConnection(bufferevent* bev) {
  --unregistered_connections;
  const evutil_socket_t fd = bufferevent_getfd(bev);
  SetNoDelay(fd);
  if (accept_filter && !accept_filter()) {
    shutdown(fd, SHUT_RDWR);
    return;
  }
  // The argument of evhttp's callbacks is its connection object.
  void* arg = nullptr;
  bufferevent_getcb(bev, nullptr, nullptr, nullptr, &arg);
  auto* evcon = static_cast<evhttp_connection*>(arg);
  static std::uint64_t last_id = 0;
  auto& connection = connections[evcon];
  connection = std::make_shared<server_connection>(server_connection{
      .id = ++last_id,
      .bev = bev,
      .evcon = evcon,
      .idle_timeout = &state->idle_timeout,
      .max_unparsed_bytes = kUnparsedReserveBytes +
                            kEvhttpLimitFactor * (options.max_header_bytes +
                                                  options.max_body_bytes),
      .accepted_at = loop.Now(),
      .framing = message_framing::ForRequests(kEvhttpLimitFactor *
                                              options.max_header_bytes),
      .on_malformed = [this, evcon] { PostRejection(evcon); }});
  evbuffer_add_cb(bufferevent_get_output(bev), &impl::OnOutputChanged,
                  connection.get());
  evbuffer_add_cb(bufferevent_get_input(bev), &impl::OnInputChanged,
                  connection.get());
  evhttp_connection_set_closecb(evcon, &impl::OnConnectionClosed, this);
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
  const std::string response =
      MakeRejectionText(is_too_long ? kHttpHeadersTooLarge : HTTP_BADREQUEST);
  connection.closed_by_server = true;
  connection.writing_response = true;
  evbuffer_add(output, response.data(), response.size());
  evbuffer_unfreeze(output, kAtFront);
  evbuffer_write(output, bufferevent_getfd(connection.bev));
  evbuffer_freeze(output, kAtFront);
  connection.writing_response = false;
  // The event loop then detects the end of the connection and frees it.
  shutdown(bufferevent_getfd(connection.bev), SHUT_RDWR);
}

void http_server::impl::OnConnectionClosed(evhttp_connection* evcon,
                                           void* self) {
  auto* server = static_cast<impl*>(self);
  const auto found = server->connections.find(evcon);
  if (found == server->connections.end()) {
    return;
  }
  const auto connection = found->second;
  server->connections.erase(found);
  evbuffer_remove_cb(bufferevent_get_output(connection->bev),
                     &impl::OnOutputChanged, connection.get());
  evbuffer_remove_cb(bufferevent_get_input(connection->bev),
                     &impl::OnInputChanged, connection.get());
  if (const auto request = connection->current_request.lock()) {
    request->HandleConnectionClosed();
  }
  const std::size_t unsent =
      evbuffer_get_length(bufferevent_get_output(connection->bev));
  if (const auto task = std::exchange(connection->on_response_lost, nullptr);
      task != nullptr && unsent > 0) {
    task({.unsent_bytes = unsent});
  }
  if (server->on_closed) {
    server->on_closed();
  }
}

// Called when the output buffer changes. evhttp rejects malformed and oversized
// requests with an HTML page of its own and then closes the connection. This
// replaces the page with a JSON error while it is still in the buffer.
void http_server::impl::OnOutputChanged(evbuffer* output,
                                        const evbuffer_cb_info* change,
                                        void* self) {
  auto* connection = static_cast<server_connection*>(self);
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
  connection->refused = true;
  const bool is_malformed =
      !connection->framing.empty() &&
      connection->framing.front().found == message_framing::fault::kMalformed;
  const int status = std::stoi(error_page.substr(
      kStatusCodeOffset, kStatusLinePrefixBytes - kStatusCodeOffset));
  const std::string error_response =
      MakeRejectionText(is_malformed ? HTTP_BADREQUEST : status);
  connection->writing_response = true;
  evbuffer_drain(output, error_page.size());
  evbuffer_add(output, error_response.data(), error_response.size());
  connection->writing_response = false;
}

void http_server::impl::OnInputChanged(evbuffer* input,
                                       const evbuffer_cb_info* change,
                                       void* self) {
  if (change->n_added == 0) {
    return;
  }
  auto* connection = static_cast<server_connection*>(self);
  connection->request_begun = true;
  VisitLastBytes(input, change->n_added, [connection](std::string_view bytes) {
    connection->framing.Consume(bytes);
  });
  if (connection->framing.is_faulty()) {
    connection->on_malformed();
  }
  // The rest of a request that is too large comes in while its refusal is
  // written.
  const bool is_ending = connection->refused || connection->closed_by_server;
  if (!is_ending &&
      evbuffer_get_length(input) > connection->max_unparsed_bytes) {
    // The event loop then detects the end of the connection and frees it.
    connection->closed_by_server = true;
    shutdown(bufferevent_getfd(connection->bev), SHUT_RDWR);
  }
}

void http_server::impl::OnRequest(evhttp_request* evreq, void* self) {
  static_cast<impl*>(self)->DispatchRequest(evreq);
}

std::optional<http_response> http_server::impl::CheckLimits(
    const http_request& request) const {
  if (request.body.size() > options.max_body_bytes) {
    return MakeErrorResponse(413, verdict::kNotRun, reason_code::kBadRequest);
  }
  std::size_t header_bytes = 0;
  for (const auto& header : request.headers) {
    header_bytes += header.name.size() + header.value.size() + 4;
  }
  if (header_bytes > options.max_header_bytes) {
    return MakeErrorResponse(431, verdict::kNotRun, reason_code::kBadRequest);
  }
  return std::nullopt;
}

// The connection is closed, as the bytes that follow cannot be delimited.
std::optional<http_response> http_server::impl::CheckFraming(
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

void http_server::impl::DispatchRequest(evhttp_request* evreq) {
  evhttp_connection* evcon = evhttp_request_get_connection(evreq);
  const auto found = connections.find(evcon);
  if (found == connections.end() || found->second->closed_by_server) {
    evhttp_send_error(evreq, HTTP_INTERNAL, nullptr);
    return;
  }
  auto responder = std::make_shared<http_responder::impl>();
  responder->server = state;
  responder->connection = found->second;
  responder->evreq = evreq;
  found->second->current_request = responder;
  found->second->has_served = true;
  found->second->on_response_lost = nullptr;
  ++state->requests_in_progress;
  responder->WatchForClose();

  const message_framing::message framed =
      found->second->framing.empty() ? message_framing::message()
                                     : found->second->framing.TakeFront();
  http_request request;
  request.method =
      MethodName(static_cast<unsigned>(evhttp_request_get_command(evreq)));
  request.target = evhttp_request_get_uri(evreq);
  if (!options.target_only) {
    DecodeTarget(evreq, request);
  }
  request.headers = CopyHeaders(evhttp_request_get_input_headers(evreq));
  // evhttp adds the trailers of a chunked body to the headers.
  request.headers.resize(std::min(request.headers.size(), framed.headers));
  request.body = CopyBuffer(evhttp_request_get_input_buffer(evreq));
  char* peer_ip = nullptr;
  ev_uint16_t peer_port = 0;
  evhttp_connection_get_peer(evcon, &peer_ip, &peer_port);
  request.peer_ip = peer_ip == nullptr ? "" : peer_ip;

  if (const auto rejection = CheckFraming(framed, request)) {
    responder->SendResponse(*rejection, std::nullopt);
    return;
  }
  if (const auto rejection = CheckLimits(request)) {
    responder->SendResponse(*rejection, std::nullopt);
    return;
  }
  on_request(std::move(request), http_responder(std::move(responder)));
}

void http_server::impl::ApplyLimits() {
  const auto header_limit =
      static_cast<ev_ssize_t>(options.max_header_bytes) * kEvhttpLimitFactor;
  const auto body_limit =
      static_cast<ev_ssize_t>(options.max_body_bytes) * kEvhttpLimitFactor;
  evhttp_set_max_headers_size(http.get(), header_limit);
  evhttp_set_max_body_size(http.get(), body_limit);
  state->idle_timeout = ToTimeval(options.idle_timeout);
  evhttp_set_timeout_tv(http.get(), &state->idle_timeout);
}

http_server::http_server(std::unique_ptr<impl> state)
    : impl_(std::move(state)) {}

http_server::~http_server() {
  impl_->on_closed = nullptr;
  // Frees the connections while `impl_` still exists, as their close callbacks
  // use it.
  impl_->http.reset();
}

result<std::unique_ptr<http_server>> http_server::Listen(
    event_loop& loop,
    const socket_address& address,
    const http_server_options& options,
    request_handler on_request) {
  sockaddr_in bind_address{};
  bind_address.sin_family = AF_INET;
  bind_address.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &bind_address.sin_addr) != 1) {
    return MakeListenFailure(reason_code::kBadRequest,
                             "not an IPv4 address: " + address.ip);
  }
  auto server = std::make_unique<impl>(loop, options, std::move(on_request));
  server->http.reset(evhttp_new(loop.base()));
  evhttp* http = server->http.get();
  evconnlistener* listener = evconnlistener_new_bind(
      loop.base(), nullptr, nullptr,
      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
      kListenBacklog, reinterpret_cast<const sockaddr*>(&bind_address),
      sizeof bind_address);
  if (listener == nullptr) {
    return MakeListenFailure(
        reason_code::kConnectionRefused,
        "cannot listen on " + address.ip + ":" + std::to_string(address.port));
  }
  socklen_t size = sizeof bind_address;
  getsockname(evconnlistener_get_fd(listener),
              reinterpret_cast<sockaddr*>(&bind_address), &size);
  server->port = ntohs(bind_address.sin_port);
  server->bound_socket = evhttp_bind_listener(http, listener);
  server->ApplyLimits();
  evhttp_set_allowed_methods(http, kAllMethods);
  evhttp_set_bevcb(http, &impl::MakeBufferevent, server.get());
  evhttp_set_gencb(http, &impl::OnRequest, server.get());
  return std::unique_ptr<http_server>(new http_server(std::move(server)));
}

std::uint16_t http_server::port() const {
  return impl_->port;
}

void http_server::SetLimits(std::size_t max_header_bytes,
                            std::size_t max_body_bytes,
                            duration idle_timeout) {
  impl_->options.max_header_bytes = max_header_bytes;
  impl_->options.max_body_bytes = max_body_bytes;
  impl_->options.idle_timeout = idle_timeout;
  impl_->ApplyLimits();
}

std::size_t http_server::open_connections() const {
  return impl_->connections.size() + impl_->unregistered_connections;
}

std::size_t http_server::requests_in_progress() const {
  return impl_->state->requests_in_progress;
}

std::size_t http_server::unsent_connections() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(impl_->connections, [](const auto& entry) {
        return evbuffer_get_length(bufferevent_get_output(entry.second->bev)) >
               0;
      }));
}

void http_server::SetAcceptFilter(std::function<bool()> accept_filter) {
  impl_->accept_filter = std::move(accept_filter);
}

void http_server::OnConnectionClosed(std::function<void()> task) {
  impl_->on_closed = std::move(task);
}

}  // namespace trefoilmill
