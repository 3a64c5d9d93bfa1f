#include "delay_line.h"

#include <algorithm>
#include <utility>

namespace trefoilmill {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

duration Jitter(duration most, std::mt19937_64& random) {
  if (most <= duration::zero()) {
    return duration::zero();
  }
  std::uniform_int_distribution<duration::rep> even(0, most.count());
  return duration(even(random));
}

/// How long the bytes occupy a line of that bandwidth.
duration TransferTime(std::size_t bytes, std::int64_t bytes_per_s) {
  if (bytes_per_s <= 0) {
    return duration::zero();
  }
  const auto count = static_cast<std::int64_t>(bytes);
  return duration(count * kMicrosPerSecond / bytes_per_s);
}

}  // namespace

void delay_line::Push(time_point now,
                      segment_kind kind,
                      std::string bytes,
                      const listener_faults& faults,
                      std::mt19937_64& random) {
  const time_point arrival = now + faults.delay + Jitter(faults.jitter, random);
  const time_point start = std::max(arrival, last_due_);
  last_due_ = start + TransferTime(bytes.size(), faults.bytes_per_s);
  size_bytes_ += bytes.size();
  segments_.push_back(
      {.kind = kind, .bytes = std::move(bytes), .due = last_due_});
}

std::optional<segment> delay_line::Pop(time_point now) {
  if (segments_.empty() || segments_.front().due > now) {
    return std::nullopt;
  }
  segment first = std::move(segments_.front());
  segments_.pop_front();
  size_bytes_ -= first.bytes.size();
  return first;
}

std::optional<time_point> delay_line::next_due() const {
  if (segments_.empty()) {
    return std::nullopt;
  }
  return segments_.front().due;
}

}  // namespace trefoilmill
