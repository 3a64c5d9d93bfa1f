#include "task_queue.h"

#include <algorithm>
#include <iterator>

namespace trefoilmill {

void task_queue::Push(shard_task task) {
  const sort_key position{.negative_priority = -task.priority,
                          .deadline = task.deadline,
                          .arrival = ++last_arrival_};
  keys_by_attempt_.emplace(task.attempt, position);
  deadlines_.emplace(task.deadline, task.attempt);
  tasks_.emplace(position, std::move(task));
}

std::optional<shard_task> task_queue::PopFirst() {
  if (tasks_.empty()) {
    return std::nullopt;
  }
  return Remove(tasks_.begin()->second.attempt);
}

const shard_task* task_queue::Find(attempt_id attempt) const {
  const auto found = keys_by_attempt_.find(attempt);
  return found == keys_by_attempt_.end() ? nullptr : &tasks_.at(found->second);
}

std::optional<shard_task> task_queue::Remove(attempt_id attempt) {
  const auto found = keys_by_attempt_.find(attempt);
  if (found == keys_by_attempt_.end()) {
    return std::nullopt;
  }
  auto node = tasks_.extract(found->second);
  keys_by_attempt_.erase(found);
  deadlines_.erase({node.mapped().deadline, attempt});
  return std::move(node.mapped());
}

int task_queue::CountAheadOf(const shard_task& task) const {
  const sort_key position{.negative_priority = -task.priority,
                          .deadline = task.deadline,
                          .arrival = last_arrival_ + 1};
  const auto end = tasks_.lower_bound(position);
  return static_cast<int>(std::distance(tasks_.begin(), end));
}

std::vector<shard_task> task_queue::RemoveWithDeadlineBy(time_point limit) {
  std::vector<shard_task> removed;
  while (!deadlines_.empty() && deadlines_.begin()->first <= limit) {
    removed.push_back(*Remove(deadlines_.begin()->second));
  }
  return removed;
}

std::vector<shard_task> task_queue::RemoveAll() {
  std::vector<shard_task> removed;
  removed.reserve(tasks_.size());
  std::ranges::transform(tasks_, std::back_inserter(removed),
                         [](auto& item) { return std::move(item.second); });
  tasks_.clear();
  keys_by_attempt_.clear();
  deadlines_.clear();
  return removed;
}

std::vector<attempt_id> task_queue::Attempts() const {
  std::vector<attempt_id> attempts;
  attempts.reserve(tasks_.size());
  std::ranges::transform(tasks_, std::back_inserter(attempts),
                         [](const auto& item) { return item.second.attempt; });
  return attempts;
}

std::optional<time_point> task_queue::earliest_deadline() const {
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  return deadlines_.begin()->first;
}

}  // namespace trefoilmill
