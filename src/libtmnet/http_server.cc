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
#include <unordered_map>
#include <utility>

#include "http_common.h"
#include "http_responder_impl.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

namespace {

constexpr int kListenBacklog = 1024;
// Beyond its own limits evhttp replies and closes before it has read all, upon
// which a peer that still writes may see a reset in place of the reply. Its
// limits are therefore set wider than ours by this factor.
constexpr ev_ssize_t kLibraryLimitFactor = 4;
constexpr std::uint16_t kAllMethods = 0xffff;
// "HTTP/1.1 400", and where its status begins.
constexpr std::size_t kStatusLineBytes = 12;
constexpr std::size_t kStatusOffset = 9;

timeval ToTimeval(duration d) {
  return {.tv_sec = static_cast<time_t>(d.count() / 1'000'000),
          .tv_usec = static_cast<suseconds_t>(d.count() % 1'000'000)};
}

failure ListenFailure(reason_code reason, std::string detail) {
  failure error;
  error.reason = reason;
  error.detail = std::move(detail);
  return error;
}

void DecodeTarget(evhttp_request* raw, http_request& request) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(raw);
  request.path = DecodePath(evhttp_uri_get_path(uri));
  const char* text = evhttp_uri_get_query(uri);
  evkeyvalq query{};
  if (text == nullptr || evhttp_parse_query_str(text, &query) != 0) {
    return;
  }
  for (auto& header : CopyHeaders(&query)) {
    request.query.emplace(std::move(header.name), std::move(header.value));
  }
  evhttp_clear_headers(&query);
}

}  // namespace

struct http_server::impl {
  event_loop& loop;
  http_server_options options;
  http_server::handler on_request;
  std::unique_ptr<evhttp, decltype(&evhttp_free)> http{nullptr, &evhttp_free};
  evhttp_bound_socket* bound = nullptr;
  std::uint16_t port = 0;
  std::unordered_map<evhttp_connection*, std::shared_ptr<server_connection>>
      connections;
  std::shared_ptr<server_state> state = std::make_shared<server_state>();
  std::function<bool()> admit;
  std::function<void()> on_closed;
  // Tells posted tasks whether the server still exists.
  std::shared_ptr<impl*> alive;

  impl(event_loop& l, const http_server_options& o, http_server::handler h)
      : loop(l),
        options(o),
        on_request(std::move(h)),
        alive(std::make_shared<impl*>(this)) {}

  static bufferevent* MakeBufferevent(event_base* base, void* self);
  static void OnConnectionClosed(evhttp_connection* evcon, void* self);
  static void OnRequest(evhttp_request* raw, void* self);
  static void OnOutput(evbuffer* output,
                       const evbuffer_cb_info* info,
                       void* connection);
  void Adopt(bufferevent* bev);
  void Dispatch(evhttp_request* raw);
  void ApplyLimits();
  std::optional<http_response> CheckLimits(const http_request& request) const;
};

bufferevent* http_server::impl::MakeBufferevent(event_base* base, void* self) {
  auto* server = static_cast<impl*>(self);
  bufferevent* bev = bufferevent_socket_new(base, -1, 0);
  if (bev == nullptr) {
    return nullptr;
  }
  // evhttp sets the socket and its callbacks right after this call; the posted
  // task runs before the loop can look at that socket.
  server->loop.Post([bev, alive = std::weak_ptr(server->alive)] {
    if (const auto owner = alive.lock()) {
      (*owner)->Adopt(bev);
    }
  });
  return bev;
}

void http_server::impl::Adopt(bufferevent* bev) {
  const evutil_socket_t fd = bufferevent_getfd(bev);
  SetNoDelay(fd);
  if (admit && !admit()) {
    shutdown(fd, SHUT_RDWR);
    return;
  }
  // evhttp registers the connection as its callbacks' argument.
  void* arg = nullptr;
  bufferevent_getcb(bev, nullptr, nullptr, nullptr, &arg);
  auto* evcon = static_cast<evhttp_connection*>(arg);
  static std::uint64_t last_id = 0;
  auto& connection = connections[evcon];
  connection = std::make_shared<server_connection>(
      server_connection{.id = ++last_id, .bev = bev, .evcon = evcon});
  evbuffer_add_cb(bufferevent_get_output(bev), &impl::OnOutput,
                  connection.get());
  evhttp_connection_set_closecb(evcon, &impl::OnConnectionClosed, this);
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
  evbuffer_remove_cb(bufferevent_get_output(connection->bev), &impl::OnOutput,
                     connection.get());
  if (const auto request = connection->current.lock()) {
    request->PeerGone();
  }
  if (server->on_closed) {
    server->on_closed();
  }
}

// evhttp refuses malformed and excessive requests by a page of its own, then
// closes. The page is replaced while it still waits to be written.
void http_server::impl::OnOutput(evbuffer* output,
                                 const evbuffer_cb_info* info,
                                 void* self) {
  auto* connection = static_cast<server_connection*>(self);
  if (connection->replying || info->n_added == 0) {
    return;
  }
  const std::string page = CopyBuffer(output);
  if (page.size() < kStatusLineBytes || page[kStatusOffset] != '4') {
    return;
  }
  const auto body_begin = page.find("\r\n\r\n");
  if (body_begin == std::string::npos) {
    return;
  }
  const std::string refusal =
      MakeErrorResponse(0, verdict::kNotRun, reason_code::kBadRequest).body;
  const std::string reply = page.substr(0, kStatusLineBytes) +
                            " Refused\r\nContent-Type: application/json"
                            "\r\nConnection: close\r\nContent-Length: " +
                            std::to_string(refusal.size()) + "\r\n\r\n" +
                            refusal;
  connection->replying = true;
  evbuffer_drain(output, page.size());
  evbuffer_add(output, reply.data(), reply.size());
  connection->replying = false;
}

void http_server::impl::OnRequest(evhttp_request* raw, void* self) {
  static_cast<impl*>(self)->Dispatch(raw);
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

void http_server::impl::Dispatch(evhttp_request* raw) {
  evhttp_connection* evcon = evhttp_request_get_connection(raw);
  const auto found = connections.find(evcon);
  if (found == connections.end() || found->second->dropped) {
    evhttp_send_error(raw, HTTP_INTERNAL, nullptr);
    return;
  }
  auto responder = std::make_shared<http_responder::impl>();
  responder->server = state;
  responder->connection = found->second;
  responder->raw = raw;
  found->second->current = responder;
  ++state->in_progress;
  responder->WatchForClose();

  http_request request;
  request.method =
      MethodName(static_cast<unsigned>(evhttp_request_get_command(raw)));
  request.target = evhttp_request_get_uri(raw);
  if (!options.target_only) {
    DecodeTarget(raw, request);
  }
  request.headers = CopyHeaders(evhttp_request_get_input_headers(raw));
  request.body = CopyBuffer(evhttp_request_get_input_buffer(raw));
  char* peer = nullptr;
  ev_uint16_t peer_port = 0;
  evhttp_connection_get_peer(evcon, &peer, &peer_port);
  request.peer_ip = peer == nullptr ? "" : peer;

  if (const auto refusal = CheckLimits(request)) {
    responder->Reply(*refusal, std::nullopt);
    return;
  }
  on_request(std::move(request), http_responder(std::move(responder)));
}

void http_server::impl::ApplyLimits() {
  const auto header_limit =
      static_cast<ev_ssize_t>(options.max_header_bytes) * kLibraryLimitFactor;
  const auto body_limit =
      static_cast<ev_ssize_t>(options.max_body_bytes) * kLibraryLimitFactor;
  evhttp_set_max_headers_size(http.get(), header_limit);
  evhttp_set_max_body_size(http.get(), body_limit);
  state->idle_timeout = ToTimeval(options.idle_timeout);
  evhttp_set_timeout_tv(http.get(), &state->idle_timeout);
}

http_server::http_server(std::unique_ptr<impl> state)
    : impl_(std::move(state)) {}

http_server::~http_server() {
  impl_->on_closed = nullptr;
  // Frees the connections, which still report to `impl_`.
  impl_->http.reset();
}

result<std::unique_ptr<http_server>> http_server::Listen(
    event_loop& loop,
    const socket_address& address,
    const http_server_options& options,
    handler on_request) {
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &where.sin_addr) != 1) {
    return ListenFailure(reason_code::kBadRequest,
                         "not an IP number: " + address.ip);
  }
  auto made = std::make_unique<impl>(loop, options, std::move(on_request));
  made->http.reset(evhttp_new(loop.base()));
  evhttp* http = made->http.get();
  evconnlistener* listener = evconnlistener_new_bind(
      loop.base(), nullptr, nullptr,
      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
      kListenBacklog, reinterpret_cast<const sockaddr*>(&where), sizeof where);
  if (listener == nullptr) {
    return ListenFailure(
        reason_code::kConnectionRefused,
        "cannot listen on " + address.ip + ":" + std::to_string(address.port));
  }
  socklen_t size = sizeof where;
  getsockname(evconnlistener_get_fd(listener),
              reinterpret_cast<sockaddr*>(&where), &size);
  made->port = ntohs(where.sin_port);
  made->bound = evhttp_bind_listener(http, listener);
  made->ApplyLimits();
  evhttp_set_allowed_methods(http, kAllMethods);
  evhttp_set_bevcb(http, &impl::MakeBufferevent, made.get());
  evhttp_set_gencb(http, &impl::OnRequest, made.get());
  return std::unique_ptr<http_server>(new http_server(std::move(made)));
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

void http_server::CloseIdle() {
  // Bytes that wait in the socket belong to a request that crossed the close.
  for (const auto& [evcon, connection] : impl_->connections) {
    if (connection->current.expired() &&
        evbuffer_get_length(bufferevent_get_input(connection->bev)) == 0 &&
        evbuffer_get_length(bufferevent_get_output(connection->bev)) == 0) {
      shutdown(bufferevent_getfd(connection->bev), SHUT_RDWR);
    }
  }
}

void http_server::CloseAfterReplies() {
  impl_->state->close_after_replies = true;
}

void http_server::StopAccepting() {
  if (impl_->bound != nullptr) {
    evhttp_del_accept_socket(impl_->http.get(), impl_->bound);
    impl_->bound = nullptr;
  }
}

std::size_t http_server::open_connections() const {
  return impl_->connections.size();
}

std::size_t http_server::requests_in_progress() const {
  return impl_->state->in_progress;
}

void http_server::OnAccept(std::function<bool()> admit) {
  impl_->admit = std::move(admit);
}

void http_server::OnClosed(std::function<void()> task) {
  impl_->on_closed = std::move(task);
}

void http_server::DropConnections() {
  // The loop then sees the end of each and frees it.
  for (const auto& [evcon, connection] : impl_->connections) {
    connection->dropped = true;
    shutdown(bufferevent_getfd(connection->bev), SHUT_RDWR);
  }
}

}  // namespace trefoilmill
