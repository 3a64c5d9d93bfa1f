#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <utility>

#include "http_common.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

namespace {

// Every exchange has a timer of its own; evhttp's must never be first, neither
// in an exchange nor on an idle connection.
constexpr timeval kNeverTimeout{.tv_sec = 365L * 24 * 3600, .tv_usec = 0};
constexpr ev_ssize_t kMaxReplyHeaderBytes = 65536;

enum class stage {
  kClosed,
  kConnecting,
  kFresh,  ///< Connected; evhttp still waits to be told so.
  kIdle,   ///< Connected and known to evhttp.
  kBusy,
};

http_failure ToFailure(evhttp_request_error error) {
  switch (error) {
    case EVREQ_HTTP_INVALID_HEADER:
    case EVREQ_HTTP_DATA_TOO_LONG:
      return http_failure::kMalformed;
    case EVREQ_HTTP_TIMEOUT:
      return http_failure::kTimeout;
    case EVREQ_HTTP_EOF:
    case EVREQ_HTTP_BUFFER_ERROR:
    case EVREQ_HTTP_REQUEST_CANCEL:
      break;
  }
  return http_failure::kReset;
}

// A body that ends with the connection cannot be told from a truncated one.
bool HasDelimitedBody(const http_response& response) {
  return response.status == 204 || response.status == 304 ||
         response.Header("Content-Length") ||
         response.Header("Transfer-Encoding");
}

// Whether nothing has come in that no request asked for: neither the end of
// the connection, which the loop may not have seen yet, nor bytes that would
// be taken for the reply to the next request.
bool IsQuiet(bufferevent* bev) {
  if (evbuffer_get_length(bufferevent_get_input(bev)) > 0) {
    return false;
  }
  char byte = 0;
  const ssize_t count =
      recv(bufferevent_getfd(bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EINTR);
}

void FillRequest(evhttp_request* raw,
                 const http_request& request,
                 const socket_address& address) {
  evkeyvalq* headers = evhttp_request_get_output_headers(raw);
  const bool as_given = !request.target.empty();
  if (!as_given) {
    const std::string host = address.ip + ":" + std::to_string(address.port);
    evhttp_add_header(headers, "Host", host.c_str());
  }
  for (const auto& header : request.headers) {
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
  if (request.body.empty()) {
    return;
  }
  if (!as_given && evhttp_find_header(headers, "Content-Type") == nullptr) {
    evhttp_add_header(headers, "Content-Type", "application/json");
  }
  evhttp_add_header(headers, "Content-Length",
                    std::to_string(request.body.size()).c_str());
  evbuffer_add(evhttp_request_get_output_buffer(raw), request.body.data(),
               request.body.size());
}

}  // namespace

// evhttp 2.1 connects only on behalf of a request. Connect() therefore hands
// it a placeholder and takes over the bufferevent's callbacks before the
// connection is made, so that evhttp does not learn of it. The first Send()
// fills the placeholder and passes the event on, upon which evhttp sends it.
// Each evhttp connection serves one TCP connection and is never given a
// request after that has closed, since evhttp would open another.
struct http_connection::impl
    : public std::enable_shared_from_this<http_connection::impl> {
  event_loop& loop;
  socket_address address;
  options opts;
  stage at = stage::kClosed;
  evhttp_connection* evcon = nullptr;
  bufferevent* bev = nullptr;
  evhttp_request* placeholder = nullptr;
  bufferevent_event_cb connected_cb = nullptr;
  void* connected_arg = nullptr;
  std::optional<http_failure> error;
  // Counts TCP connections and exchanges; posted tasks of earlier ones are
  // recognized by it.
  std::uint64_t generation = 0;
  timer deadline;
  on_connected connect_done;
  on_reply reply_done;
  std::function<void()> on_closed;

  impl(event_loop& l, socket_address a, options o)
      : loop(l), address(std::move(a)), opts(std::move(o)) {}
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;
  ~impl() { Free(); }

  static void OnEvent(bufferevent* bev, short what, void* self);
  static void OnData(bufferevent* bev, void* self);
  static void OnReply(evhttp_request* raw, void* self);
  static void OnError(evhttp_request_error code, void* self);
  static void OnEvhttpClosed(evhttp_connection* evcon, void* self);

  void Free();
  void Open(on_connected done);
  void Opened();
  void OpenFailed();
  void ClosedWhileIdle();
  void Start(const http_request& request, duration timeout, on_reply done);
  void Finish(http_exchange exchange, bool still_open);
  void PostReply(on_reply done, http_exchange exchange);
  void Later(void (impl::*step)());
};

void http_connection::impl::Free() {
  at = stage::kClosed;
  deadline = timer();
  placeholder = nullptr;
  bev = nullptr;
  ++generation;
  if (evhttp_connection* old = std::exchange(evcon, nullptr)) {
    evhttp_connection_set_closecb(old, nullptr, nullptr);
    evhttp_connection_free(old);
  }
}

// Runs `step` outside of libevent's callbacks, unless the connection has been
// freed or has moved on by then.
void http_connection::impl::Later(void (impl::*step)()) {
  loop.Post([weak = weak_from_this(), step, expected = generation] {
    const auto self = weak.lock();
    if (self && self->generation == expected) {
      ((*self).*step)();
    }
  });
}

void http_connection::impl::Open(on_connected done) {
  Free();
  at = stage::kConnecting;
  connect_done = std::move(done);
  bev = bufferevent_socket_new(loop.base(), -1, 0);
  evcon = evhttp_connection_base_bufferevent_new(
      loop.base(), nullptr, bev, address.ip.c_str(), address.port);
  evhttp_connection_set_retries(evcon, 0);
  evhttp_connection_set_timeout_tv(evcon, &kNeverTimeout);
  evhttp_connection_set_family(evcon, AF_INET);
  evhttp_connection_set_max_headers_size(evcon, kMaxReplyHeaderBytes);
  evhttp_connection_set_max_body_size(
      evcon, static_cast<ev_ssize_t>(opts.max_body_bytes));
  if (!opts.local_ip.empty()) {
    evhttp_connection_set_local_address(evcon, opts.local_ip.c_str());
  }
  placeholder = evhttp_request_new(&impl::OnReply, this);
  evhttp_request_set_error_cb(placeholder, &impl::OnError);
  deadline = loop.After(opts.connect_timeout, [this] { OpenFailed(); });
  const int made = evhttp_make_request(evcon, placeholder, EVHTTP_REQ_GET, "/");
  if (made != 0 || placeholder == nullptr) {
    placeholder = nullptr;
    Later(&impl::OpenFailed);
    return;
  }
  bufferevent_getcb(bev, nullptr, nullptr, &connected_cb, &connected_arg);
  bufferevent_setcb(bev, nullptr, nullptr, &impl::OnEvent, this);
}

void http_connection::impl::OnEvent(bufferevent*, short what, void* self) {
  auto* connection = static_cast<impl*>(self);
  if (connection->at == stage::kConnecting) {
    const bool made = (what & BEV_EVENT_CONNECTED) != 0;
    connection->Later(made ? &impl::Opened : &impl::OpenFailed);
    return;
  }
  connection->Later(&impl::ClosedWhileIdle);
}

void http_connection::impl::OnData(bufferevent*, void* self) {
  // Bytes that no request asked for.
  static_cast<impl*>(self)->Later(&impl::ClosedWhileIdle);
}

void http_connection::impl::Opened() {
  if (at != stage::kConnecting) {
    return;
  }
  at = stage::kFresh;
  deadline = timer();
  SetNoDelay(bufferevent_getfd(bev));
  if (opts.dead_peer_timeout > duration::zero()) {
    SetDeadPeerTimeout(bufferevent_getfd(bev), opts.dead_peer_timeout);
  }
  bufferevent_setcb(bev, &impl::OnData, nullptr, &impl::OnEvent, this);
  bufferevent_set_timeouts(bev, nullptr, nullptr);
  bufferevent_enable(bev, EV_READ);
  if (const auto done = std::exchange(connect_done, nullptr)) {
    done(true);
  }
}

void http_connection::impl::OpenFailed() {
  Free();
  if (const auto done = std::exchange(connect_done, nullptr)) {
    done(false);
  }
}

void http_connection::impl::ClosedWhileIdle() {
  Free();
  if (const auto task = on_closed) {
    task();
  }
}

void http_connection::impl::Start(const http_request& request,
                                  duration timeout,
                                  on_reply done) {
  const bool usable = at == stage::kFresh || at == stage::kIdle;
  if (!usable) {
    PostReply(std::move(done), {.failed = http_failure::kRefused});
    return;
  }
  if (!IsQuiet(bev)) {
    PostReply(std::move(done), {.failed = http_failure::kRefused});
    Free();
    return;
  }
  const bool fresh = at == stage::kFresh;
  at = stage::kBusy;
  ++generation;
  error.reset();
  reply_done = std::move(done);
  deadline = loop.After(
      timeout, [this] { Finish({.failed = http_failure::kTimeout}, false); });
  const std::string target =
      request.target.empty() ? EncodeTarget(request) : request.target;
  const evhttp_cmd_type type = MethodType(request.method);
  if (!fresh) {
    evhttp_request* raw = evhttp_request_new(&impl::OnReply, this);
    evhttp_request_set_error_cb(raw, &impl::OnError);
    FillRequest(raw, request, address);
    evhttp_make_request(evcon, raw, type, target.c_str());
    return;
  }
  evhttp_request* raw = std::exchange(placeholder, nullptr);
  raw->type = type;
  std::free(raw->uri);
  raw->uri = strdup(target.c_str());
  FillRequest(raw, request, address);
  evhttp_connection_set_closecb(evcon, &impl::OnEvhttpClosed, this);
  connected_cb(bev, BEV_EVENT_CONNECTED, connected_arg);
}

void http_connection::impl::OnError(evhttp_request_error code, void* self) {
  static_cast<impl*>(self)->error = ToFailure(code);
}

void http_connection::impl::OnEvhttpClosed(evhttp_connection*, void* self) {
  auto* connection = static_cast<impl*>(self);
  if (connection->at == stage::kIdle) {
    // evhttp still uses the connection; the posted step frees it.
    connection->at = stage::kClosed;
    connection->Later(&impl::ClosedWhileIdle);
    return;
  }
  connection->at = stage::kClosed;
}

void http_connection::impl::OnReply(evhttp_request* raw, void* self) {
  auto* connection = static_cast<impl*>(self);
  if (connection->at == stage::kConnecting) {
    connection->placeholder = nullptr;
    return;
  }
  const int status = raw == nullptr ? 0 : evhttp_request_get_response_code(raw);
  if (status == 0) {
    connection->Finish(
        {.failed = connection->error.value_or(http_failure::kReset)}, false);
    return;
  }
  http_response response;
  response.status = status;
  response.headers = CopyHeaders(evhttp_request_get_input_headers(raw));
  response.content_type = response.Header("Content-Type").value_or("");
  response.body = CopyBuffer(evhttp_request_get_input_buffer(raw));
  // evhttp reports a connection that was reset within such a body as an error.
  if (!HasDelimitedBody(response) && !connection->opts.accept_close_delimited) {
    connection->Finish({.failed = http_failure::kMalformed}, false);
    return;
  }
  const bool still_open =
      connection->at == stage::kBusy && IsQuiet(connection->bev);
  connection->Finish({.response = std::move(response)}, still_open);
}

// May run inside one of evhttp's callbacks, which goes on using the
// connection; what is to be freed is freed by a posted step.
void http_connection::impl::Finish(http_exchange exchange, bool still_open) {
  deadline = timer();
  ++generation;
  at = still_open ? stage::kIdle : stage::kClosed;
  if (!still_open) {
    Later(&impl::Free);
  }
  PostReply(std::exchange(reply_done, nullptr), std::move(exchange));
}

void http_connection::impl::PostReply(on_reply done, http_exchange exchange) {
  loop.Post([weak = weak_from_this(), done = std::move(done),
             exchange = std::move(exchange)]() mutable {
    const auto self = weak.lock();
    if (self && done) {
      done(std::move(exchange));
    }
  });
}

http_connection::http_connection(std::shared_ptr<impl> state)
    : impl_(std::move(state)) {}

http_connection::~http_connection() = default;

std::unique_ptr<http_connection> http_connection::Create(
    event_loop& loop,
    const socket_address& address,
    const options& opts) {
  return std::unique_ptr<http_connection>(
      new http_connection(std::make_shared<impl>(loop, address, opts)));
}

void http_connection::Connect(on_connected done) {
  impl_->Open(std::move(done));
}

void http_connection::Send(const http_request& request,
                           duration timeout,
                           on_reply done) {
  impl_->Start(request, timeout, std::move(done));
}

void http_connection::OnClosed(std::function<void()> task) {
  impl_->on_closed = std::move(task);
}

bool http_connection::connected() const {
  return impl_->at != stage::kClosed && impl_->at != stage::kConnecting;
}

bool http_connection::busy() const {
  return impl_->at == stage::kBusy;
}

}  // namespace trefoilmill
