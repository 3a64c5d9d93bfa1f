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
#include <optional>
#include <string_view>
#include <utility>

#include "http_common.h"
#include "http_exchange.h"
#include "message_framing.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

namespace {

// One year. Effectively disables evhttp's timeout, which must not expire before
// the timer of the request or close an idle connection.
constexpr timeval kEvhttpTimeout{.tv_sec = 365L * 24 * 3600, .tv_usec = 0};
constexpr ev_ssize_t kMaxResponseHeaderBytes = 65536;
// A response may have this many bytes for each allowed byte of its body, in
// addition to its headers: chunks have lengths. evhttp limits neither the
// length of a chunk's first line nor the number of interim responses.
constexpr std::size_t kMaxBytesPerBodyByte = 2;

enum class connection_state {
  kClosed,
  kConnecting,
  kAwaitingFirstRequest,  ///< Connected, before the first request; evhttp is
                          ///< not notified yet.
  kIdle,                  ///< Connected, and evhttp has been notified.
  kBusy,                  ///< A request is in progress.
};

}  // namespace

// evhttp in libevent 2.1 connects only in order to send a request. Connect()
// therefore submits a placeholder request and replaces the bufferevent's
// callbacks before the connection is established, so that evhttp is not
// notified. The first Send() fills in the placeholder and forwards the
// "connected" event, whereupon evhttp sends the request. An evhttp connection
// is used for one TCP connection only and receives no request after that has
// closed, since evhttp would reconnect.
struct http_connection::impl
    : public std::enable_shared_from_this<http_connection::impl> {
  event_loop& loop;
  socket_address address;
  options opts;
  connection_state current_state = connection_state::kClosed;
  evhttp_connection* evcon = nullptr;
  bufferevent* bev = nullptr;
  evhttp_request* placeholder = nullptr;
  // Bytes received since the request in progress was sent.
  std::size_t received_bytes = 0;
  // Body of the request in progress.
  std::size_t request_bytes = 0;
  // What the connection holds, among those of the process.
  connection_budget::entry use;
  // Follows the bytes of the response, beside evhttp.
  message_framing framing =
      message_framing::ForResponse(kMaxResponseHeaderBytes, false);
  // evhttp's event callback, which the first Send() calls.
  bufferevent_event_cb evhttp_event_cb = nullptr;
  void* evhttp_cb_arg = nullptr;
  std::optional<http_failure> evhttp_failure;
  // Incremented for each TCP connection and each request, so that posted tasks
  // of earlier ones can be recognized and ignored.
  std::uint64_t generation = 0;
  timer deadline;
  connect_callback on_connect_done;
  result_callback on_request_done;
  std::function<void()> on_closed;

  impl(event_loop& owner_loop,
       socket_address peer_address,
       options connection_options)
      : loop(owner_loop),
        address(std::move(peer_address)),
        opts(std::move(connection_options)) {}
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;
  ~impl() { Release(); }

  static void OnBufferEvent(bufferevent* bev, short events, void* self);
  static void OnUnsolicitedData(bufferevent* bev, void* self);
  static void OnInputChanged(evbuffer* input,
                             const evbuffer_cb_info* change,
                             void* self);
  static int OnEvhttpHeaders(evhttp_request* evreq, void* self);
  static void OnEvhttpResponse(evhttp_request* evreq, void* self);
  static void OnEvhttpError(evhttp_request_error code, void* self);
  static void OnEvhttpClosed(evhttp_connection* evcon, void* self);

  void Release();
  void UpdateUse();
  void StartConnect(connect_callback done);
  void HandleConnected();
  void HandleConnectFailed();
  void HandleIdleClose();
  void HandleMalformed();
  bool IsWhole(const http_response& response) const;
  void StartRequest(const http_request& request,
                    duration timeout,
                    result_callback done);
  void FinishRequest(http_result exchange, bool still_open);
  void PostResult(result_callback done, http_result exchange);
  void PostIfCurrent(void (impl::*method)());
};

void http_connection::impl::Release() {
  current_state = connection_state::kClosed;
  deadline = timer();
  placeholder = nullptr;
  bev = nullptr;
  use = connection_budget::entry();
  ++generation;
  if (evhttp_connection* old = std::exchange(evcon, nullptr)) {
    evhttp_connection_set_closecb(old, nullptr, nullptr);
    evhttp_connection_free(old);
  }
}

// Calls `method` from a posted task, outside of libevent's callbacks, unless
// this object has been destroyed or `generation` has changed by then.
void http_connection::impl::PostIfCurrent(void (impl::*method)()) {
  loop.Post([weak = weak_from_this(), method, expected = generation] {
    const auto self = weak.lock();
    if (self && self->generation == expected) {
      ((*self).*method)();
    }
  });
}

void http_connection::impl::UpdateUse() {
  use.SetBytes(request_bytes +
               MemoryOf(framing.pending(),
                        evbuffer_get_length(bufferevent_get_input(bev))));
}

void http_connection::impl::StartConnect(connect_callback done) {
  Release();
  std::function<void()> give_up;
  if (opts.may_give_up_for_memory) {
    give_up = [this] { PostIfCurrent(&impl::HandleMalformed); };
  }
  use = loop.connections().AddOutbound(loop.Now(), std::move(give_up));
  current_state = connection_state::kConnecting;
  on_connect_done = std::move(done);
  bev = bufferevent_socket_new(loop.base(), -1, 0);
  evcon = evhttp_connection_base_bufferevent_new(
      loop.base(), nullptr, bev, address.ip.c_str(), address.port);
  evhttp_connection_set_retries(evcon, 0);
  evhttp_connection_set_timeout_tv(evcon, &kEvhttpTimeout);
  evhttp_connection_set_family(evcon, AF_INET);
  evhttp_connection_set_max_headers_size(evcon, kMaxResponseHeaderBytes);
  evhttp_connection_set_max_body_size(
      evcon, static_cast<ev_ssize_t>(opts.max_body_bytes));
  if (!opts.local_ip.empty()) {
    evhttp_connection_set_local_address(evcon, opts.local_ip.c_str());
  }
  placeholder = evhttp_request_new(&impl::OnEvhttpResponse, this);
  evhttp_request_set_error_cb(placeholder, &impl::OnEvhttpError);
  deadline =
      loop.RunAfter(opts.connect_timeout, [this] { HandleConnectFailed(); });
  const int status =
      evhttp_make_request(evcon, placeholder, EVHTTP_REQ_GET, "/");
  if (status != 0 || placeholder == nullptr) {
    placeholder = nullptr;
    PostIfCurrent(&impl::HandleConnectFailed);
    return;
  }
  bufferevent_getcb(bev, nullptr, nullptr, &evhttp_event_cb, &evhttp_cb_arg);
  bufferevent_setcb(bev, nullptr, nullptr, &impl::OnBufferEvent, this);
}

void http_connection::impl::OnBufferEvent(bufferevent*,
                                          short events,
                                          void* self) {
  auto* connection = static_cast<impl*>(self);
  if (connection->current_state == connection_state::kConnecting) {
    const bool connected = (events & BEV_EVENT_CONNECTED) != 0;
    connection->PostIfCurrent(connected ? &impl::HandleConnected
                                        : &impl::HandleConnectFailed);
    return;
  }
  connection->PostIfCurrent(&impl::HandleIdleClose);
}

void http_connection::impl::OnUnsolicitedData(bufferevent*, void* self) {
  // Data received while no request is in progress.
  static_cast<impl*>(self)->PostIfCurrent(&impl::HandleIdleClose);
}

void http_connection::impl::HandleConnected() {
  if (current_state != connection_state::kConnecting) {
    return;
  }
  current_state = connection_state::kAwaitingFirstRequest;
  deadline = timer();
  SetNoDelay(bufferevent_getfd(bev));
  if (opts.dead_peer_timeout > duration::zero()) {
    SetDeadPeerTimeout(bufferevent_getfd(bev), opts.dead_peer_timeout);
  }
  bufferevent_setcb(bev, &impl::OnUnsolicitedData, nullptr,
                    &impl::OnBufferEvent, this);
  bufferevent_set_timeouts(bev, nullptr, nullptr);
  bufferevent_enable(bev, EV_READ);
  evbuffer_add_cb(bufferevent_get_input(bev), &impl::OnInputChanged, this);
  if (const auto done = std::exchange(on_connect_done, nullptr)) {
    done(true);
  }
}

void http_connection::impl::OnInputChanged(evbuffer* input,
                                           const evbuffer_cb_info* change,
                                           void* self) {
  auto* connection = static_cast<impl*>(self);
  const std::size_t limit =
      kMaxResponseHeaderBytes +
      kMaxBytesPerBodyByte * connection->opts.max_body_bytes;
  const bool was_within = connection->received_bytes <= limit;
  connection->received_bytes += change->n_added;
  if (connection->current_state != connection_state::kBusy || !was_within) {
    return;
  }
  VisitLastBytes(input, change->n_added, [connection](std::string_view bytes) {
    connection->framing.Consume(bytes);
  });
  connection->UpdateUse();
  if (connection->framing.is_faulty() || connection->received_bytes > limit) {
    connection->PostIfCurrent(&impl::HandleMalformed);
  }
}

void http_connection::impl::HandleMalformed() {
  FinishRequest({.failure_reason = http_failure::kMalformed}, false);
}

void http_connection::impl::HandleConnectFailed() {
  Release();
  if (const auto done = std::exchange(on_connect_done, nullptr)) {
    done(false);
  }
}

void http_connection::impl::HandleIdleClose() {
  Release();
  if (const auto task = on_closed) {
    task();
  }
}

void http_connection::impl::StartRequest(const http_request& request,
                                         duration timeout,
                                         result_callback done) {
  const std::optional<evhttp_cmd_type> type = MethodType(request.method);
  const bool usable =
      current_state == connection_state::kAwaitingFirstRequest ||
      current_state == connection_state::kIdle;
  if (!usable || !type.has_value()) {
    PostResult(std::move(done),
               {.failure_reason = http_failure::kNotConnected});
    return;
  }
  if (!IsConnectedAndIdle(bev)) {
    PostResult(std::move(done),
               {.failure_reason = http_failure::kNotConnected});
    Release();
    return;
  }
  const bool first_request =
      current_state == connection_state::kAwaitingFirstRequest;
  current_state = connection_state::kBusy;
  ++generation;
  evhttp_failure.reset();
  received_bytes = 0;
  request_bytes = request.body.size();
  framing.ExpectResponse(request.method == "HEAD");
  use.SetPhase(loop.Now(), connection_phase::kReceiving);
  UpdateUse();
  on_request_done = std::move(done);
  deadline = loop.RunAfter(timeout, [this] {
    FinishRequest({.failure_reason = http_failure::kTimeout}, false);
  });
  const std::string target =
      request.target.empty() ? EncodeTarget(request) : request.target;
  if (!first_request) {
    evhttp_request* evreq = evhttp_request_new(&impl::OnEvhttpResponse, this);
    evhttp_request_set_error_cb(evreq, &impl::OnEvhttpError);
    evhttp_request_set_header_cb(evreq, &impl::OnEvhttpHeaders);
    FillRequest(evreq, request, address);
    evhttp_make_request(evcon, evreq, *type, target.c_str());
    return;
  }
  evhttp_request* evreq = std::exchange(placeholder, nullptr);
  evhttp_request_set_header_cb(evreq, &impl::OnEvhttpHeaders);
  evreq->type = *type;
  std::free(evreq->uri);
  evreq->uri = strdup(target.c_str());
  FillRequest(evreq, request, address);
  evhttp_connection_set_closecb(evcon, &impl::OnEvhttpClosed, this);
  evhttp_event_cb(bev, BEV_EVENT_CONNECTED, evhttp_cb_arg);
}

void http_connection::impl::OnEvhttpError(evhttp_request_error code,
                                          void* self) {
  static_cast<impl*>(self)->evhttp_failure = ToFailure(code);
}

void http_connection::impl::OnEvhttpClosed(evhttp_connection*, void* self) {
  auto* connection = static_cast<impl*>(self);
  if (connection->current_state == connection_state::kIdle) {
    // evhttp still uses the connection, so a posted task frees it.
    connection->current_state = connection_state::kClosed;
    connection->PostIfCurrent(&impl::HandleIdleClose);
    return;
  }
  connection->current_state = connection_state::kClosed;
}

// Without a length evhttp reads up to the end of the connection only if nothing
// is said of the connection, or "close"; else it takes the body for empty.
int http_connection::impl::OnEvhttpHeaders(evhttp_request* evreq, void* self) {
  const auto* connection = static_cast<impl*>(self);
  if (!connection->framing.empty() &&
      connection->framing.front().ends_with_connection) {
    evhttp_remove_header(evhttp_request_get_input_headers(evreq), "Connection");
  }
  return 0;
}

// Whether evhttp has read the response that its bytes hold, to the end.
bool http_connection::impl::IsWhole(const http_response& response) const {
  if (framing.empty()) {
    return false;
  }
  const message_framing::message& framed = framing.front();
  return framed.found == message_framing::fault::kNone &&
         (framed.complete || framed.ends_with_connection) &&
         framed.body_bytes == response.body.size();
}

void http_connection::impl::OnEvhttpResponse(evhttp_request* evreq,
                                             void* self) {
  auto* connection = static_cast<impl*>(self);
  if (connection->current_state == connection_state::kConnecting) {
    connection->placeholder = nullptr;
    return;
  }
  const int status =
      evreq == nullptr ? 0 : evhttp_request_get_response_code(evreq);
  if (status == 0) {
    connection->FinishRequest(
        {.failure_reason = connection->evhttp_failure.value_or(
             http_failure::kConnectionLost)},
        false);
    return;
  }
  http_response response;
  response.status = status;
  response.headers = CopyHeaders(evhttp_request_get_input_headers(evreq));
  response.content_type = response.Header("Content-Type").value_or("");
  response.body = CopyBuffer(evhttp_request_get_input_buffer(evreq));
  // evhttp itself reports an error if the connection is reset within a body
  // that the end of the connection delimits.
  const bool may_end_so =
      HasDelimitedBody(response) || connection->opts.accept_close_delimited;
  if (!may_end_so || !connection->IsWhole(response)) {
    connection->FinishRequest({.failure_reason = http_failure::kMalformed},
                              false);
    return;
  }
  const bool still_open =
      connection->current_state == connection_state::kBusy &&
      IsConnectedAndIdle(connection->bev);
  connection->FinishRequest({.response = std::move(response)}, still_open);
}

// May be called from an evhttp callback. evhttp uses the connection after the
// callback returns, so a posted task frees it.
void http_connection::impl::FinishRequest(http_result exchange,
                                          bool still_open) {
  deadline = timer();
  ++generation;
  request_bytes = 0;
  use.SetPhase(loop.Now(), connection_phase::kIdle);
  use.SetBytes(0);
  current_state =
      still_open ? connection_state::kIdle : connection_state::kClosed;
  if (!still_open) {
    PostIfCurrent(&impl::Release);
  }
  PostResult(std::exchange(on_request_done, nullptr), std::move(exchange));
}

void http_connection::impl::PostResult(result_callback done,
                                       http_result exchange) {
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

void http_connection::Connect(connect_callback done) {
  impl_->StartConnect(std::move(done));
}

void http_connection::Send(const http_request& request,
                           duration timeout,
                           result_callback done) {
  impl_->StartRequest(request, timeout, std::move(done));
}

void http_connection::OnClosed(std::function<void()> task) {
  impl_->on_closed = std::move(task);
}

bool http_connection::connected() const {
  return impl_->current_state != connection_state::kClosed &&
         impl_->current_state != connection_state::kConnecting;
}

bool http_connection::busy() const {
  return impl_->current_state == connection_state::kBusy;
}

}  // namespace trefoilmill
