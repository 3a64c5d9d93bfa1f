/// Selects the hosts that a caller connects to in deployments without a load
/// balancer in front of the hosts.
#ifndef TREFOILMILL_ENTRY_LIST_H_
#define TREFOILMILL_ENTRY_LIST_H_

#include <set>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// The hosts assigned to one caller.
struct entry_list {
  /// In the order in which the caller should try them; the first is preferred.
  std::vector<host_record> hosts;
  /// How long the caller may cache the list.
  duration ttl{};
};

/// Distributes callers evenly over hosts by rendezvous hashing of caller and
/// host, so a caller's order changes only where hosts are added or removed.
/// Returns at most `config.count` hosts, but at least one if any is given.
/// `live` are the hosts that accept new work; those in `zones_out` are
/// excluded. To avoid an empty list, falls back to all of `live` and then to
/// `leaving`, the hosts that are shutting down but still answer.
entry_list BuildEntryList(const std::vector<host_record>& live,
                          const std::vector<host_record>& leaving,
                          const std::set<zone_id>& zones_out,
                          const caller_id& caller,
                          const entries_config& config);

}  // namespace trefoilmill

#endif  // TREFOILMILL_ENTRY_LIST_H_
