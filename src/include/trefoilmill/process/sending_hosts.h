/// Who sends to endpoints: the divisor of what all hosts may do together.
#ifndef TREFOILMILL_PROCESS_SENDING_HOSTS_H_
#define TREFOILMILL_PROCESS_SENDING_HOSTS_H_

#include <cstddef>

namespace trefoilmill {

/// As one host sees them. Hosts that died lately still count: a host that was
/// cut off may be sending.
struct sending_hosts {
  /// Hosts that callers are told of.
  std::size_t named = 1;
  /// Further hosts, which few callers use.
  std::size_t standing_by = 0;
  /// Whether this host is one of the named.
  bool is_named = true;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_SENDING_HOSTS_H_
