#include "trefoilmill_entry/planned_stop.h"

#include <algorithm>
#include <utility>

namespace trefoilmill::entry {
namespace {

/// How often a process that no longer accepts connections checks whether it may
/// end.
constexpr duration kIdleCheckInterval = std::chrono::milliseconds(20);

}  // namespace

planned_stop::planned_stop(event_loop& loop,
                           std::vector<http_server*> servers,
                           request_handler& requests,
                           std::function<void()> on_end)
    : loop_(loop),
      servers_(std::move(servers)),
      requests_(requests),
      on_end_(std::move(on_end)) {}

void planned_stop::Begin(time_point now, duration grace) {
  schedule_ = stop_schedule::Create(now, grace);
  std::ranges::for_each(servers_, &http_server::CloseAfterResponses);
  requests_.AnswerBy(schedule_->answer_by);
  next_step_ = loop_.RunAfter(schedule_->accept_until - now,
                              [this] { StopAccepting(); });
}

void planned_stop::StopAccepting() {
  std::ranges::for_each(servers_, &http_server::StopAccepting);
  EndWhenIdle();
}

void planned_stop::EndWhenIdle() {
  const time_point now = loop_.Now();
  if (now >= schedule_->answer_by) {
    // A late loop may run this before the requests' own timers.
    requests_.AnswerBy(now);
  }
  for (http_server* server : servers_) {
    server->CloseIdleConnections(now);
  }
  if (MayEnd(now)) {
    // The answers of a late last turn are not written yet.
    std::ranges::for_each(servers_, &http_server::FlushResponses);
    on_end_();
    return;
  }
  next_step_ = loop_.RunAfter(kIdleCheckInterval, [this] { EndWhenIdle(); });
}

bool planned_stop::MayEnd(time_point now) const {
  // A connection stays open until its answer is written, so that the answer is
  // not lost with the process.
  const bool idle = requests_.unanswered() == 0 && !HasOpenConnections();
  const bool time_is_up = now >= schedule_->end_by && !HasUnsentAnswers();
  return idle || time_is_up || now >= schedule_->write_until;
}

bool planned_stop::HasUnsentAnswers() const {
  return std::ranges::any_of(servers_, [](const http_server* server) {
    return server->unsent_connections() > 0;
  });
}

bool planned_stop::HasOpenConnections() const {
  return std::ranges::any_of(servers_, [](const http_server* server) {
    return server->is_accepting() || server->open_connections() > 0;
  });
}

}  // namespace trefoilmill::entry
