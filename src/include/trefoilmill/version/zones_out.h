/// Availability zones that operators took out of service, as the store lists
/// them.
///
/// A store that is restored from an older copy may lack a recent order until
/// the operator has written it again. Sending to such a zone meanwhile would
/// break the order, so it stays out for a while. An order that the copy shows
/// again although it was withdrawn counts until it is withdrawn again.
#ifndef TREFOILMILL_VERSION_ZONES_OUT_H_
#define TREFOILMILL_VERSION_ZONES_OUT_H_

#include <map>
#include <set>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

class zones_out {
 public:
  /// Sets the zones that the store lists in `era`. If the era is later than
  /// before, zones that are no longer listed stay out for `kRetention`.
  void Replace(time_point now, store_era era, std::set<zone_id> listed);
  /// The zones that get no requests at present.
  std::set<zone_id> InEffect(time_point now) const;

  /// How long an order that the restored store lacks stays in effect: by then
  /// the operator has written it again.
  static constexpr duration kRetention = std::chrono::seconds(5);

 private:
  store_era era_;
  std::set<zone_id> listed_;
  /// Zones that the restored store lacks, and until when they stay out.
  std::map<zone_id, time_point> retained_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_ZONES_OUT_H_
