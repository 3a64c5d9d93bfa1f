#include "trefoilmill/net/peer_mesh.h"

#include <event2/listener.h>
#include <sys/socket.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peer_connection.h"
#include "socket_addresses.h"
#include "trefoilmill/net/websocket_session.h"
#include "trefoilmill/wire/peer_codec.h"

namespace trefoilmill {
namespace {

/// Interval between rounds of keepalive pings.
constexpr duration kPingInterval = std::chrono::seconds(1);
/// Connections that one round pings or checks for a pong, in rotation.
constexpr std::size_t kMaxChecksPerRound = 50;

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

}  // namespace

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

  peer_connection& AddConnection(evutil_socket_t descriptor,
                                 websocket_session::role local_role,
                                 const std::string& authority);
  /// Opens a connection; `host` is nullopt for a seed. No effect if the address
  /// is invalid.
  void Open(const socket_address& remote_address,
            const std::optional<host_id>& host);
  /// Checks the next kMaxChecksPerRound connections.
  void RunPingRound();
  void OnMessage(peer_connection& connection, const std::string& bytes);
  /// Makes the connection ready, or closes it if the peer is of another
  /// organisation, is not the expected host or repeats its hello.
  void OnHello(peer_connection& connection, const hello_message& peer_hello);
  void Remove(std::uint64_t serial);
  /// Removes the connection in a later task of the loop, as its callbacks may
  /// still be running.
  void ScheduleRemoval(const peer_connection& connection);
  bool SendMessage(peer_connection& connection, const peer_message& message);
};

namespace {

void OnAccepted(evconnlistener* /*listener*/,
                evutil_socket_t descriptor,
                sockaddr* /*peer*/,
                int /*length*/,
                void* argument) {
  auto* mesh = static_cast<peer_mesh::impl*>(argument);
  mesh->AddConnection(descriptor, websocket_session::role::kServer, "")
      .StartSession();
}

}  // namespace

peer_connection& peer_mesh::impl::AddConnection(
    evutil_socket_t descriptor,
    websocket_session::role local_role,
    const std::string& authority) {
  auto owned = std::make_unique<peer_connection>(
      loop, context,
      peer_connection::origin{.serial = ++last_serial,
                              .descriptor = descriptor,
                              .local_role = local_role,
                              .authority = authority},
      peer_connection::callbacks{
          .on_open =
              [this](peer_connection& connection) {
                SendMessage(connection, hello());
              },
          .on_message =
              [this](peer_connection& connection, const std::string& bytes) {
                OnMessage(connection, bytes);
              },
          .on_lost =
              [this](const peer_connection& connection) {
                ScheduleRemoval(connection);
              }});
  peer_connection& connection = *owned;
  connections.emplace(connection.serial(), std::move(owned));
  return connection;
}

void peer_mesh::impl::Open(const socket_address& remote_address,
                           const std::optional<host_id>& host) {
  const auto remote = ToSockaddr(remote_address);
  if (!remote.has_value()) {
    return;
  }
  peer_connection& connection = AddConnection(OpenBoundSocket(address.ip),
                                              websocket_session::role::kClient,
                                              Authority(remote_address));
  connection.ExpectPeer(host);
  connection.Connect(*remote);
}

void peer_mesh::impl::RunPingRound() {
  const std::size_t count = std::min(kMaxChecksPerRound, connections.size());
  for (std::size_t i = 0; i < count; ++i) {
    auto next = connections.upper_bound(last_checked);
    if (next == connections.end()) {
      next = connections.begin();
    }
    last_checked = next->first;
    next->second->CheckLiveness(loop.Now());
  }
}

bool peer_mesh::impl::SendMessage(peer_connection& connection,
                                  const peer_message& message) {
  if (connection.is_congested()) {
    ScheduleRemoval(connection);
    return false;
  }
  const hybrid_time now = clock.Tick(loop.SystemTimeMicros());
  const std::string bytes = EncodePeerFrame({.sent = now, .message = message});
  peer_traffic& traffic = TrafficOf(counters, message);
  ++traffic.messages_sent;
  traffic.bytes_sent += bytes.size();
  return connection.Send(bytes);
}

void peer_mesh::impl::OnMessage(peer_connection& connection,
                                const std::string& bytes) {
  auto frame = DecodePeerFrame(bytes);
  if (!frame.has_value()) {
    ++counters.rejected_frames;
    ScheduleRemoval(connection);
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
  if (!connection.is_ready()) {
    ++counters.rejected_frames;
    ScheduleRemoval(connection);
    return;
  }
  callbacks.on_message(*connection.peer(), std::move(frame.value().message));
}

void peer_mesh::impl::OnHello(peer_connection& connection,
                              const hello_message& peer_hello) {
  const host_id& peer = peer_hello.self.host.id;
  const bool wrong_peer =
      peer_hello.organisation != hello().organisation ||
      (connection.peer().has_value() && *connection.peer() != peer);
  if (wrong_peer || connection.is_ready()) {
    ScheduleRemoval(connection);
    return;
  }
  connection.MarkReady(peer);
  ready_by_host[peer].push_back(&connection);
  callbacks.on_connected(peer, peer_hello);
}

void peer_mesh::impl::ScheduleRemoval(const peer_connection& connection) {
  loop.Post([this, serial = connection.serial()] { Remove(serial); });
}

void peer_mesh::impl::Remove(std::uint64_t serial) {
  const auto found = connections.find(serial);
  if (found == connections.end()) {
    return;
  }
  const auto owned = std::move(found->second);
  connections.erase(found);
  if (!owned->is_ready()) {
    return;
  }
  auto& ready = ready_by_host[*owned->peer()];
  std::erase(ready, owned.get());
  if (ready.empty()) {
    ready_by_host.erase(*owned->peer());
    callbacks.on_disconnected(*owned->peer());
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
      [&host](const auto& entry) { return entry.second->peer() == host; });
  if (!exists) {
    impl_->Open(address, host);
  }
}

void peer_mesh::ConnectToSeed(const socket_address& address) {
  impl_->Open(address, std::nullopt);
}

void peer_mesh::Disconnect(const host_id& host) {
  for (const auto& [serial, owned] : impl_->connections) {
    if (owned->peer() == host) {
      impl_->ScheduleRemoval(*owned);
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
