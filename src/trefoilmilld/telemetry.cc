#include "trefoilmilld/telemetry.h"

#include <utility>

namespace trefoilmill {

telemetry::telemetry(event_loop& loop,
                     const daemon_settings& settings,
                     std::unique_ptr<logger> log)
    : loop_(loop),
      self_(settings.host),
      ring_(static_cast<std::size_t>(settings.timeline_capacity)),
      log_(std::move(log)),
      metrics_(metrics::Create()) {}

result<std::unique_ptr<telemetry>> telemetry::Create(
    event_loop& loop,
    const daemon_settings& settings) {
  auto log = logger::Create({.level = settings.log,
                             .file = settings.log_file,
                             .host = settings.host});
  if (!log.has_value()) {
    return std::move(log).error();
  }
  return std::unique_ptr<telemetry>(
      new telemetry(loop, settings, std::move(log).value()));
}

void telemetry::Record(timeline_event event, log_level level) {
  Log(event, level);
  event.at = clock_.Tick(loop_.SystemTimeMicros());
  event.process = self_;
  const std::size_t dropped = ring_.dropped();
  ring_.Add(std::move(event));
  if (ring_.dropped() > dropped) {
    metrics_->Increment(metric::kTimelineEventsDropped);
  }
}

void telemetry::Log(const timeline_event& event, log_level level) {
  const log_fields fields{.request = event.request,
                          .attempt = event.attempt,
                          .endpoint = event.endpoint,
                          .zone = event.zone,
                          .detail = event.detail};
  switch (level) {
    case log_level::kDebug:
      log_->Debug(event.kind, fields);
      break;
    case log_level::kInfo:
      log_->Info(event.kind, fields);
      break;
    case log_level::kWarning:
      log_->Warning(event.kind, fields);
      break;
    case log_level::kError:
      log_->Error(event.kind, fields);
      break;
  }
}

}  // namespace trefoilmill
