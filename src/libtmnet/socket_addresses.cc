#include "socket_addresses.h"

#include <arpa/inet.h>

namespace trefoilmill {

std::optional<sockaddr_in> ToSockaddr(const socket_address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr) != 1) {
    return std::nullopt;
  }
  return out;
}

std::string Authority(const socket_address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

}  // namespace trefoilmill
