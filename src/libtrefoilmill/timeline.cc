#include "trefoilmill/timeline.h"

#include <algorithm>
#include <utility>

namespace trefoilmill {
namespace {

/// Whether an unset filter field, or the event's own value, matches.
template <class value>
bool Matches(const std::optional<value>& wanted, const value& actual) {
  return !wanted.has_value() || *wanted == actual;
}

bool Matches(const timeline_filter& filter, const timeline_event& event) {
  const std::uint64_t wall_us = event.at.wall_us;
  return Matches(filter.request, event.request) &&
         Matches(filter.endpoint, event.endpoint) &&
         Matches(filter.zone, event.zone) &&
         wall_us >= filter.from_wall_us.value_or(0) &&
         wall_us <= filter.to_wall_us.value_or(UINT64_MAX);
}

}  // namespace

hybrid_time hybrid_clock::Tick(std::uint64_t wall_us) {
  if (wall_us > last_.wall_us) {
    last_ = {.wall_us = wall_us, .logical = 0};
  } else {
    ++last_.logical;
  }
  return last_;
}

hybrid_time hybrid_clock::Observe(std::uint64_t wall_us, hybrid_time remote) {
  last_ = std::max(last_, remote);
  return Tick(wall_us);
}

timeline_ring::timeline_ring(std::size_t capacity) : capacity_(capacity) {}

void timeline_ring::Add(timeline_event event) {
  if (events_.size() >= capacity_) {
    events_.pop_front();
    ++dropped_;
  }
  events_.push_back(std::move(event));
}

std::vector<timeline_event> timeline_ring::Select(
    const timeline_filter& filter) const {
  std::vector<timeline_event> chosen;
  std::ranges::copy_if(
      events_, std::back_inserter(chosen),
      [&filter](const auto& event) { return Matches(filter, event); });
  if (chosen.size() > filter.limit) {
    const auto surplus =
        static_cast<std::ptrdiff_t>(chosen.size() - filter.limit);
    chosen.erase(chosen.begin(), chosen.begin() + surplus);
  }
  return chosen;
}

std::vector<timeline_event> MergeTimelines(
    std::vector<std::vector<timeline_event>> parts) {
  std::vector<timeline_event> merged;
  for (auto& part : parts) {
    std::ranges::move(part, std::back_inserter(merged));
  }
  std::ranges::stable_sort(merged, {}, &timeline_event::at);
  return merged;
}

}  // namespace trefoilmill
