#include "trefoilmill_entry/peer_addresses.h"

#include <algorithm>
#include <variant>

namespace trefoilmill::entry {

void peer_addresses::Record(const host_record& host) {
  addresses_by_host_[host.id] = host.peer;
  hosts_by_address_[host.peer] = host.id;
}

void peer_addresses::RecordHostsIn(const peer_message& message) {
  const auto record = [this](const host_record& host) { Record(host); };
  std::visit(
      [&](const auto& m) {
        if constexpr (requires { m.self.host; }) {
          record(m.self.host);
        } else if constexpr (requires { m.updates; }) {
          std::ranges::for_each(m.updates, record, &member_update::host);
        }
      },
      message);
}

std::optional<socket_address> peer_addresses::AddressOf(
    const host_id& host) const {
  const auto found = addresses_by_host_.find(host);
  if (found == addresses_by_host_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<host_id> peer_addresses::HostAt(
    const socket_address& address) const {
  const auto found = hosts_by_address_.find(address);
  if (found == hosts_by_address_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace trefoilmill::entry
