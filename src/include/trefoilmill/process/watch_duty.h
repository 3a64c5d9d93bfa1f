/// Which hosts watch the platform's store, so that calls to it do not grow with
/// the fleet: a few in each availability zone, chosen by rendezvous hashing.
/// They feed the others. While no feed arrives from a host that reaches the
/// store, the others begin to watch and feed one after the other, in the order
/// of the same hashing.
///
/// Answers the load patterns "store turns some hosts away" and "watchers die",
/// at a price per call.
#ifndef TREFOILMILL_PROCESS_WATCH_DUTY_H_
#define TREFOILMILL_PROCESS_WATCH_DUTY_H_

#include <cstddef>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

class watch_duty {
 public:
  struct config {
    /// Hosts of one zone that watch.
    std::size_t watchers = 2;
    /// How long the first of the others goes without a feed before it watches.
    duration patience = std::chrono::milliseconds(1000);
    /// How much longer each further one does.
    duration patience_step = std::chrono::milliseconds(150);
    /// The longest that any does.
    duration most_patience = std::chrono::milliseconds(2200);
  };

  watch_duty(host_id self, const config& settings, time_point now);

  /// The live hosts of this host's zone, with or without itself.
  void SetZoneHosts(const std::vector<host_id>& hosts);
  /// A feed arrived from a host that reaches the store.
  void OnFreshFeed(time_point now);

  /// Whether this host watches in any case.
  bool is_chosen() const { return chosen_; }
  /// Whether this host is to watch now.
  bool MustWatch(time_point now) const;

 private:
  host_id self_;
  config config_;
  duration patience_;
  time_point last_feed_;
  bool chosen_ = true;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_WATCH_DUTY_H_
