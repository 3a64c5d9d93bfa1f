/// When a host that was told to stop does what within its grace time.
///
/// Callers come until the host stops accepting connections, and each request
/// that it takes has to be answered before the process ends: a request that is
/// cut off may have run, and its caller cannot know.
#ifndef TREFOILMILL_PROCESS_STOP_SCHEDULE_H_
#define TREFOILMILL_PROCESS_STOP_SCHEDULE_H_

#include "trefoilmill/time.h"

namespace trefoilmill {

struct stop_schedule {
  /// Connections are accepted until then, and idle ones closed from then on.
  time_point accept_until;
  /// Every request is answered by then, if need be without its endpoints'
  /// replies.
  time_point answer_by;
  /// The process ends by then, unless answers are still being written.
  time_point end_by;
  /// The process ends by then in any case.
  time_point write_until;

  /// The schedule of a host that was told to stop at `told_at` and is killed
  /// after `grace`.
  static stop_schedule Create(time_point told_at, duration grace);
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_STOP_SCHEDULE_H_
