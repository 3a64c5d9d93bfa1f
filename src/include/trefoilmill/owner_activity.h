/// Tracks when this entry last received a message from each owner. Detects a
/// hung or partitioned owner long before membership declares it dead.
#ifndef TREFOILMILL_OWNER_ACTIVITY_H_
#define TREFOILMILL_OWNER_ACTIVITY_H_

#include <map>
#include <optional>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Per-owner send and receive times. No operation fails with an error.
class owner_activity {
 public:
  /// Records that sub-requests are sent to `owner`.
  void OnSent(time_point now, const host_id& owner);
  /// Records that a message about sub-requests arrived from `owner`.
  void OnReceived(time_point now, const host_id& owner);

  /// Whether no message from `owner` has arrived at or after `sent`.
  bool NothingReceivedSince(const host_id& owner, time_point sent) const;
  /// Whether sub-requests sent to `owner` have gone unanswered for more than
  /// 200 ms; other owners should then be preferred.
  bool IsUnresponsive(time_point now, const host_id& owner) const;

 private:
  struct contact {
    std::optional<time_point> last_received;
    /// The first send after `last_received`.
    std::optional<time_point> unanswered_since;
  };

  std::map<host_id, contact> contacts_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_OWNER_ACTIVITY_H_
