/// WebSocket connections between hosts: one usable connection to each peer,
/// opened by either side. Carries messages and reports when peers connect and
/// disconnect; it never reconnects or resends by itself.
#ifndef TREFOILMILL_NET_PEER_MESH_H_
#define TREFOILMILL_NET_PEER_MESH_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "trefoilmill/ids.h"
#include "trefoilmill/messages.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/timeline.h"

namespace trefoilmill {

/// Callbacks of a mesh. All are required and called from the loop.
struct peer_mesh_callbacks {
  /// A connection to `host` is ready for use; `hello` is its first message.
  /// Called for each connection, so also while `host` has another one.
  std::function<void(const host_id& host, const hello_message& hello)>
      on_connected;
  /// The last connection to `host` is closed; messages sent on it may be lost.
  std::function<void(const host_id& host)> on_disconnected;
  /// Any message other than hello.
  std::function<void(const host_id& host, peer_message message)> on_message;
};

/// Messages and bytes of encoded messages since the start.
struct peer_traffic {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
};

/// Totals of a mesh since the start, over all peers.
struct peer_mesh_counters {
  /// Shard queries, their replies, cancellations and hedge notices.
  peer_traffic query;
  /// All other messages: hello, membership, documents, store and endpoint
  /// reports.
  peer_traffic control;
  /// Frames that could not be decoded or arrived before hello; each closes its
  /// connection.
  std::uint64_t rejected_frames = 0;
};

/// Listener and connections of one host. Must not outlive its loop.
class peer_mesh {
 public:
  /// Returns the hello message that describes this host; called for each new
  /// connection.
  using hello_provider = std::function<hello_message()>;

  /// Listens on `address`, whose IP is also the source address of outgoing
  /// connections. `clock` must outlive the mesh. Fails with kBadRequest if the
  /// address is invalid or cannot be listened on.
  static result<std::unique_ptr<peer_mesh>> Listen(
      event_loop& loop,
      const socket_address& address,
      hybrid_clock& clock,
      hello_provider hello,
      peer_mesh_callbacks callbacks);
  ~peer_mesh();

  /// Opens a connection to `host` unless one is open or being opened.
  void Connect(const host_id& host, const socket_address& address);
  /// Opens a connection to `address`; hello tells which host listens there.
  void ConnectToSeed(const socket_address& address);
  /// Closes every connection to `host`.
  void Disconnect(const host_id& host);
  /// Whether a connection to `host` is ready for use.
  bool IsConnected(const host_id& host) const;
  /// False if there is no connection to `host`, or if it is closed because of
  /// too many unsent bytes; true does not imply delivery.
  bool Send(const host_id& host, const peer_message& message);

  /// Number of hosts with a connection that is ready for use.
  std::size_t connected_hosts() const;
  const peer_mesh_counters& counters() const;

  struct impl;

 private:
  explicit peer_mesh(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_NET_PEER_MESH_H_
