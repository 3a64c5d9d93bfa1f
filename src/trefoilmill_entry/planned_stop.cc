#include "trefoilmill_entry/planned_stop.h"

#include <utility>

namespace trefoilmill::entry {
namespace {

/// How often a process that no longer accepts connections checks whether it may
/// end.
constexpr duration kIdleCheckInterval = std::chrono::milliseconds(50);

}  // namespace

planned_stop::planned_stop(event_loop& loop,
                           http_server& caller_server,
                           request_handler& requests,
                           std::function<void()> on_end)
    : loop_(loop),
      caller_server_(caller_server),
      requests_(requests),
      on_end_(std::move(on_end)) {}

void planned_stop::Begin(time_point now, duration grace) {
  schedule_ = stop_schedule::Create(now, grace);
  caller_server_.CloseAfterResponses();
  requests_.AnswerBy(schedule_->answer_by);
  next_step_ = loop_.RunAfter(schedule_->accept_until - now,
                              [this] { StopAccepting(); });
}

void planned_stop::StopAccepting() {
  caller_server_.StopAccepting();
  EndWhenIdle();
}

void planned_stop::EndWhenIdle() {
  const time_point now = loop_.Now();
  caller_server_.CloseIdleConnections(now);
  // A connection stays open until its answer is written, so that the answer is
  // not lost with the process.
  const bool idle =
      requests_.unanswered() == 0 && caller_server_.open_connections() == 0;
  if (idle || now >= schedule_->end_by) {
    on_end_();
    return;
  }
  next_step_ = loop_.RunAfter(kIdleCheckInterval, [this] { EndWhenIdle(); });
}

}  // namespace trefoilmill::entry
