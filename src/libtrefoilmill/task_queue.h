/// Priority queue of the sub-requests waiting for one endpoint, ordered by
/// priority (highest first), then deadline (earliest first), then arrival.
#ifndef TREFOILMILL_TASK_QUEUE_H_
#define TREFOILMILL_TASK_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "trefoilmill/endpoint_scheduler.h"

namespace trefoilmill {

/// The queue, also indexed by attempt and by deadline. Attempts are unique. No
/// operation fails with an error.
class task_queue {
 public:
  bool empty() const { return tasks_.empty(); }
  std::size_t size() const { return tasks_.size(); }

  /// Inserts `task` in order; its attempt must not be queued yet.
  void Push(shard_task task);
  /// Removes and returns the next task to send; nullopt if empty.
  std::optional<shard_task> PopFirst();
  /// The task to drop first under overload. The queue must not be empty.
  const shard_task& last() const { return tasks_.rbegin()->second; }
  /// Returns nullptr if `attempt` is not queued. Valid until the task is
  /// removed.
  const shard_task* Find(attempt_id attempt) const;
  /// Removes and returns the task; nullopt if `attempt` is not queued.
  std::optional<shard_task> Remove(attempt_id attempt);
  /// Number of queued tasks that would be sent before `task`, if pushed now.
  int CountAheadOf(const shard_task& task) const;
  /// Removes and returns the tasks whose deadline is at or before `limit`.
  std::vector<shard_task> RemoveWithDeadlineBy(time_point limit);
  /// Removes and returns all tasks, in sending order.
  std::vector<shard_task> RemoveAll();
  /// All queued attempts, in sending order.
  std::vector<attempt_id> Attempts() const;
  /// nullopt if empty.
  std::optional<time_point> earliest_deadline() const;

 private:
  /// Position in the sending order; smaller is sent first.
  struct sort_key {
    int negative_priority = 0;
    time_point deadline;
    std::uint64_t arrival = 0;
    friend auto operator<=>(const sort_key&, const sort_key&) = default;
  };

  std::uint64_t last_arrival_ = 0;
  std::map<sort_key, shard_task> tasks_;
  std::unordered_map<attempt_id, sort_key> keys_by_attempt_;
  std::set<std::pair<time_point, attempt_id>> deadlines_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_TASK_QUEUE_H_
