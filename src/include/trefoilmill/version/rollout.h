/// Orders of the operator to move a service's traffic to endpoints that run
/// another version of their software.
#ifndef TREFOILMILL_VERSION_ROLLOUT_H_
#define TREFOILMILL_VERSION_ROLLOUT_H_

#include <optional>
#include <string_view>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// An order as the operator writes it. A service has one at most.
struct rollout_order {
  service_id service;
  /// The version that the traffic is to be moved to.
  software_version target;
  /// From the order until the roll-out must be completed or rolled back.
  duration length{};
  friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

/// What the system writes into the store about a roll-out.
enum class rollout_state {
  kRunning,
  kCompleted,   ///< All traffic goes to the target; the old endpoints stop.
  kRolledBack,  ///< All traffic stays where it was.
};

/// Returns "running", "completed" or "rolled_back".
std::string_view ToString(rollout_state state);

/// Whether the state stays for good.
constexpr bool IsFinal(rollout_state state) {
  return state != rollout_state::kRunning;
}

/// An order in the store.
struct rollout_record {
  rollout_order order;
  /// Unset until a host has written a state for this target.
  std::optional<rollout_state> state;
  /// Revision of the stored object, on which writes are conditional.
  revision at;
  friend bool operator==(const rollout_record&,
                         const rollout_record&) = default;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_ROLLOUT_H_
