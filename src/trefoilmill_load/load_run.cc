#include "load_run.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace trefoilmill {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kCallTimeout = seconds(5);
constexpr duration kRecordPoll = milliseconds(250);
constexpr duration kProgressPeriod = seconds(1);
/// After the last query, for work that is still on its way to endpoints.
constexpr duration kSettleTime = seconds(2);
/// A run ends at the latest this long after its load.
constexpr duration kLongestEnd = seconds(30);

std::string WithRevision(std::string body, std::uint64_t revision) {
  // Both as a JSON number in a string and as a bare word.
  for (const std::string& token :
       {std::string("\"$REVISION\""), std::string("$REVISION")}) {
    const auto found = body.find(token);
    if (found != std::string::npos) {
      body.replace(found, token.size(), std::to_string(revision));
    }
  }
  return body;
}

bool Succeeded(const http_result& exchange) {
  return exchange.response.has_value() && exchange.response->status / 100 == 2;
}

/// Names the endpoints that a control call or zone call is about.
void SetScope(const json& selector, mark& declared) {
  if (selector.is_object()) {
    declared.zone = zone_id(selector.value("zone", ""));
  } else if (selector.is_string() && selector != "*") {
    declared.endpoint = endpoint_id(selector.get<std::string>());
  }
}

}  // namespace

load_run::load_run(event_loop& loop, load_config config, on_progress progress)
    : loop_(loop),
      config_(std::move(config)),
      progress_(std::move(progress)),
      random_(config_.seed),
      client_(loop),
      reader_(loop, config_.endpoint_controls) {
  observed_.layouts = config_.layouts;
  observed_.services = config_.services;
  for (int i = 0; i < config_.callers; ++i) {
    callers_.push_back(std::make_unique<caller>(loop_, config_,
                                                "caller-" + std::to_string(i),
                                                i < config_.stale_callers));
  }
}

void load_run::Start() {
  began_ = loop_.Now();
  started_ = loop_.SystemTimeMicros();
  for (const timed_event& event : config_.events) {
    timers_.push_back(
        loop_.RunAfter(event.at, [this, &event] { Fire(event); }));
  }
  for (const planned_stop& stop : config_.leave_marks) {
    mark declared;
    declared.at = started_ + static_cast<wall_us>(stop.at.count());
    declared.kind = mark_kind::kPlannedStop;
    declared.host = stop.host;
    observed_.marks.push_back(declared);
  }
  timers_.push_back(loop_.RunEvery(kRecordPoll, [this] { reader_.Poll(); }));
  timers_.push_back(
      loop_.RunEvery(config_.config_poll, [this] { PollConfig(); }));
  timers_.push_back(loop_.RunEvery(kProgressPeriod, [this] { Report(); }));
  ScheduleNextQuery();
}

void load_run::ScheduleNextQuery() {
  std::exponential_distribution<double> gap(config_.rate_per_s);
  next_arrival_ += std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(gap(random_)));
  if (next_arrival_ >= config_.length) {
    ending_ = loop_.RunEvery(kRecordPoll, [this] { EndIfOver(); });
    return;
  }
  arrival_ = loop_.RunAfter(next_arrival_ - Elapsed(), [this] { AskOne(); });
}

void load_run::AskOne() {
  query_row row;
  row.number = ++asked_;
  row.intended = started_ + static_cast<wall_us>(next_arrival_.count());
  std::uniform_real_distribution<double> share(0, 1);
  row.idempotent = share(random_) >= config_.non_idempotent_share;
  std::uniform_int_distribution<std::size_t> any(0, callers_.size() - 1);
  callers_[any(random_)]->Ask(
      std::move(row), [this](query_row done) { Done(std::move(done)); });
  ScheduleNextQuery();
}

void load_run::Done(query_row row) {
  observed_.queries.push_back(std::move(row));
}

void load_run::Fire(const timed_event& event) {
  http_request request;
  request.method = event.method;
  request.path = event.path;
  request.body = WithRevision(event.body, highest_revision_);
  client_.Send(
      event.target, request, kCallTimeout,
      [this, &event](const http_result& exchange) { Fired(event, exchange); });
}

void load_run::Fired(const timed_event& event, const http_result& exchange) {
  const bool done = Succeeded(exchange);
  progress_(event.method + " " + event.path + " " + event.body.substr(0, 60) +
            (done ? " done" : " FAILED"));
  if (!done) {
    ++failed_calls_;
    return;
  }
  MarkEvent(event);
  const json reply = json::parse(exchange.response->body, nullptr, false);
  if (event.path == "/v1/config" && reply.is_object() &&
      reply.contains("revision")) {
    observed_.accepted.push_back(
        {.at = loop_.SystemTimeMicros(),
         .revision = reply.at("revision").get<std::uint64_t>()});
  }
}

void load_run::MarkEvent(const timed_event& event) {
  const json body = json::parse(event.body, nullptr, false);
  if (!body.is_object()) {
    return;
  }
  mark declared;
  declared.at = loop_.SystemTimeMicros();
  if (event.path == "/v1/zones" && body.contains("zone")) {
    declared.zone = zone_id(body.at("zone").get<std::string>());
    declared.kind = body.value("state", "") == "out" ? mark_kind::kZoneOut
                                                     : mark_kind::kZoneBack;
    observed_.marks.push_back(declared);
  }
  if (event.path == "/control" && body.contains("drain")) {
    SetScope(body.value("endpoint", json("*")), declared);
    declared.kind = body.at("drain").get<bool>() ? mark_kind::kEndpointDraining
                                                 : mark_kind::kEndpointBack;
    observed_.marks.push_back(declared);
  }
}

void load_run::PollConfig() {
  http_request request;
  request.method = "GET";
  request.path = "/v1/config";
  for (const socket_address& host : config_.administration) {
    client_.Send(host, request, kCallTimeout,
                 [this, host](const http_result& exchange) {
                   TakeConfig(host, exchange);
                 });
  }
}

void load_run::TakeConfig(const socket_address& host,
                          const http_result& exchange) {
  if (!Succeeded(exchange)) {
    return;
  }
  const json body = json::parse(exchange.response->body, nullptr, false);
  if (!body.is_object() || !body.contains("revision")) {
    return;
  }
  const auto revision = body.at("revision").get<std::uint64_t>();
  highest_revision_ = std::max(highest_revision_, revision);
  observed_.config.push_back(
      {.at = loop_.SystemTimeMicros(), .host = host, .revision = revision});
}

void load_run::Report() {
  const auto answered =
      std::ranges::count_if(observed_.queries, [](const query_row& row) {
        return !row.tries.empty() && row.tries.back().end == try_end::kAnswered;
      });
  progress_("asked " + std::to_string(asked_) + ", done " +
            std::to_string(observed_.queries.size()) + ", answered " +
            std::to_string(answered));
}

void load_run::EndIfOver() {
  const duration since = Elapsed() - config_.length;
  const bool settled = observed_.queries.size() == asked_ &&
                       since >= kSettleTime && reader_.caught_up();
  if (settled || since >= kLongestEnd) {
    observed_.records = reader_.records();
    loop_.Stop();
  }
}

}  // namespace trefoilmill
