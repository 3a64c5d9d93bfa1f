/// What other hosts did with a request before they handed it over.
#ifndef TREFOILMILL_REQUEST_EARLIER_ATTEMPTS_H_
#define TREFOILMILL_REQUEST_EARLIER_ATTEMPTS_H_

#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Endpoints of one service that a request was sent to, each once.
struct service_attempts {
  service_id service;
  std::vector<endpoint_id> endpoints;
  friend bool operator==(const service_attempts&,
                         const service_attempts&) = default;
};

/// All endpoints that a request was sent to; empty if it was sent to none. They
/// count towards the route's limit wherever the request runs next.
using earlier_attempts = std::vector<service_attempts>;

/// Whether a request that another host forwarded was passed on as soon as that
/// host had received it. `time_left` is what the host gave as the time until
/// the caller's deadline; `longest_wait` is the longest time that any request
/// of the route had until its answer was due.
///
/// Hosts of earlier versions do not say whether they sent a forwarded request
/// to endpoints. One that they sent is older than one that they just received,
/// but for those sent in the last moment.
bool IsJustReceived(duration time_left, duration longest_wait);

}  // namespace trefoilmill

#endif  // TREFOILMILL_REQUEST_EARLIER_ATTEMPTS_H_
