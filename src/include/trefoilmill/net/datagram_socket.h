/// A UDP socket on the loop, for small messages between hosts that may be lost.
#ifndef TREFOILMILL_NET_DATAGRAM_SOCKET_H_
#define TREFOILMILL_NET_DATAGRAM_SOCKET_H_

#include <functional>
#include <memory>
#include <string>

#include "trefoilmill/ids.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

class datagram_socket {
 public:
  using on_datagram =
      std::function<void(const socket_address& from, std::string bytes)>;

  static result<std::unique_ptr<datagram_socket>>
  Bind(event_loop& loop, const socket_address& address, on_datagram received);
  ~datagram_socket();
  datagram_socket(const datagram_socket&) = delete;
  datagram_socket& operator=(const datagram_socket&) = delete;

  /// Sends at once or not at all; false if the kernel did not take it.
  bool Send(const socket_address& to, const std::string& bytes);

 private:
  struct impl;
  explicit datagram_socket(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_NET_DATAGRAM_SOCKET_H_
