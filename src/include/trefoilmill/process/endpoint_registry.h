/// Registry of the endpoints that the platform announces, as known to this
/// host.
///
/// An entry that disappears from the platform's store without having been
/// marked as draining may have expired only because the store was unreachable
/// for the endpoint; such an endpoint registers again within seconds of the
/// store's return. The registry therefore keeps a withdrawn entry for a grace
/// period before removing it; endpoint selection gives such an endpoint a
/// higher cost meanwhile.
#ifndef TREFOILMILL_PROCESS_ENDPOINT_REGISTRY_H_
#define TREFOILMILL_PROCESS_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// The platform's announcement of one endpoint.
struct endpoint_record {
  endpoint_id id;
  service_id service;
  zone_id zone;
  socket_address address;
  /// Number of requests that the endpoint runs concurrently.
  int slots = 1;
  /// The endpoint accepts no new requests.
  bool draining = false;
  /// Remaining warm-up time at the time of the announcement; zero if warm.
  duration cold_for{};
  /// Start time of the endpoint's process by its own clock, in milliseconds
  /// since 1970. Distinguishes two instances that use the same id.
  std::uint64_t started_ms = 0;
  /// Empty if the platform does not state it.
  software_version software;
  friend bool operator==(const endpoint_record&,
                         const endpoint_record&) = default;
};

/// Stores the announced endpoints and reports each change to the caller.
class endpoint_registry {
 public:
  /// State of one registered endpoint.
  struct entry {
    endpoint_record record;
    /// End of the announced warm-up time; unset if the endpoint was warm.
    std::optional<time_point> cold_until;
    /// Set if the endpoint was withdrawn or its address reused: when
    /// RemoveExpired() removes it.
    std::optional<time_point> remove_at;
    /// A different endpoint answered at this address, so that no requests may
    /// be sent to it.
    bool address_reused = false;
  };

  /// @name Changes to the set of endpoints
  /// @{

  /// A new endpoint was registered.
  struct added {
    endpoint_id id;
  };
  /// The endpoint's address, service or instance changed; statistics collected
  /// for the previous one no longer apply.
  struct replaced {
    endpoint_id id;
  };
  /// The endpoint was removed.
  struct removed {
    endpoint_id id;
  };
  using change = std::variant<added, replaced, removed>;
  using changes = std::vector<change>;
  /// @}

  /// Keeps a withdrawn entry for `grace_period` before removing it.
  explicit endpoint_registry(duration grace_period);

  /// Adds or updates an endpoint that the platform announced. An instance that
  /// was draining stays so whatever a later announcement of it says, as that
  /// may be delayed or come from a restored store.
  changes Put(time_point now, const endpoint_record& record);
  /// Handles the withdrawal of an endpoint by the platform. A draining endpoint
  /// is removed immediately, any other one after the grace period. An unknown
  /// id is ignored.
  changes Withdraw(time_point now, const endpoint_id& id);
  /// Applies the platform's complete list: puts each record and withdraws every
  /// endpoint that is not in the list.
  changes ReplaceAll(time_point now,
                     const std::vector<endpoint_record>& records);
  /// Handles the case that a different endpoint answered at the address of
  /// `id`. Further requests to this address would only add load to that
  /// endpoint, so the entry is removed at the next RemoveExpired(). An unknown
  /// id is ignored.
  void MarkAddressReused(time_point now, const endpoint_id& id);
  /// The endpoint itself said that it is leaving, to this host or to another:
  /// the instance that started at `started_ms` counts as draining from now on.
  /// Returns whether that is news.
  bool MarkLeaving(const endpoint_id& id, std::uint64_t started_ms);
  /// Removes the entries whose removal time has come.
  changes RemoveExpired(time_point now);

  /// Whether the instance of `id` that started at `started_ms` is gone without
  /// having been draining: its entry lapsed, or another instance has its id or
  /// its address.
  bool HasEnded(const endpoint_id& id, std::uint64_t started_ms) const;
  /// The entry of an endpoint; nullptr if the id is unknown.
  const entry* Find(const endpoint_id& id) const;
  /// Endpoints of a service, ordered by id; empty if the service is unknown.
  const std::set<endpoint_id>& EndpointsOf(const service_id& service) const;
  const std::map<endpoint_id, entry>& entries() const { return entries_; }

 private:
  /// Removes an endpoint, which must exist, and appends the change to `out`.
  void Remove(time_point now, const endpoint_id& id, changes& out);
  /// Whether this instance was removed after it had begun to drain.
  bool HasDeparted(const endpoint_record& record) const;

  /// An instance that drained and was removed.
  struct departure {
    std::uint64_t started_ms = 0;
    time_point forget_at;
  };

  duration grace_period_;
  std::map<endpoint_id, departure> departures_;
  std::map<endpoint_id, entry> entries_;
  std::map<service_id, std::set<endpoint_id>> services_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_ENDPOINT_REGISTRY_H_
