/// Number of hosts that send to endpoints, by which the limits that all hosts
/// have in common are divided.
#ifndef TREFOILMILL_PROCESS_SENDING_HOSTS_H_
#define TREFOILMILL_PROCESS_SENDING_HOSTS_H_

#include <cstddef>

namespace trefoilmill {

/// The hosts that may be sending, in the view of one host. Hosts that died
/// recently are included, because a partitioned host may still be sending.
struct sending_hosts {
  /// Number of hosts that are advertised to callers.
  std::size_t advertised = 1;
  /// Number of standby hosts: not advertised, and used by few callers.
  std::size_t standby = 0;
  /// Whether this host is advertised to callers.
  bool is_advertised = true;
  friend bool operator==(const sending_hosts&, const sending_hosts&) = default;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_SENDING_HOSTS_H_
