#include "trefoilmill/process/capacity_queue.h"

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

namespace trefoilmill {

void capacity_queue::Push(const service_id& service, const waiter& added) {
  waiters_[service].push_back(added);
}

std::optional<capacity_queue::waiter> capacity_queue::Pop(
    time_point now,
    const service_id& service) {
  const auto found = waiters_.find(service);
  if (found == waiters_.end()) {
    return std::nullopt;
  }
  std::list<waiter>& queue = found->second;
  const auto rank = [now](const waiter& w) {
    return std::tuple(w.objective_deadline <= now, w.over_share, w.priority);
  };
  const auto next = std::ranges::min_element(queue, {}, rank);
  const waiter popped = *next;
  queue.erase(next);
  if (queue.empty()) {
    waiters_.erase(found);
  }
  return popped;
}

void capacity_queue::Remove(request_number request) {
  for (std::list<waiter>& queue : std::views::values(waiters_)) {
    std::erase_if(queue, [&](const waiter& w) { return w.request == request; });
  }
  std::erase_if(waiters_,
                [](const auto& entry) { return entry.second.empty(); });
}

std::size_t capacity_queue::TimelyWaiters(time_point now,
                                          const service_id& service) const {
  const auto found = waiters_.find(service);
  if (found == waiters_.end()) {
    return 0;
  }
  return static_cast<std::size_t>(std::ranges::count_if(
      found->second,
      [now](const waiter& w) { return w.objective_deadline > now; }));
}

}  // namespace trefoilmill
