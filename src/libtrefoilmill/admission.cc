#include "trefoilmill/admission.h"

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

#include "trefoilmill/caller_query.h"

namespace trefoilmill {
namespace {

/// Lower bound of a service's limit, in queries in flight, so that the service
/// is never cut off.
constexpr double kMinLimit = 1;
/// Upper bound of a service's limit, as a multiple of its slots.
constexpr double kMaxLimitFactor = 4;
/// The limit is multiplied by this when the service is overloaded.
constexpr double kLimitDecreaseFactor = 0.8;
/// Shortest time between two decreases, as one overload fails many queries.
constexpr duration kMinDecreaseInterval = std::chrono::milliseconds(100);
/// Share of the limit available to the lowest priority. The share grows
/// linearly with the priority; the highest may use the whole limit.
constexpr double kLowestPriorityShare = 0.6;
/// Fair shares apply, and a limit may grow, from this share of it in use.
constexpr double kHighUtilization = 0.5;
/// The latency quantile compared with deadlines and used as the retry delay.
constexpr double kMedianQuantile = 0.5;
/// Bounds of the retry delay that a refusal suggests.
constexpr duration kMinRetryDelay = std::chrono::milliseconds(20);
constexpr duration kMaxRetryDelay = std::chrono::milliseconds(1000);

/// The share of a limit that queries of this priority may use, 0 to 1.
double PriorityShare(int priority) {
  const double step = (1 - kLowestPriorityShare) / kHighestPriority;
  return kLowestPriorityShare + step * priority;
}

/// The slots of all endpoints of the service.
double TotalSlots(const service_config& service) {
  return static_cast<double>(service.endpoints.size()) * service.limits.slots;
}

/// Suggests a retry after the service's median latency, if known.
failure OverloadedFailure(std::string detail,
                          std::optional<duration> median_latency) {
  const duration hint = median_latency.value_or(kMinRetryDelay);
  return {.outcome = verdict::kNotRun,
          .reason = reason_code::kOverloaded,
          .detail = std::move(detail),
          .retry_after = std::clamp(hint, kMinRetryDelay, kMaxRetryDelay)};
}

}  // namespace

admission::admission(const deployment& config) {
  Configure(config);
}

void admission::Configure(const deployment& config) {
  max_queries_ = config.scheduling.max_queries;
  std::map<service_id, service_limiter> updated;
  for (const auto& [id, service] : config.services) {
    service_limiter& limiter = updated[id];
    if (const auto found = limiters_.find(id); found != limiters_.end()) {
      limiter = std::move(found->second);
    }
    const double total_slots = std::max(TotalSlots(service), kMinLimit);
    limiter.weight = service.weight;
    limiter.max_limit = total_slots * kMaxLimitFactor;
    if (limiter.limit == 0)
      limiter.limit = total_slots;
    limiter.limit = std::min(limiter.limit, limiter.max_limit);
  }
  limiters_ = std::move(updated);
}

result<admission_ticket> admission::Admit(
    time_point now,
    const admission_request& request,
    const service_latency_estimator& latencies) {
  if (in_flight_ >= max_queries_ * PriorityShare(request.priority)) {
    return OverloadedFailure("host is at its limit of queries in flight", {});
  }
  for (const service_id& service : request.services) {
    auto checked = CheckService(now, service, request, latencies);
    if (!checked)
      return std::move(checked).error();
  }
  for (const service_id& service : request.services) {
    const auto found = limiters_.find(service);
    if (found == limiters_.end())
      continue;
    ++found->second.in_flight;
    ++found->second.in_flight_by_caller[request.caller];
  }
  ++in_flight_;
  return admission_ticket{.caller = request.caller,
                          .services = request.services,
                          .admitted_at = now};
}

result<void> admission::CheckService(
    time_point now,
    const service_id& service,
    const admission_request& request,
    const service_latency_estimator& latencies) const {
  const auto found = limiters_.find(service);
  if (found == limiters_.end())
    return outcome::success();
  const service_limiter& limiter = found->second;
  // With nothing in flight, admit the query: its answer refreshes the latency
  // estimate. Otherwise one overload could refuse queries forever.
  if (limiter.in_flight == 0)
    return outcome::success();
  const auto median_latency = latencies.Quantile(now, service, kMedianQuantile);
  if (IsAtLimit(limiter, request)) {
    return OverloadedFailure(
        "service " + service.value() + " is at its concurrency limit",
        median_latency);
  }
  if (median_latency && *median_latency > request.deadline) {
    return failure{.outcome = verdict::kNotRun,
                   .reason = reason_code::kDeadlineUnmeetable,
                   .detail = "median latency of service " + service.value() +
                             " exceeds the deadline",
                   .retry_after = std::min(*median_latency, kMaxRetryDelay)};
  }
  return outcome::success();
}

bool admission::IsAtLimit(const service_limiter& limiter,
                          const admission_request& request) const {
  const double available =
      std::max(kMinLimit, limiter.limit * PriorityShare(request.priority));
  if (limiter.in_flight >= available)
    return true;

  if (in_flight_ >= max_queries_ * kHighUtilization) {
    const int total_weight = std::accumulate(
        limiters_.begin(), limiters_.end(), 0, [](int sum, const auto& entry) {
          return sum + (entry.second.in_flight > 0 ? entry.second.weight : 0);
        });
    const double share = static_cast<double>(limiter.weight) / total_weight;
    if (limiter.in_flight >= std::max(1.0, max_queries_ * share))
      return true;
  }

  if (limiter.in_flight < available * kHighUtilization)
    return false;
  const auto own = limiter.in_flight_by_caller.find(request.caller);
  const bool has_queries = own != limiter.in_flight_by_caller.end();
  const std::size_t caller_count =
      limiter.in_flight_by_caller.size() + (has_queries ? 0 : 1);
  const double fair_share = available / static_cast<double>(caller_count);
  return has_queries && own->second >= std::max(1.0, fair_share);
}

void admission::Release(time_point now,
                        const admission_ticket& ticket,
                        const admission_outcome& outcome) {
  --in_flight_;
  for (const service_id& service : ticket.services) {
    const auto found = limiters_.find(service);
    if (found == limiters_.end())
      continue;
    service_limiter& limiter = found->second;
    const bool overloaded = std::ranges::find(outcome.overloaded, service) !=
                            outcome.overloaded.end();
    UpdateLimit(now, limiter, overloaded);
    limiter.in_flight = std::max(0, limiter.in_flight - 1);
    const auto caller = limiter.in_flight_by_caller.find(ticket.caller);
    if (caller == limiter.in_flight_by_caller.end())
      continue;
    if (--caller->second == 0)
      limiter.in_flight_by_caller.erase(caller);
  }
}

void admission::UpdateLimit(time_point now,
                            service_limiter& limiter,
                            bool overloaded) {
  if (overloaded) {
    if (now - limiter.last_decrease < kMinDecreaseInterval)
      return;
    limiter.limit = std::max(kMinLimit, limiter.limit * kLimitDecreaseFactor);
    limiter.last_decrease = now;
    return;
  }
  // At low utilization, timely answers do not show that the service could
  // handle a higher limit.
  if (limiter.in_flight < limiter.limit * kHighUtilization)
    return;
  limiter.limit =
      std::min(limiter.max_limit, limiter.limit + 1 / limiter.limit);
}

double admission::ServiceLimit(const service_id& service) const {
  const auto found = limiters_.find(service);
  return found == limiters_.end() ? 0 : found->second.limit;
}

}  // namespace trefoilmill
