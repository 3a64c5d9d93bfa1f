/// Event loop on libevent with timers, posted tasks and signal handlers. All
/// code takes the time from the loop rather than from the system clocks. A loop
/// and every object created on it belong to one thread.
#ifndef TREFOILMILL_NET_EVENT_LOOP_H_
#define TREFOILMILL_NET_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "trefoilmill/net/connection_budget.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

struct event_base;

namespace trefoilmill {

/// Owns a scheduled task; destroying the timer cancels it. Must not outlive its
/// loop.
class timer {
 public:
  /// Creates a timer with no task.
  timer();
  timer(timer&&) noexcept;
  timer& operator=(timer&&) noexcept;
  ~timer();

 private:
  friend class event_loop;
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// Single-threaded event loop. A task may destroy the timer that called it.
class event_loop {
 public:
  /// Holds back SIGTERM, SIGINT and SIGHUP while no loop runs. One that is sent
  /// to a starting process then reaches its handler, and one that is sent while
  /// the process cleans up is ignored, where it would end the process
  /// otherwise. Call it first in main().
  static void HoldSignals();
  /// Creates a loop and sets the process to ignore SIGPIPE. Fails if libevent
  /// cannot create its event base.
  static result<std::unique_ptr<event_loop>> Create();
  /// Destroys posted tasks without running them.
  ~event_loop();

  /// Current monotonic time.
  time_point Now() const;
  /// Current system clock time, in microseconds since 1970-01-01 UTC.
  std::uint64_t SystemTimeMicros() const;

  /// Dispatches events until Stop() is called.
  void Run();
  /// Makes Run() return after the current event.
  void Stop();

  /// Calls `task` once after `delay`; a negative delay counts as zero.
  [[nodiscard]] timer RunAfter(duration delay, std::function<void()> task);
  /// Calls `task` every `period`, first after one period.
  [[nodiscard]] timer RunEvery(duration period, std::function<void()> task);
  /// Queues `task` to run on the loop after the current event. Tasks run in the
  /// order in which they were posted.
  void Post(std::function<void()> task);
  /// Calls `task` on the loop whenever the process receives `signal_number`.
  void OnSignal(int signal_number, std::function<void()> task);

  /// What the connections of this loop hold together.
  connection_budget& connections();

  /// The underlying libevent base, for code that registers its own events.
  event_base* base() const;

 private:
  struct impl;
  explicit event_loop(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_NET_EVENT_LOOP_H_
