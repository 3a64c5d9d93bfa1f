/// The time line: a bounded ring of typed events in each process, ordered over
/// all processes by a hybrid logical clock that survives clock skew.
#ifndef TREFOILMILL_TIMELINE_H_
#define TREFOILMILL_TIMELINE_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// A hybrid logical time. Comparing two gives an order that agrees with cause
/// and effect, whatever the hosts' clocks say.
struct hybrid_time {
  /// Microseconds of wall-clock time, never behind what was seen.
  std::uint64_t wall_us = 0;
  /// Breaks ties within one microsecond.
  std::uint32_t logical = 0;
  friend auto operator<=>(const hybrid_time&, const hybrid_time&) = default;
};

/// Keeps a process's hybrid logical time.
class hybrid_clock {
 public:
  /// The time of a local event; `wall_us` is the system clock's reading.
  hybrid_time Tick(std::uint64_t wall_us);
  /// Takes in a time received from another process.
  hybrid_time Observe(std::uint64_t wall_us, hybrid_time remote);

 private:
  hybrid_time last_;
};

/// One event. Empty fields do not apply.
struct timeline_event {
  hybrid_time at;
  host_id process;
  /// Kind in snake_case, such as "query_answered" or "owner_changed".
  std::string kind;
  request_id request;
  attempt_id attempt;
  endpoint_id endpoint;
  zone_id zone;
  /// Length, for events that span time.
  duration length{};
  /// Details for people.
  std::string detail;
};

/// Which events to show; unset fields match all.
struct timeline_filter {
  std::optional<request_id> request;
  std::optional<endpoint_id> endpoint;
  std::optional<zone_id> zone;
  std::optional<std::uint64_t> from_wall_us;
  std::optional<std::uint64_t> to_wall_us;
  std::size_t limit = 10000;
};

/// A bounded ring of events; the oldest give way.
class timeline_ring {
 public:
  explicit timeline_ring(std::size_t capacity);
  void Add(timeline_event event);
  /// Matching events in order of time; the latest `limit` of them.
  std::vector<timeline_event> Select(const timeline_filter& filter) const;
  std::size_t dropped() const { return dropped_; }

 private:
  std::size_t capacity_;
  std::size_t dropped_ = 0;
  std::deque<timeline_event> events_;
};

/// Merges the events of several processes into one order.
std::vector<timeline_event> MergeTimelines(
    std::vector<std::vector<timeline_event>> parts);

}  // namespace trefoilmill

#endif  // TREFOILMILL_TIMELINE_H_
