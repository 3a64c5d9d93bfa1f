#include "trefoilmill/net/peer_mesh.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "trefoilmill/net/websocket_session.h"
#include "trefoilmill/wire/peer_codec.h"

namespace trefoilmill {
namespace {

/// Time from opening a connection to the peer's hello; closed after that.
constexpr duration kHandshakeTimeout = std::chrono::seconds(2);
/// Interval between rounds of keepalive pings.
constexpr duration kPingInterval = std::chrono::seconds(1);
/// Connections that one round pings or checks for a pong, in rotation.
constexpr std::size_t kMaxChecksPerRound = 50;
/// A connection whose ping is unanswered for longer is closed at its next
/// check: one or both of its directions may be stalled, while the host may be
/// reachable on another connection.
constexpr duration kPongTimeout = std::chrono::milliseconds(2500);
/// A connection with more unsent bytes is closed, as its peer no longer reads.
constexpr std::size_t kMaxUnsentBytes = 32 << 20;

/// nullopt if `address.ip` is not an IPv4 address.
std::optional<sockaddr_in> ToSockaddr(const socket_address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr) != 1) {
    return std::nullopt;
  }
  return out;
}

/// The address as "ip:port".
std::string Authority(const socket_address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

void SetNoDelay(evutil_socket_t descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// The counters for messages of this kind.
peer_traffic& TrafficOf(peer_mesh_counters& counters,
                        const peer_message& message) {
  const bool is_query =
      std::holds_alternative<shard_query_message>(message) ||
      std::holds_alternative<shard_reply_message>(message) ||
      std::holds_alternative<hedge_started_message>(message) ||
      std::holds_alternative<shard_cancel_message>(message);
  return is_query ? counters.query : counters.control;
}

struct bufferevent_deleter {
  void operator()(bufferevent* stream) const { bufferevent_free(stream); }
};
using bufferevent_ptr = std::unique_ptr<bufferevent, bufferevent_deleter>;

}  // namespace

/// One TCP connection with its WebSocket session.
struct peer_connection {
  peer_mesh::impl* mesh = nullptr;
  /// Unique over the life of the mesh, unlike the object's address, which may
  /// be reused after the connection is removed.
  std::uint64_t serial = 0;
  bufferevent_ptr stream;
  std::unique_ptr<websocket_session> session;
  /// The peer; known from the start if Connect() opened the connection, from
  /// the peer's hello otherwise.
  std::optional<host_id> peer;
  bool outgoing = false;
  /// Whether the peer's hello was received and accepted.
  bool ready = false;
  /// When the outstanding ping was sent.
  std::optional<time_point> pinged_at;
  timer handshake_timer;
};

struct peer_mesh::impl {
  impl(event_loop& owner_loop, hybrid_clock& owner_clock)
      : loop(owner_loop), clock(owner_clock), context(kMaxPeerFrameBytes) {}
  ~impl() {
    if (listener != nullptr) {
      evconnlistener_free(listener);
    }
  }

  event_loop& loop;
  hybrid_clock& clock;
  websocket_context context;
  socket_address address;
  hello_provider hello;
  peer_mesh_callbacks callbacks;
  evconnlistener* listener = nullptr;
  peer_mesh_counters counters;
  /// All connections by serial.
  std::map<std::uint64_t, std::unique_ptr<peer_connection>> connections;
  std::uint64_t last_serial = 0;
  /// Serial of the connection checked last; the next round continues after it.
  std::uint64_t last_checked = 0;
  timer ping_timer;
  /// Ready connections by peer, in the order they became ready. Two hosts may
  /// connect to each other at once; both connections are kept and messages are
  /// sent on the first.
  std::map<host_id, std::vector<peer_connection*>> ready_by_host;

  peer_connection& AddConnection(bufferevent* stream,
                                 websocket_session::role local_role,
                                 const std::string& authority);
  /// Opens a connection; `host` is nullopt for a seed. No effect if the address
  /// is invalid.
  void Open(const socket_address& remote_address,
            const std::optional<host_id>& host);
  /// Checks the next kMaxChecksPerRound connections.
  void RunPingRound();
  /// Sends a ping, or closes the connection if the outstanding one timed out.
  void CheckLiveness(peer_connection& connection);
  void SendHello(peer_connection& connection);
  void OnMessage(peer_connection& connection, const std::string& bytes);
  /// Makes the connection ready, or closes it if the peer is of another
  /// organisation, is not the expected host or repeats its hello.
  void OnHello(peer_connection& connection, const hello_message& peer_hello);
  void Remove(std::uint64_t serial);
  /// Removes the connection in a later task of the loop, as its callbacks may
  /// still be running.
  void ScheduleRemoval(const peer_connection* connection);
  bool SendMessage(peer_connection& connection, const peer_message& message);
};

namespace {

void OnReadable(bufferevent* stream, void* argument) {
  auto* connection = static_cast<peer_connection*>(argument);
  evbuffer* input = bufferevent_get_input(stream);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  connection->session->Receive(bytes.data(), bytes.size());
}

void OnStreamEvent(bufferevent* stream, short what, void* argument) {
  auto* connection = static_cast<peer_connection*>(argument);
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    SetNoDelay(bufferevent_getfd(stream));
    connection->session->Start();
    return;
  }
  connection->mesh->ScheduleRemoval(connection);
}

void OnAccepted(evconnlistener* /*listener*/,
                evutil_socket_t descriptor,
                sockaddr* /*peer*/,
                int /*length*/,
                void* argument) {
  auto* mesh = static_cast<peer_mesh::impl*>(argument);
  SetNoDelay(descriptor);
  bufferevent* stream = bufferevent_socket_new(mesh->loop.base(), descriptor,
                                               BEV_OPT_CLOSE_ON_FREE);
  peer_connection& connection =
      mesh->AddConnection(stream, websocket_session::role::kServer, "");
  connection.session->Start();
}

/// A TCP socket bound to `local_ip`, so that peers see the address that this
/// host listens on. A negative value if no socket can be created.
evutil_socket_t OpenBoundSocket(const std::string& local_ip) {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto local = ToSockaddr({.ip = local_ip, .port = 0});
  if (descriptor >= 0 && local.has_value()) {
    const int on = 1;
    setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on,
               sizeof(on));
    // A failed bind is not an error: the kernel then picks the source address.
    [[maybe_unused]] const int bound = bind(
        descriptor, reinterpret_cast<const sockaddr*>(&*local), sizeof(*local));
  }
  return descriptor;
}

}  // namespace

peer_connection& peer_mesh::impl::AddConnection(
    bufferevent* stream,
    websocket_session::role local_role,
    const std::string& authority) {
  auto owned = std::make_unique<peer_connection>();
  peer_connection* connection = owned.get();
  connection->mesh = this;
  connection->stream.reset(stream);
  connection->outgoing = local_role == websocket_session::role::kClient;
  connection->session = websocket_session::Create(
      context, local_role, authority,
      {.write =
           [connection](const char* bytes, std::size_t size) {
             bufferevent_write(connection->stream.get(), bytes, size);
           },
       .on_open = [this, connection] { SendHello(*connection); },
       .on_message =
           [this, connection](const std::string& bytes) {
             OnMessage(*connection, bytes);
           },
       .on_pong = [connection] { connection->pinged_at.reset(); },
       .on_close = [this, connection] { ScheduleRemoval(connection); }});
  connection->handshake_timer =
      loop.RunAfter(kHandshakeTimeout, [this, connection] {
        if (!connection->ready) {
          ScheduleRemoval(connection);
        }
      });
  connection->serial = ++last_serial;
  connections.emplace(connection->serial, std::move(owned));
  bufferevent_setcb(stream, OnReadable, nullptr, OnStreamEvent, connection);
  bufferevent_enable(stream, EV_READ | EV_WRITE);
  return *connection;
}

void peer_mesh::impl::Open(const socket_address& remote_address,
                           const std::optional<host_id>& host) {
  const auto remote = ToSockaddr(remote_address);
  if (!remote.has_value()) {
    return;
  }
  bufferevent* stream = bufferevent_socket_new(
      loop.base(), OpenBoundSocket(address.ip), BEV_OPT_CLOSE_ON_FREE);
  peer_connection& connection = AddConnection(
      stream, websocket_session::role::kClient, Authority(remote_address));
  connection.peer = host;
  if (bufferevent_socket_connect(stream,
                                 reinterpret_cast<const sockaddr*>(&*remote),
                                 sizeof(*remote)) != 0) {
    ScheduleRemoval(&connection);
  }
}

void peer_mesh::impl::RunPingRound() {
  const std::size_t count = std::min(kMaxChecksPerRound, connections.size());
  for (std::size_t i = 0; i < count; ++i) {
    auto next = connections.upper_bound(last_checked);
    if (next == connections.end()) {
      next = connections.begin();
    }
    last_checked = next->first;
    CheckLiveness(*next->second);
  }
}

void peer_mesh::impl::CheckLiveness(peer_connection& connection) {
  const time_point now = loop.Now();
  if (!connection.ready) {
    return;
  }
  if (!connection.pinged_at.has_value()) {
    connection.pinged_at = now;
    connection.session->Ping();
  } else if (now - *connection.pinged_at > kPongTimeout) {
    ScheduleRemoval(&connection);
  }
}

void peer_mesh::impl::SendHello(peer_connection& connection) {
  SendMessage(connection, hello());
}

bool peer_mesh::impl::SendMessage(peer_connection& connection,
                                  const peer_message& message) {
  evbuffer* output = bufferevent_get_output(connection.stream.get());
  if (evbuffer_get_length(output) > kMaxUnsentBytes) {
    ScheduleRemoval(&connection);
    return false;
  }
  const hybrid_time now = clock.Tick(loop.SystemTimeMicros());
  const std::string bytes = EncodePeerFrame({.sent = now, .message = message});
  peer_traffic& traffic = TrafficOf(counters, message);
  ++traffic.messages_sent;
  traffic.bytes_sent += bytes.size();
  return connection.session->SendBinary(bytes);
}

void peer_mesh::impl::OnMessage(peer_connection& connection,
                                const std::string& bytes) {
  auto frame = DecodePeerFrame(bytes);
  if (!frame.has_value()) {
    ++counters.rejected_frames;
    ScheduleRemoval(&connection);
    return;
  }
  peer_traffic& traffic = TrafficOf(counters, frame.value().message);
  ++traffic.messages_received;
  traffic.bytes_received += bytes.size();
  clock.Observe(loop.SystemTimeMicros(), frame.value().sent);
  if (const auto* peer_hello =
          std::get_if<hello_message>(&frame.value().message)) {
    OnHello(connection, *peer_hello);
    return;
  }
  if (!connection.ready) {
    ++counters.rejected_frames;
    ScheduleRemoval(&connection);
    return;
  }
  callbacks.on_message(*connection.peer, std::move(frame.value().message));
}

void peer_mesh::impl::OnHello(peer_connection& connection,
                              const hello_message& peer_hello) {
  const bool wrong_peer = peer_hello.organisation != hello().organisation ||
                          (connection.peer.has_value() &&
                           *connection.peer != peer_hello.self.host.id);
  if (wrong_peer || connection.ready) {
    ScheduleRemoval(&connection);
    return;
  }
  connection.peer = peer_hello.self.host.id;
  connection.ready = true;
  ready_by_host[*connection.peer].push_back(&connection);
  callbacks.on_connected(*connection.peer, peer_hello);
}

void peer_mesh::impl::ScheduleRemoval(const peer_connection* connection) {
  loop.Post([this, serial = connection->serial] { Remove(serial); });
}

void peer_mesh::impl::Remove(std::uint64_t serial) {
  const auto found = connections.find(serial);
  if (found == connections.end()) {
    return;
  }
  const auto owned = std::move(found->second);
  connections.erase(found);
  if (!owned->ready) {
    return;
  }
  auto& ready = ready_by_host[*owned->peer];
  std::erase(ready, owned.get());
  if (ready.empty()) {
    ready_by_host.erase(*owned->peer);
    callbacks.on_disconnected(*owned->peer);
  }
}

peer_mesh::peer_mesh(std::unique_ptr<impl> state) : impl_(std::move(state)) {}
peer_mesh::~peer_mesh() = default;

result<std::unique_ptr<peer_mesh>> peer_mesh::Listen(
    event_loop& loop,
    const socket_address& address,
    hybrid_clock& clock,
    hello_provider hello,
    peer_mesh_callbacks callbacks) {
  auto state = std::make_unique<impl>(loop, clock);
  state->address = address;
  state->hello = std::move(hello);
  state->callbacks = std::move(callbacks);
  const auto local = ToSockaddr(address);
  if (local.has_value()) {
    state->listener = evconnlistener_new_bind(
        loop.base(), OnAccepted, state.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<const sockaddr*>(&*local), sizeof(*local));
  }
  if (state->listener == nullptr) {
    return failure{.outcome = verdict::kNotRun,
                   .reason = reason_code::kBadRequest,
                   .detail = "cannot listen on " + Authority(address)};
  }
  state->ping_timer = loop.RunEvery(
      kPingInterval, [mesh = state.get()] { mesh->RunPingRound(); });
  return std::unique_ptr<peer_mesh>(new peer_mesh(std::move(state)));
}

void peer_mesh::Connect(const host_id& host, const socket_address& address) {
  const bool exists = std::ranges::any_of(
      impl_->connections,
      [&host](const auto& entry) { return entry.second->peer == host; });
  if (!exists) {
    impl_->Open(address, host);
  }
}

void peer_mesh::ConnectToSeed(const socket_address& address) {
  impl_->Open(address, std::nullopt);
}

void peer_mesh::Disconnect(const host_id& host) {
  for (const auto& [serial, owned] : impl_->connections) {
    if (owned->peer == host) {
      impl_->ScheduleRemoval(owned.get());
    }
  }
}

bool peer_mesh::IsConnected(const host_id& host) const {
  return impl_->ready_by_host.contains(host);
}

bool peer_mesh::Send(const host_id& host, const peer_message& message) {
  const auto found = impl_->ready_by_host.find(host);
  if (found == impl_->ready_by_host.end()) {
    return false;
  }
  return impl_->SendMessage(*found->second.front(), message);
}

std::size_t peer_mesh::connected_hosts() const {
  return impl_->ready_by_host.size();
}

const peer_mesh_counters& peer_mesh::counters() const {
  return impl_->counters;
}

}  // namespace trefoilmill
