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
/// How long accepting pauses after it failed.
constexpr duration kAcceptPause = std::chrono::milliseconds(100);
constexpr int kHttpServiceUnavailable = 503;
/// When a caller may return whose request was refused for want of memory.
constexpr char kNoMemoryRetryAfterSeconds[] = "1";

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
  const std::uint64_t id = ++last_id;
  connection = std::make_shared<server_connection>(server_connection{
      .id = id,
      .loop = &loop,
      .bev = bev,
      .evcon = evcon,
      .idle_timeout = &state->idle_timeout,
      .max_unparsed_bytes = kUnparsedReserveBytes +
                            kEvhttpLimitFactor * (options.max_header_bytes +
                                                  options.max_body_bytes),
      .accepted_at = loop.Now(),
      .framing = message_framing::ForRequests(kEvhttpLimitFactor *
                                              options.max_header_bytes),
      .use = loop.connections().AddInbound(
          loop.Now(), [this, evcon, id] { PostClose(evcon, id); }),
      .on_malformed = [this, evcon] { PostRejection(evcon); },
      .on_rejected = [this,
                      evcon](int status) { ReportRejection(evcon, status); }});
  evbuffer_add_cb(bufferevent_get_output(bev), &impl::OnOutputChanged,
                  connection.get());
  evbuffer_add_cb(bufferevent_get_input(bev), &impl::OnInputChanged,
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
  evbuffer_remove_cb(bufferevent_get_output(connection->bev),
                     &impl::OnOutputChanged, connection.get());
  evbuffer_remove_cb(bufferevent_get_input(connection->bev),
                     &impl::OnInputChanged, connection.get());
  connection->use = connection_budget::entry();
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

void http_server::impl::OnInputChanged(evbuffer* input,
                                       const evbuffer_cb_info* change,
                                       void* self) {
  auto* connection = static_cast<server_connection*>(self);
  if (change->n_added == 0) {
    connection->UpdateUse();
    return;
  }
  const connection_phase phase = connection->use.phase();
  if (phase == connection_phase::kUnused || phase == connection_phase::kIdle) {
    connection->use.SetPhase(connection->loop->Now(),
                             connection_phase::kReceiving);
  }
  connection->request_begun = true;
  VisitLastBytes(input, change->n_added, [connection](std::string_view bytes) {
    connection->framing.Consume(bytes);
  });
  if (connection->framing.is_faulty()) {
    connection->on_malformed();
  }
  connection->UpdateReadLimit();
  connection->UpdateUse();
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
  evbuffer* body = evhttp_request_get_input_buffer(evreq);
  request.body = CopyBuffer(body);
  evbuffer_drain(body, request.body.size());
  request.peer_ip = PeerIp(evcon);

  if (const auto rejection = CheckRequest(framed, request)) {
    ReportRejection(evcon, rejection->status);
    responder->SendResponse(*rejection, std::nullopt);
    return;
  }
  const std::size_t bytes = BytesOf(framed);
  if (!loop.connections().MayStartRequest(bytes)) {
    ReportRejection(evcon, kHttpServiceUnavailable);
    http_response refusal = MakeErrorResponse(
        kHttpServiceUnavailable, verdict::kNotRun, reason_code::kOverloaded);
    refusal.headers.push_back({"Retry-After", kNoMemoryRetryAfterSeconds});
    responder->SendResponse(refusal, std::nullopt);
    return;
  }
  found->second->request_bytes = bytes;
  found->second->use.SetPhase(loop.Now(), connection_phase::kInProgress);
  found->second->UpdateUse();
  on_request(std::move(request), http_responder(std::move(responder)));
}

std::size_t http_server::impl::BytesOf(const message_framing::message& framed) {
  return MemoryOf({.messages = 1,
                   .lines = framed.lines,
                   .line_bytes = framed.line_bytes,
                   .body_bytes = framed.body_bytes},
                  0);
}

std::unordered_map<evconnlistener*, http_server::impl*>&
http_server::impl::ServersByListener() {
  thread_local std::unordered_map<evconnlistener*, impl*> servers;
  return servers;
}

void http_server::impl::OnAcceptFailed(evconnlistener* listener,
                                       void* /*http*/) {
  const auto& servers = ServersByListener();
  const auto found = servers.find(listener);
  if (found != servers.end()) {
    found->second->HandleAcceptFailed(listener);
  }
}

void http_server::impl::HandleAcceptFailed(evconnlistener* listener) {
  // The kernel would report the same connection again and again.
  evconnlistener_disable(listener);
  accept_again_timer = loop.RunAfter(kAcceptPause, [this, listener] {
    if (bound_socket != nullptr) {
      evconnlistener_enable(listener);
    }
  });
  loop.connections().FreeDescriptors();
  if (on_accept_failed) {
    on_accept_failed();
  }
}

void http_server::impl::PostClose(evhttp_connection* evcon, std::uint64_t id) {
  loop.Post([weak = std::weak_ptr(liveness_token), evcon, id] {
    const auto owner = weak.lock();
    if (owner == nullptr) {
      return;
    }
    const auto found = (*owner)->connections.find(evcon);
    if (found == (*owner)->connections.end() || found->second->id != id) {
      return;
    }
    server_connection& connection = *found->second;
    if (connection.IsInProgress()) {
      // Its request has become whole since it was chosen.
      connection.use.KeepOpen((*owner)->loop.Now(),
                              connection_phase::kInProgress);
      connection.UpdateUse();
      return;
    }
    evhttp_connection_free(evcon);
  });
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
  std::erase_if(impl::ServersByListener(), [this](const auto& listening) {
    return listening.second == impl_.get();
  });
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
  impl::ServersByListener()[listener] = server.get();
  evconnlistener_set_error_cb(listener, &impl::OnAcceptFailed);
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
                            duration idle_timeout,
                            duration header_timeout) {
  impl_->options.max_header_bytes = max_header_bytes;
  impl_->options.max_body_bytes = max_body_bytes;
  impl_->options.idle_timeout = idle_timeout;
  impl_->options.header_timeout = header_timeout;
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

void http_server::OnAcceptFailed(std::function<void()> task) {
  impl_->on_accept_failed = std::move(task);
}

void http_server::OnRejected(
    std::function<void(const rejected_request&)> task) {
  impl_->on_rejected = std::move(task);
}

}  // namespace trefoilmill
