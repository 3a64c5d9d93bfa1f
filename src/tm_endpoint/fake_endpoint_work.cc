#include <algorithm>
#include <utility>

#include "tm_endpoint/fake_endpoint.h"
#include "tm_endpoint/service_time.h"

namespace trefoilmill {

namespace {

// A cold instance works this much slower.
constexpr double kColdSlowdown = 3;
// Part of the body that a truncated reply still carries.
constexpr std::size_t kTruncatedBytes = 10;

}  // namespace

void fake_endpoint::OnRequest(const http_request& request,
                              const http_responder& responder) {
  if (!up_) {
    responder.Abort();
    return;
  }
  if (request.method == "POST" && request.path == "/v1/search") {
    OnSearch(request, responder);
  } else if (request.method == "POST" && request.path == "/v1/cancel") {
    OnCancel(request, responder);
  } else if (request.method == "GET" && request.path == "/v1/health") {
    OnHealth(responder);
  } else {
    responder.Send(ErrorReply(404, "no such call"));
  }
}

void fake_endpoint::OnSearch(const http_request& request,
                             const http_responder& responder) {
  const auto search = ParseSearchRequest(request.body);
  if (!search) {
    responder.Send(ErrorReply(400, "malformed search"));
    return;
  }
  const std::size_t count = tasks_.size() + 1;
  RecordTask("arrived", *search, {{"in_flight", count}});
  if (IsCold() && count > settings_.cold_slots) {
    RecordTask("cold_overload", *search, {{"cold_in_flight", count}});
    responder.Abort();
    FallOver("requests");
    return;
  }
  if (RefuseAtOnce(*search, responder)) {
    return;
  }
  task made{.request = *search,
            .responder = responder,
            .expires = loop_.Now() + search->deadline};
  if (Chance(faults_.reset_share)) {
    made.reset = true;
    responder.Abort();
  }
  tasks_.push_back(std::move(made));
  const task_handle handle = std::prev(tasks_.end());
  const bool first = known_connections_.insert(responder.connection()).second;
  if (first && settings_.connection_cost > duration(0)) {
    handle->next = loop_.RunAfter(settings_.connection_cost,
                                  [this, handle] { Enqueue(handle); });
    return;
  }
  Enqueue(handle);
}

bool fake_endpoint::RefuseAtOnce(const search_request& request,
                                 const http_responder& responder) {
  if (faults_.drain) {
    RecordTask("drained", request);
    responder.Send(MakeRefusal(503, "draining", instance_, request));
    return true;
  }
  if (Chance(faults_.shed_share)) {
    RecordTask("shed", request);
    responder.Send(MakeRefusal(503, "shed", instance_, request));
    return true;
  }
  if (!HasShard(request)) {
    RecordTask("version_gone", request);
    responder.Send(MakeRefusal(410, "version_gone", instance_, request));
    return true;
  }
  return false;
}

bool fake_endpoint::HasShard(const search_request& request) const {
  if (request.shard.service != settings_.service ||
      !settings_.versions.contains(request.version)) {
    return false;
  }
  const auto listed = settings_.shards_by_version.find(request.version);
  return listed == settings_.shards_by_version.end() ||
         listed->second.contains(request.shard.shard.value());
}

void fake_endpoint::Enqueue(task_handle handle) {
  handle->at = phase::kQueued;
  if (loop_.Now() >= handle->expires) {
    Expire(handle);
    return;
  }
  if (CountIn(phase::kRunning) < settings_.slots) {
    Run(handle);
    return;
  }
  if (CountIn(phase::kQueued) > settings_.queue_length) {
    RecordTask("shed", handle->request);
    handle->responder.Send(
        MakeRefusal(503, "shed", instance_, handle->request));
    tasks_.erase(handle);
    return;
  }
  handle->next = loop_.RunAfter(handle->expires - loop_.Now(),
                                [this, handle] { Expire(handle); });
}

void fake_endpoint::Expire(task_handle handle) {
  RecordTask("expired", handle->request);
  handle->responder.Send(
      MakeRefusal(504, "deadline_exceeded", instance_, handle->request));
  tasks_.erase(handle);
}

void fake_endpoint::Run(task_handle handle) {
  const double drawn = DrawMilliseconds(settings_.service_times, settings_.seed,
                                        handle->request.attempt);
  const double slowdown = IsCold() ? kColdSlowdown : 1;
  const double service = drawn * faults_.slow_factor * slowdown;
  handle->at = phase::kRunning;
  handle->service = FromMilliseconds(service);
  RecordTask("run_begin", handle->request,
             {{"service_ms", service},
              {"drawn_ms", drawn},
              {"running", CountIn(phase::kRunning)}});
  handle->next =
      loop_.RunAfter(handle->service, [this, handle] { EndRun(handle); });
}

void fake_endpoint::EndRun(task_handle handle) {
  work_done_ += handle->service;
  RecordTask("run_end", handle->request);
  const task finished = std::move(*handle);
  tasks_.erase(handle);
  if (!finished.reset) {
    Answer(finished);
  }
  RunNext();
}

void fake_endpoint::RunNext() {
  if (CountIn(phase::kRunning) >= settings_.slots) {
    return;
  }
  const auto waiting = std::ranges::find(tasks_, phase::kQueued, &task::at);
  if (waiting != tasks_.end()) {
    Run(waiting);
  }
}

void fake_endpoint::Answer(const task& finished) {
  const bool wrong = Chance(faults_.wrong_version_share);
  const std::uint64_t version = finished.request.version + (wrong ? 1 : 0);
  const http_response answer =
      MakeAnswer(settings_, instance_, finished.request, version);
  if (faults_.late_reply == duration(0)) {
    SendAnswer(finished.responder, answer);
    return;
  }
  const std::uint64_t id = ++last_late_reply_;
  late_replies_[id] = loop_.RunAfter(
      faults_.late_reply, [this, id, answer, responder = finished.responder] {
        SendAnswer(responder, answer);
        late_replies_.erase(id);
      });
}

void fake_endpoint::SendAnswer(const http_responder& responder,
                               const http_response& response) {
  if (Chance(faults_.truncate_share)) {
    responder.SendTruncated(response, kTruncatedBytes);
  } else if (Chance(faults_.duplicate_share)) {
    responder.SendDuplicate(response);
  } else {
    responder.Send(response);
  }
}

void fake_endpoint::OnCancel(const http_request& request,
                             const http_responder& responder) {
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("attempt") ||
      !body["attempt"].is_string()) {
    responder.Send(ErrorReply(400, "malformed cancellation"));
    return;
  }
  const auto attempt = body["attempt"].get<std::string>();
  const auto found = std::ranges::find_if(
      tasks_, [&](const task& t) { return t.request.attempt == attempt; });
  if (found == tasks_.end()) {
    responder.Send(JsonReply(200, {{"state", "unknown"}}));
    return;
  }
  const bool ran = found->at == phase::kRunning;
  RecordTask("cancelled", found->request, {{"had_begun", ran}});
  // Stopped work has left its traces: it is no refusal but a failure.
  found->responder.Send(
      ran ? MakeRefusal(500, "endpoint_error", instance_, found->request)
          : MakeRefusal(503, "cancelled", instance_, found->request));
  tasks_.erase(found);
  responder.Send(JsonReply(200, {{"state", ran ? "running" : "not_run"}}));
  RunNext();
}

void fake_endpoint::OnHealth(const http_responder& responder) {
  responder.Send(
      JsonReply(200, {
                         {"instance", instance_.value()},
                         {"state", faults_.lie ? "warm" : State()},
                         {"in_flight", faults_.lie ? 0 : tasks_.size()},
                         {"versions", settings_.versions},
                     }));
}

std::size_t fake_endpoint::CountIn(phase p) const {
  return static_cast<std::size_t>(std::ranges::count(tasks_, p, &task::at));
}

bool fake_endpoint::Chance(double share) {
  return share > 0 && std::bernoulli_distribution(share)(generator_);
}

}  // namespace trefoilmill
