/// Conversions between socket_address and the addresses of the socket API.
#ifndef TREFOILMILL_LIBTMNET_SOCKET_ADDRESSES_H_
#define TREFOILMILL_LIBTMNET_SOCKET_ADDRESSES_H_

#include <netinet/in.h>

#include <optional>
#include <string>

#include "trefoilmill/ids.h"

namespace trefoilmill {

/// nullopt if `address.ip` is not an IPv4 address.
std::optional<sockaddr_in> ToSockaddr(const socket_address& address);

/// The address as "ip:port".
std::string Authority(const socket_address& address);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMNET_SOCKET_ADDRESSES_H_
