/// The addresses that hosts send their datagrams from.
#ifndef TREFOILMILL_ENTRY_PEER_ADDRESSES_H_
#define TREFOILMILL_ENTRY_PEER_ADDRESSES_H_

#include <map>
#include <optional>

#include "trefoilmill/deployment.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/messages.h"

namespace trefoilmill::entry {

/// Finds a host's address and the host at an address. Nothing is forgotten: a
/// host that is thought dead may still send.
class peer_addresses {
 public:
  /// Records where `host` listens for its peers.
  void Record(const host_record& host);
  /// Records all hosts that a message describes. A host that starts while the
  /// store is unreachable learns its peers' addresses only from their messages.
  void RecordHostsIn(const peer_message& message);

  /// The address of a host; nullopt if it is not known.
  std::optional<socket_address> AddressOf(const host_id& host) const;
  /// The host at an address; nullopt if it is not known.
  std::optional<host_id> HostAt(const socket_address& address) const;

 private:
  std::map<host_id, socket_address> addresses_by_host_;
  std::map<socket_address, host_id> hosts_by_address_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_PEER_ADDRESSES_H_
