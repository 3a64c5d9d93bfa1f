/// Sub-requests that wait for a free connection to any endpoint of a service.
///
/// Under overload most of what waits would be late by the time it is sent. Work
/// that can still be answered within its objective therefore goes first: a
/// queue in order of arrival would make every answer late as soon as its first
/// element is.
#ifndef TREFOILMILL_PROCESS_CAPACITY_QUEUE_H_
#define TREFOILMILL_PROCESS_CAPACITY_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"
#include "trefoilmill/version/organisation.h"

namespace trefoilmill {

/// Number of a request within the process.
using request_number = strong_id<struct request_number_tag, std::uint64_t>;

class capacity_queue {
 public:
  /// A shard of a request that waits.
  struct waiter {
    request_number request;
    std::size_t shard = 0;
    request_priority priority;
    /// Latest time at which the request can be answered within its objective.
    time_point objective_deadline;
    /// Its organisation asks for more than its share of what endpoints run.
    bool over_share = false;
  };

  void Push(const service_id& service, const waiter& added);
  /// Removes and returns the next waiter of the service: of those whose
  /// objective can still be met those of organisations within their share, then
  /// the most urgent, else of the others; among equals the one that waited
  /// longest.
  std::optional<waiter> Pop(time_point now, const service_id& service);
  /// Removes all waiters of a request.
  void Remove(request_number request);
  /// Number of waiters of the service whose objective can still be met.
  std::size_t TimelyWaiters(time_point now, const service_id& service) const;

 private:
  /// In order of arrival.
  std::map<service_id, std::list<waiter>> waiters_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_CAPACITY_QUEUE_H_
