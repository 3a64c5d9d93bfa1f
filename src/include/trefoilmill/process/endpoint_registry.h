/// The endpoints that the platform announces, as this host believes them.
///
/// An entry that vanishes without a word of draining may have lapsed because
/// the platform's store could not hear the endpoint; such an endpoint registers
/// again within seconds of the store's return. It is therefore kept for a grace
/// time, during which it counts as doubtful.
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

/// What the platform says of one endpoint.
struct endpoint_record {
  endpoint_id id;
  service_id service;
  zone_id zone;
  socket_address address;
  /// Requests that it runs at once.
  int slots = 1;
  /// It takes no new work.
  bool draining = false;
  /// How much longer it stays cold, as of the announcement.
  duration cold_for{};
  /// Its process's start by its own clock, in milliseconds since 1970: tells
  /// two lives under one id apart.
  std::uint64_t started_ms = 0;
  friend bool operator==(const endpoint_record&,
                         const endpoint_record&) = default;
};

class endpoint_registry {
 public:
  /// What is held of one endpoint.
  struct entry {
    endpoint_record record;
    /// Cold until then, if the platform or an observer said so.
    std::optional<time_point> cold_until;
    /// The platform no longer announces it; forgotten at this time.
    std::optional<time_point> forget_at;
    /// Another endpoint answered at its address: gets nothing more.
    bool displaced = false;
  };

  /// @name What changed
  /// @{
  struct added {
    endpoint_id id;
  };
  /// Address or life changed: nothing learned before applies.
  struct replaced {
    endpoint_id id;
  };
  struct removed {
    endpoint_id id;
  };
  using change = std::variant<added, replaced, removed>;
  using changes = std::vector<change>;
  /// @}

  /// `forget_after`: how long a vanished entry is kept.
  explicit endpoint_registry(duration forget_after);

  /// The platform announces or updates an endpoint.
  changes Put(time_point now, const endpoint_record& record);
  /// The platform withdrew an endpoint. One that was draining goes at once.
  changes Withdraw(time_point now, const endpoint_id& id);
  /// The whole list was read: what it does not hold was withdrawn.
  changes Replace(time_point now, const std::vector<endpoint_record>& records);
  /// Another endpoint answered at this one's address. Sending there again
  /// would only load that one.
  void Displace(time_point now, const endpoint_id& id);
  /// Forgets entries whose grace time is over.
  changes Tick(time_point now);

  const entry* Find(const endpoint_id& id) const;
  /// Endpoints of a service, in the order of their ids.
  const std::set<endpoint_id>& OfService(const service_id& service) const;
  const std::map<endpoint_id, entry>& entries() const { return entries_; }

 private:
  void Drop(const endpoint_id& id, changes& out);

  duration forget_after_;
  std::map<endpoint_id, entry> entries_;
  std::map<service_id, std::set<endpoint_id>> services_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_ENDPOINT_REGISTRY_H_
