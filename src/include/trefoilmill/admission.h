/// Admission control of queries on one host: refuses excess queries before
/// they start, so that an overload does not grow and the caller may safely
/// retry.
#ifndef TREFOILMILL_ADMISSION_H_
#define TREFOILMILL_ADMISSION_H_

#include <map>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/service_latency_estimator.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// The properties of a query that decide its admission.
struct admission_request {
  caller_id caller;
  /// The services that the query fans out to.
  std::vector<service_id> services;
  /// 0 is the lowest, kHighestPriority the highest.
  int priority = 5;
  /// Time left to answer the query.
  duration deadline{};
};

/// An admitted query. The holder returns it with admission::Release().
struct admission_ticket {
  caller_id caller;
  std::vector<service_id> services;
  time_point admitted_at;
};

/// How an admitted query ended, per service.
struct admission_outcome {
  /// Services that missed the deadline or shed load.
  std::vector<service_id> overloaded;
};

/// Limits the queries that this host has in flight, per service and in total.
///
/// The limit of a service is adaptive (additive increase, multiplicative
/// decrease): it grows while the service answers in time and shrinks when the
/// service sheds load or misses deadlines. A higher priority may use a larger
/// share of a limit. At high utilization each caller is held to an equal share
/// of the service's limit, and each active service to a share of `max_queries`
/// by its weight.
class admission {
 public:
  explicit admission(const deployment& config);

  /// Applies a changed deployment. Services that it still lists keep their
  /// adapted limits.
  void Configure(const deployment& config);

  /// Admits the query, or fails with verdict kNotRun, a `retry_after` delay
  /// and the reason kOverloaded or kDeadlineUnmeetable.
  result<admission_ticket> Admit(time_point now,
                                 const admission_request& request,
                                 const service_latency_estimator& latencies);

  /// Ends an admitted query. Call exactly once per ticket.
  void Release(time_point now,
               const admission_ticket& ticket,
               const admission_outcome& outcome);

  /// Queries in flight on this host.
  int in_flight() const { return in_flight_; }
  /// The current limit of a service, in queries in flight; 0 if the service is
  /// unknown.
  double ServiceLimit(const service_id& service) const;

 private:
  /// The adaptive concurrency limit of one service and its current use.
  struct service_limiter {
    int weight = 1;
    /// Queries in flight; fractional, as it grows by less than 1 per answer.
    double limit = 0;
    double max_limit = 0;
    int in_flight = 0;
    std::map<caller_id, int> in_flight_by_caller;
    time_point last_decrease;
  };

  /// Whether the limiter has no room for this caller and priority.
  bool IsAtLimit(const service_limiter& limiter,
                 const admission_request& request) const;
  /// Fails if the service is overloaded or its median latency exceeds the
  /// request's deadline. Unknown services pass.
  result<void> CheckService(time_point now,
                            const service_id& service,
                            const admission_request& request,
                            const service_latency_estimator& latencies) const;
  /// Adapts the limit to one ended query. Call before the query is subtracted
  /// from `in_flight`.
  void UpdateLimit(time_point now, service_limiter& limiter, bool overloaded);

  std::map<service_id, service_limiter> limiters_;
  int max_queries_ = 0;
  int in_flight_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_ADMISSION_H_
