/// Ends the process gracefully after it was told to stop.
#ifndef TREFOILMILL_ENTRY_PLANNED_STOP_H_
#define TREFOILMILL_ENTRY_PLANNED_STOP_H_

#include <functional>
#include <optional>
#include <vector>

#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/process/stop_schedule.h"
#include "trefoilmill_entry/request_handler.h"

namespace trefoilmill::entry {

/// Serves callers until the time to stop accepting, and ends the process when
/// no connection of a caller is open any more, or when time is up.
class planned_stop {
 public:
  /// `servers` are those that callers connect to. `on_end` is called once, when
  /// the process is to end.
  planned_stop(event_loop& loop,
               std::vector<http_server*> servers,
               request_handler& requests,
               std::function<void()> on_end);

  /// Begins the stop of a process that is killed after `grace`.
  void Begin(time_point now, duration grace);
  bool begun() const { return schedule_.has_value(); }

 private:
  void StopAccepting();
  /// Closes idle connections; ends the process if none is left or time is up,
  /// else checks again later.
  void EndWhenIdle();
  bool HasOpenConnections() const;
  bool HasUnsentAnswers() const;
  /// Whether the process is to end now.
  bool MayEnd(time_point now) const;

  event_loop& loop_;
  std::vector<http_server*> servers_;
  request_handler& requests_;
  std::function<void()> on_end_;
  std::optional<stop_schedule> schedule_;
  timer next_step_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_PLANNED_STOP_H_
