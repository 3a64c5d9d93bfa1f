#include "relay.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>

#include "delay_line.h"

namespace trefoilmill {
namespace {

/// Reading pauses while more than this is held back in one direction.
constexpr std::size_t kMaxHeldBytes = 1 << 20;
/// A connection is set up in one and a half round trips; the first is over
/// on accept, without delay.
constexpr int kSetUpDelays = 2;

struct bufferevent_deleter {
  void operator()(bufferevent* stream) const { bufferevent_free(stream); }
};
using stream_pointer = std::unique_ptr<bufferevent, bufferevent_deleter>;

/// Makes the close of this socket a reset.
void ResetOnClose(bufferevent* stream) {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  const evutil_socket_t socket = bufferevent_getfd(stream);
  if (socket >= 0) {
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  }
}

void SendWithoutWaiting(bufferevent* stream) {
  const int on = 1;
  setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on,
             sizeof(on));
}

std::string TakeInput(bufferevent* stream) {
  evbuffer* input = bufferevent_get_input(stream);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  return bytes;
}

}  // namespace

struct relay::impl {
  /// One direction.
  struct flow {
    impl* owner = nullptr;
    bufferevent* from = nullptr;
    bufferevent* to = nullptr;
    stall_direction stalled_by = stall_direction::kNone;
    delay_line line;
    timer wake;
    /// `from` has closed or reset: nothing more is read.
    bool source_ended = false;
    /// The end has left the line; the other side is told once it has all.
    bool ending = false;
    bool ended = false;
  };

  impl(event_loop& on_loop,
       const listener_faults& chosen,
       std::mt19937_64& engine,
       on_ended end)
      : loop(on_loop), faults(chosen), random(engine), ended(std::move(end)) {}

  void Start(evutil_socket_t socket, const socket_address& address);
  void Connect(const socket_address& address);
  void Pump(flow& f);
  void Deliver(flow& f, segment next);
  void Push(flow& f, segment_kind kind, std::string bytes);
  void FinishIfFlushed(flow& f);
  void Abort(const std::string& how);
  void End(const std::string& how);
  bool Stalled(const flow& f) const;

  static void OnRead(bufferevent* stream, void* self);
  static void OnWritten(bufferevent* stream, void* self);
  static void OnEvent(bufferevent* stream, short what, void* self);
  flow& FlowFrom(const bufferevent* stream);
  flow& FlowTo(const bufferevent* stream);

  event_loop& loop;
  const listener_faults& faults;
  std::mt19937_64& random;
  on_ended ended;
  stream_pointer client;
  stream_pointer upstream;
  std::unique_ptr<flow> forward;
  std::unique_ptr<flow> backward;
  bool connected = false;
  bool over = false;
};

void relay::impl::Start(evutil_socket_t socket, const socket_address& address) {
  client.reset(
      bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE));
  upstream.reset(
      bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  const time_point now = loop.Now();
  const time_point set_up = now + kSetUpDelays * faults.delay;
  forward =
      std::make_unique<flow>(flow{.owner = this,
                                  .from = client.get(),
                                  .to = upstream.get(),
                                  .stalled_by = stall_direction::kToUpstream,
                                  .line = delay_line(set_up),
                                  .wake = {}});
  backward =
      std::make_unique<flow>(flow{.owner = this,
                                  .from = upstream.get(),
                                  .to = client.get(),
                                  .stalled_by = stall_direction::kToClient,
                                  .line = delay_line(now),
                                  .wake = {}});
  for (bufferevent* stream : {client.get(), upstream.get()}) {
    bufferevent_setcb(stream, OnRead, OnWritten, OnEvent, this);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
  }
  SendWithoutWaiting(client.get());
  Connect(address);
}

void relay::impl::Connect(const socket_address& address) {
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &peer.sin_addr);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  auto* generic = reinterpret_cast<sockaddr*>(&peer);
  bufferevent_socket_connect(upstream.get(), generic, sizeof(peer));
}

relay::impl::flow& relay::impl::FlowFrom(const bufferevent* stream) {
  return stream == client.get() ? *forward : *backward;
}

relay::impl::flow& relay::impl::FlowTo(const bufferevent* stream) {
  return stream == client.get() ? *backward : *forward;
}

bool relay::impl::Stalled(const flow& f) const {
  return faults.stall == stall_direction::kBoth || faults.stall == f.stalled_by;
}

void relay::impl::OnRead(bufferevent* stream, void* self) {
  auto* state = static_cast<impl*>(self);
  if (state->over) {
    return;
  }
  std::uniform_real_distribution<double> share(0, 1);
  if (share(state->random) < state->faults.reset_share) {
    state->Abort("reset");
    return;
  }
  state->Push(state->FlowFrom(stream), segment_kind::kBytes, TakeInput(stream));
}

void relay::impl::OnWritten(bufferevent* stream, void* self) {
  auto* state = static_cast<impl*>(self);
  if (!state->over) {
    state->FinishIfFlushed(state->FlowTo(stream));
  }
}

void relay::impl::OnEvent(bufferevent* stream, short what, void* self) {
  auto* state = static_cast<impl*>(self);
  if (state->over) {
    return;
  }
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    state->connected = true;
    SendWithoutWaiting(stream);
    return;
  }
  if (stream == state->upstream.get() && !state->connected) {
    state->Abort("upstream_refused");
    return;
  }
  flow& ended_flow = state->FlowFrom(stream);
  ended_flow.source_ended = true;
  const bool end = (what & BEV_EVENT_EOF) != 0;
  state->Push(ended_flow, end ? segment_kind::kEnd : segment_kind::kReset, "");
}

void relay::impl::Push(flow& f, segment_kind kind, std::string bytes) {
  f.line.Push(loop.Now(), kind, std::move(bytes), faults, random);
  if (f.line.size_bytes() > kMaxHeldBytes) {
    bufferevent_disable(f.from, EV_READ);
  }
  Pump(f);
}

void relay::impl::Pump(flow& f) {
  if (over || Stalled(f)) {
    return;
  }
  while (auto next = f.line.Pop(loop.Now())) {
    Deliver(f, std::move(*next));
    if (over) {
      return;
    }
  }
  if (f.line.size_bytes() <= kMaxHeldBytes && !f.source_ended) {
    bufferevent_enable(f.from, EV_READ);
  }
  const auto due = f.line.next_due();
  if (due.has_value()) {
    f.wake = loop.RunAfter(*due - loop.Now(), [this, &f] { Pump(f); });
  }
}

void relay::impl::Deliver(flow& f, segment next) {
  switch (next.kind) {
    case segment_kind::kBytes:
      bufferevent_write(f.to, next.bytes.data(), next.bytes.size());
      return;
    case segment_kind::kEnd:
      f.ending = true;
      FinishIfFlushed(f);
      return;
    case segment_kind::kReset:
      Abort("reset");
      return;
  }
}

void relay::impl::FinishIfFlushed(flow& f) {
  const bool flushed = evbuffer_get_length(bufferevent_get_output(f.to)) == 0;
  if (!f.ending || f.ended || !flushed) {
    return;
  }
  f.ended = true;
  shutdown(bufferevent_getfd(f.to), SHUT_WR);
  if (forward->ended && backward->ended) {
    End("closed");
  }
}

void relay::impl::Abort(const std::string& how) {
  ResetOnClose(client.get());
  ResetOnClose(upstream.get());
  End(how);
}

void relay::impl::End(const std::string& how) {
  over = true;
  forward->wake = {};
  backward->wake = {};
  for (bufferevent* stream : {client.get(), upstream.get()}) {
    bufferevent_disable(stream, EV_READ | EV_WRITE);
  }
  ended(how);
}

std::unique_ptr<relay> relay::Create(event_loop& loop,
                                     evutil_socket_t client,
                                     const socket_address& upstream,
                                     const listener_faults& faults,
                                     std::mt19937_64& random,
                                     on_ended ended) {
  auto state = std::make_unique<impl>(loop, faults, random, std::move(ended));
  state->Start(client, upstream);
  return std::make_unique<relay>(std::move(state));
}

relay::relay(std::unique_ptr<impl> state) : impl_(std::move(state)) {}
relay::~relay() = default;

void relay::Refresh() {
  impl_->Pump(*impl_->forward);
  impl_->Pump(*impl_->backward);
}

void relay::Cut() {
  if (!impl_->over) {
    impl_->Abort("reset");
  }
}

}  // namespace trefoilmill
