/// Time as the deciders see it. No decider reads a clock: the present time is
/// an argument, so that a test or a bench may drive it.
#ifndef TREFOILMILL_TIME_H_
#define TREFOILMILL_TIME_H_

#include <chrono>

namespace trefoilmill {

using duration = std::chrono::microseconds;

/// Tag of the monotonic time line of one process. It has no now(): only the
/// shell knows the time.
struct monotonic_timeline {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  // NOLINTNEXTLINE(readability-identifier-naming): the standard's name.
  static constexpr bool is_steady = true;
};

/// A moment on one process's monotonic time line. Not comparable between
/// hosts: deadlines cross hosts as time remaining.
using time_point = std::chrono::time_point<monotonic_timeline>;

/// Milliseconds as a fraction, for reports.
inline double ToMilliseconds(duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

}  // namespace trefoilmill

#endif  // TREFOILMILL_TIME_H_
