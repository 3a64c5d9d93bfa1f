/// Messages between hosts as UDP datagrams, one message in each. Counts the
/// bytes in both directions.
#ifndef TREFOILMILL_ENTRY_PEER_DATAGRAMS_H_
#define TREFOILMILL_ENTRY_PEER_DATAGRAMS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/messages.h"
#include "trefoilmill/net/datagram_socket.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/verdict.h"
#include "trefoilmill_entry/peer_addresses.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// The datagram socket of this host. Messages may be lost without notice. Used
/// on the event loop's thread only.
class peer_datagrams {
 public:
  /// Called with each message from a host whose address is known. Addresses
  /// that the message itself states count.
  using message_callback =
      std::function<void(const host_id& from, const peer_message& message)>;

  /// Binds the UDP port of `address`; fails if that is not possible.
  static result<std::unique_ptr<peer_datagrams>> Bind(
      event_loop& loop,
      const socket_address& address,
      telemetry& process_telemetry,
      message_callback on_message);

  /// Records the address of a host, so that messages can be sent to it and are
  /// accepted from it.
  void RecordAddress(const host_record& host) { addresses_.Record(host); }
  const peer_addresses& addresses() const { return addresses_; }

  /// Sends to one host; drops the message if the host's address is not known.
  void Send(const host_id& to, const peer_message& message);
  /// Sends the same message to several hosts.
  void SendToAll(const std::vector<host_record>& hosts,
                 const peer_message& message);
  /// Introduces this host at addresses where any host may listen. The bytes are
  /// not counted.
  void SendHello(const std::vector<socket_address>& seeds,
                 const hello_message& hello);

 private:
  peer_datagrams(telemetry& process_telemetry, message_callback on_message);
  void SendFrame(const socket_address& to, const std::string& frame);
  void OnDatagram(const socket_address& from, const std::string& bytes);

  telemetry& telemetry_;
  message_callback on_message_;
  peer_addresses addresses_;
  std::unique_ptr<datagram_socket> socket_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_PEER_DATAGRAMS_H_
