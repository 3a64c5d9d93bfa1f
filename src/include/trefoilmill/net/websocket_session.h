/// WebSocket protocol over an arbitrary byte stream: received bytes become
/// messages and messages become bytes to write. Does no socket I/O itself.
/// This header must stay valid C++17, as its implementation is compiled as
/// such.
#ifndef TREFOILMILL_NET_WEBSOCKET_SESSION_H_
#define TREFOILMILL_NET_WEBSOCKET_SESSION_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace trefoilmill {

/// Configuration shared by the sessions of a process. Must outlive them.
class websocket_context {
 public:
  /// A session that receives a message of more than `max_message_bytes` bytes
  /// is closed.
  explicit websocket_context(std::size_t max_message_bytes);
  ~websocket_context();

  struct impl;
  impl& get() const { return *impl_; }

 private:
  std::unique_ptr<impl> impl_;
};

/// One end of a WebSocket connection. Not thread-safe.
class websocket_session {
 public:
  /// Role in the opening handshake.
  enum class role { kClient, kServer };

  /// Calls to the owner of the session; any of them may be empty.
  struct callbacks {
    /// Writes bytes to the peer; called from within Start(), Receive(),
    /// SendBinary() and Ping().
    std::function<void(const char* bytes, std::size_t size)> write;
    /// The handshake is complete.
    std::function<void()> on_open;
    std::function<void(const std::string& message)> on_message;
    /// The peer answered a Ping().
    std::function<void()> on_pong;
    /// The handshake failed or the connection was closed; the session can no
    /// longer be used. Called at most once.
    std::function<void()> on_close;
  };

  /// `authority` is the server's "ip:port", used in the client's handshake.
  /// nullptr if it does not form a valid URI.
  static std::unique_ptr<websocket_session> Create(websocket_context& context,
                                                   role local_role,
                                                   const std::string& authority,
                                                   callbacks handlers);
  /// Makes no calls to the owner.
  ~websocket_session();

  /// Begins the handshake.
  void Start();
  /// Processes bytes received from the peer.
  void Receive(const char* bytes, std::size_t size);
  /// Reports the end of the underlying stream to the session.
  void HandleEndOfStream();
  /// Sends one binary message; false if the session is not open or rejects the
  /// message.
  bool SendBinary(std::string_view message);
  /// Sends a ping frame, which the peer's session answers by itself. No effect
  /// if the session is not open.
  void Ping();

 private:
  struct impl;
  explicit websocket_session(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_NET_WEBSOCKET_SESSION_H_
