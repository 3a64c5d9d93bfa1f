/// Request limits that endpoints in need state in their responses.
///
/// A limit holds for the requests of all hosts together, for as long as the
/// endpoint's responses state it.
#ifndef TREFOILMILL_PROCESS_REQUEST_LIMITS_H_
#define TREFOILMILL_PROCESS_REQUEST_LIMITS_H_

#include <optional>
#include <unordered_map>

#include "trefoilmill/ids.h"
#include "trefoilmill/process/request_rate.h"

namespace trefoilmill {

/// The limits in force, as known to this host.
class request_limits {
 public:
  /// A response of the endpoint states `limit`, or none. Returns whether that
  /// differs from what was known.
  bool OnResponse(const endpoint_id& id, std::optional<request_rate> limit);
  /// Discards what is known of an endpoint that was removed or replaced.
  void Forget(const endpoint_id& id) { limits_.erase(id); }
  /// The limit in force; unset if the endpoint states none.
  std::optional<request_rate> LimitOf(const endpoint_id& id) const;

 private:
  std::unordered_map<endpoint_id, request_rate> limits_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_REQUEST_LIMITS_H_
