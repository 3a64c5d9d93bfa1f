/// One TCP connection to another host, with the WebSocket session on it. Used
/// by peer_mesh, which decides which connections there are and what is sent on
/// them.
#ifndef TREFOILMILL_LIBTMNET_PEER_CONNECTION_H_
#define TREFOILMILL_LIBTMNET_PEER_CONNECTION_H_

#include <event2/bufferevent.h>
#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "trefoilmill/ids.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/websocket_session.h"

namespace trefoilmill {

/// A TCP socket bound to `local_ip`, so that peers see the address that this
/// host listens on. A negative value if no socket can be created.
evutil_socket_t OpenBoundSocket(const std::string& local_ip);

/// Reports what happens and never ends by itself: its owner has to destroy it
/// in a later task of the loop, as its callbacks may still be running.
class peer_connection {
 public:
  /// Calls to the owner. All are required.
  struct callbacks {
    /// The session is open: hello is to be sent.
    std::function<void(peer_connection&)> on_open;
    std::function<void(peer_connection&, const std::string& bytes)> on_message;
    /// The connection is of no more use. May be called several times.
    std::function<void(const peer_connection&)> on_lost;
  };
  /// What a connection is made of.
  struct origin {
    /// Unique over the life of the mesh, unlike the object's address, which may
    /// be reused after the connection is removed.
    std::uint64_t serial = 0;
    /// The TCP socket, which the connection takes over.
    evutil_socket_t descriptor = -1;
    websocket_session::role local_role = websocket_session::role::kClient;
    /// The server's "ip:port"; empty in the server's own role.
    std::string authority;
  };

  peer_connection(event_loop& loop,
                  websocket_context& context,
                  const origin& from,
                  callbacks on_event);

  /// Opens the TCP connection, then begins the session.
  void Connect(const sockaddr_in& remote);
  /// Begins the session on a TCP connection that is open.
  void StartSession();
  /// Sends one message; false if the session is not open.
  bool Send(const std::string& bytes);
  /// Whether so many bytes are unsent that the peer apparently no longer reads.
  bool is_congested() const;
  /// Pings the peer, or reports the connection as lost if the outstanding ping
  /// timed out. No effect before the connection is ready.
  void CheckLiveness(time_point now);

  std::uint64_t serial() const { return serial_; }
  /// The peer; nullopt until its hello if that is to tell which host it is.
  const std::optional<host_id>& peer() const { return peer_; }
  /// Sets which host has to answer.
  void ExpectPeer(const std::optional<host_id>& host) { peer_ = host; }
  /// Whether the peer's hello was received and accepted.
  bool is_ready() const { return ready_; }
  /// The hello of `host` was accepted.
  void MarkReady(const host_id& host);

 private:
  struct bufferevent_deleter {
    void operator()(bufferevent* stream) const { bufferevent_free(stream); }
  };

  static void OnReadable(bufferevent* stream, void* argument);
  static void OnStreamEvent(bufferevent* stream, short what, void* argument);
  websocket_session::callbacks SessionCallbacks();

  std::uint64_t serial_;
  callbacks callbacks_;
  std::unique_ptr<bufferevent, bufferevent_deleter> stream_;
  std::unique_ptr<websocket_session> session_;
  std::optional<host_id> peer_;
  bool ready_ = false;
  /// When the outstanding ping was sent.
  std::optional<time_point> pinged_at_;
  timer handshake_timer_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMNET_PEER_CONNECTION_H_
