/// UDP socket (IPv4) for small messages between hosts that tolerate loss.
#ifndef TREFOILMILL_NET_DATAGRAM_SOCKET_H_
#define TREFOILMILL_NET_DATAGRAM_SOCKET_H_

#include <functional>
#include <memory>
#include <string>

#include "trefoilmill/ids.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// A bound, non-blocking UDP socket on an event loop. Must not outlive its
/// loop.
class datagram_socket {
 public:
  /// Called from the loop with the sender and the payload of a datagram.
  using receive_callback =
      std::function<void(const socket_address& from, std::string payload)>;

  /// Binds to `address`. Fails with kConnectionRefused if the socket cannot be
  /// created or bound.
  static result<std::unique_ptr<datagram_socket>> Bind(
      event_loop& loop,
      const socket_address& address,
      receive_callback on_receive);
  ~datagram_socket();
  datagram_socket(const datagram_socket&) = delete;
  datagram_socket& operator=(const datagram_socket&) = delete;

  /// Sends one datagram without blocking or queueing; false if the kernel did
  /// not accept it. True does not imply delivery.
  bool Send(const socket_address& to, const std::string& payload);

 private:
  struct impl;
  explicit datagram_socket(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_NET_DATAGRAM_SOCKET_H_
