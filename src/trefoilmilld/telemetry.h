/// What one daemon tells of itself: the time line, the log and the metrics.
/// One per process.
#ifndef TREFOILMILLD_TELEMETRY_H_
#define TREFOILMILLD_TELEMETRY_H_

#include <memory>

#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/log.h"
#include "trefoilmill/net/metrics.h"
#include "trefoilmill/settings.h"
#include "trefoilmill/timeline.h"

namespace trefoilmill {

class telemetry {
 public:
  /// Fails with kBadRequest if the log cannot be opened.
  static result<std::unique_ptr<telemetry>> Create(
      event_loop& loop,
      const daemon_settings& settings);

  /// Adds an event to the time line and to the log; time and process are
  /// filled in here.
  void Record(timeline_event event, log_level level = log_level::kInfo);

  hybrid_clock& clock() { return clock_; }
  const timeline_ring& ring() const { return ring_; }
  metrics& values() { return *metrics_; }

 private:
  telemetry(event_loop& loop,
            const daemon_settings& settings,
            std::unique_ptr<logger> log);

  void Log(const timeline_event& event, log_level level);

  event_loop& loop_;
  host_id self_;
  hybrid_clock clock_;
  timeline_ring ring_;
  std::unique_ptr<logger> log_;
  std::unique_ptr<metrics> metrics_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILLD_TELEMETRY_H_
