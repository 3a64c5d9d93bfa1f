/// Organisations that share a deployment: their keys, urgency and quotas.
#ifndef TREFOILMILL_VERSION_ORGANISATION_H_
#define TREFOILMILL_VERSION_ORGANISATION_H_

#include <string>
#include <vector>

#include "trefoilmill/ids.h"

namespace trefoilmill {

/// Requests that an organisation may run, over all hosts together: in any time
/// t, `rate_per_s` x t + `burst`.
struct request_quota {
  /// Zero means that there is no limit.
  double rate_per_s = 0;
  double burst = 0;

  bool is_limited() const { return rate_per_s > 0; }
  friend bool operator==(const request_quota&, const request_quota&) = default;
};

/// One of the organisations whose callers use the deployment.
struct organisation {
  organisation_id id;
  /// Secrets that identify its callers. They do not leave the process.
  std::vector<std::string> keys;
  /// 0 is the most urgent; it goes before that of the route.
  int priority = 0;
  request_quota quota;
  friend bool operator==(const organisation&, const organisation&) = default;
};

/// Whose request it is.
struct request_owner {
  /// Empty if the request belongs to no organisation.
  organisation_id id;
  /// Priority of the organisation.
  int priority = 0;
};

/// Urgency of a request: the organisation's first, then the route's.
struct request_priority {
  int organisation = 0;
  int route = 0;

  bool IsMostUrgent() const { return organisation == 0 && route == 0; }
  friend auto operator<=>(const request_priority&,
                          const request_priority&) = default;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_ORGANISATION_H_
