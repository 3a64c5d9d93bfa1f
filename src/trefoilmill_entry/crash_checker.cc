#include "trefoilmill_entry/crash_checker.h"

#include <algorithm>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

#include "trefoilmill/wire/log_messages.h"
#include "trefoilmill_entry/endpoint_evidence.h"

namespace trefoilmill::entry {
namespace {

constexpr duration kCheckInterval = std::chrono::milliseconds(10);
/// The interval if only a change of an endpoint's instance can show its end.
constexpr duration kLateCheckInterval = std::chrono::milliseconds(100);

}  // namespace

crash_checker::crash_checker(
    event_loop& loop,
    shared_request_state& shared_state,
    connection_pools& pools,
    telemetry& process_telemetry,
    std::function<std::string(const service_id&)> health_path_of,
    std::function<void()> on_recorded,
    std::mt19937_64 random)
    : loop_(loop),
      shared_state_(shared_state),
      pools_(pools),
      telemetry_(process_telemetry),
      health_path_of_(std::move(health_path_of)),
      on_recorded_(std::move(on_recorded)),
      random_(random) {}

void crash_checker::OnReplyLost() {
  if (checking_) {
    return;
  }
  checking_ = true;
  check_timer_ = loop_.RunAfter(kCheckInterval, [this] { Check(); });
}

void crash_checker::OnEndpointsChanged() {
  if (checking_) {
    Check();
  }
}

void crash_checker::Check() {
  const time_point now = loop_.Now();
  endpoint_crashes& crashes = shared_state_.selector.crashes();
  FindGoneInstances();
  for (const endpoint_id& id : crashes.TakeUnchecked(now)) {
    CheckEndpoint(id);
  }
  if (crashes.TakeNeedForSignOfLife(now)) {
    CheckAnyEndpoint();
  }
  const auto confirmed = crashes.TakeConfirmed(now);
  for (const crash_suspect& suspect : confirmed) {
    Record(suspect);
  }
  if (!confirmed.empty()) {
    on_recorded_();
  }
  checking_ = !crashes.empty();
  if (checking_) {
    check_timer_ = loop_.RunAfter(
        crashes.IsUndecided(now) ? kCheckInterval : kLateCheckInterval,
        [this] { Check(); });
  }
}

void crash_checker::FindGoneInstances() {
  endpoint_crashes& crashes = shared_state_.selector.crashes();
  for (const auto& [id, started_ms] : crashes.SuspectedInstances()) {
    if (shared_state_.registry.HasEnded(id, started_ms)) {
      crashes.OnInstanceGone(loop_.Now(), id);
    }
  }
}

// An endpoint that may get no request now is asked for a connection only.
bool crash_checker::CheckEndpoint(const endpoint_id& id) {
  const auto* entry = shared_state_.registry.Find(id);
  if (entry == nullptr) {
    return false;
  }
  const std::string path = health_path_of_(entry->record.service);
  const time_point now = loop_.Now();
  if (path.empty() || !shared_state_.selector.MayProbe(now, *entry)) {
    return pools_.CheckEndpoint(id, std::nullopt);
  }
  const bool asked = pools_.CheckEndpoint(
      id, connection_pools::probe{
              .request = {.method = "GET", .path = path},
              .done = [this, id](const http_result& exchange) {
                RecordExchange(loop_.Now(), shared_state_, id, exchange);
              }});
  if (!asked) {
    return false;
  }
  shared_state_.selector.OnProbe(now, id);
  return true;
}

void crash_checker::CheckAnyEndpoint() {
  const time_point now = loop_.Now();
  const auto suspected =
      shared_state_.selector.crashes().SuspectedInstances() | std::views::keys;
  std::vector<endpoint_id> candidates;
  for (const auto& [id, entry] : shared_state_.registry.entries()) {
    if (shared_state_.selector.MayProbe(now, entry) &&
        std::ranges::find(suspected, id) == std::ranges::end(suspected)) {
      candidates.push_back(id);
    }
  }
  std::ranges::shuffle(candidates, random_);
  // A host on standby may open connections to a few endpoints only.
  std::ranges::any_of(
      candidates, [this](const endpoint_id& id) { return CheckEndpoint(id); });
}

void crash_checker::Record(const crash_suspect& suspect) {
  const bool quarantined =
      shared_state_.quarantine.OnEndpointEnded(loop_.Now(), suspect);
  const std::string request = ToString(suspect.request.content_and_caller);
  telemetry_.log->Info(
      log_message::kEndpointEnded,
      {.endpoint = suspect.endpoint,
       .detail = request,
       .inputs = {
           {"abandoned", suspect.abandoned ? 1 : 0},
           {"closed_connections", suspect.evidence == end_evidence::kClosed},
           {"instance_gone",
            suspect.evidence == end_evidence::kInstanceGone}}});
  if (quarantined) {
    telemetry_.log->Warning(log_message::kRequestQuarantined,
                            {.endpoint = suspect.endpoint, .detail = request});
  }
}

}  // namespace trefoilmill::entry
