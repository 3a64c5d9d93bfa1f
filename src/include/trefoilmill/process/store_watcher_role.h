/// Selects the hosts that watch the platform's store, so that the number of
/// calls to the store does not grow with the number of hosts: one or a few
/// designated watchers in each availability zone, selected by rendezvous
/// hashing.
///
/// The watchers forward changes to the other hosts in feeds. If a host receives
/// no feed from a host that reaches the store, it starts to watch and forward,
/// too. The hosts do so one after another, in the order of the same hashing.
///
/// This covers a store that rejects some of the hosts, and the loss of
/// watchers, at the cost of additional calls to the store.
#ifndef TREFOILMILL_PROCESS_STORE_WATCHER_ROLE_H_
#define TREFOILMILL_PROCESS_STORE_WATCHER_ROLE_H_

#include <cstddef>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Decides whether one host watches the store.
class store_watcher_role {
 public:
  /// Settings of the watcher selection.
  struct config {
    /// Designated watchers of all zones together, at least; every zone has one.
    /// Zones hear of each other's revisions, so that the loss of one zone's
    /// watcher is noticed even before another host of the zone takes over.
    std::size_t min_watchers = 4;
    /// Designated watchers of one zone, at most.
    std::size_t max_watchers_per_zone = 2;
    /// Time without a feed after which the first host that is not designated
    /// starts to watch.
    duration takeover_delay = std::chrono::milliseconds(1000);
    /// Additional delay of each further host in the order of the hashing.
    duration takeover_step = std::chrono::milliseconds(150);
    /// Upper limit of the delay of any host.
    duration max_takeover_delay = std::chrono::milliseconds(2200);
  };

  /// `now` counts as the time of the first feed. The host is designated until
  /// SetZoneHosts() is called.
  store_watcher_role(host_id self, const config& settings, time_point now);

  /// Sets the live hosts of this host's zone, which may or may not include this
  /// host, and the number of zones that have hosts.
  void SetZoneHosts(const std::vector<host_id>& hosts, std::size_t zones);
  /// A feed arrived from a host that currently reaches the store.
  void OnStoreFeed(time_point now);

  /// Whether this host is a designated watcher, which always watches.
  bool is_designated() const { return is_designated_; }
  /// Whether this host has to watch now, as a designated watcher or because no
  /// feed arrived in time.
  bool ShouldWatch(time_point now) const;

 private:
  host_id self_;
  config config_;
  duration takeover_delay_;
  time_point last_feed_;
  bool is_designated_ = true;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_STORE_WATCHER_ROLE_H_
