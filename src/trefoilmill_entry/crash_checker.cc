#include "trefoilmill_entry/crash_checker.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "trefoilmill/wire/log_messages.h"

namespace trefoilmill::entry {
namespace {

constexpr duration kCheckInterval = std::chrono::milliseconds(10);

}  // namespace

crash_checker::crash_checker(event_loop& loop,
                             shared_request_state& shared_state,
                             connection_pools& pools,
                             telemetry& process_telemetry,
                             std::function<void()> on_recorded,
                             std::mt19937_64 random)
    : loop_(loop),
      shared_state_(shared_state),
      pools_(pools),
      telemetry_(process_telemetry),
      on_recorded_(std::move(on_recorded)),
      random_(random) {}

void crash_checker::OnReplyLost() {
  if (checking_) {
    return;
  }
  checking_ = true;
  check_timer_ = loop_.RunAfter(kCheckInterval, [this] { Check(); });
}

void crash_checker::Check() {
  const time_point now = loop_.Now();
  endpoint_crashes& crashes = shared_state_.selector.crashes();
  for (const endpoint_id& id : crashes.TakeUnchecked(now)) {
    pools_.CheckEndpoint(id);
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
    check_timer_ = loop_.RunAfter(kCheckInterval, [this] { Check(); });
  }
}

void crash_checker::CheckAnyEndpoint() {
  const time_point now = loop_.Now();
  std::vector<endpoint_id> candidates;
  for (const auto& [id, entry] : shared_state_.registry.entries()) {
    if (shared_state_.selector.MayProbe(now, entry)) {
      candidates.push_back(id);
    }
  }
  std::ranges::shuffle(candidates, random_);
  // A host on standby may open connections to a few endpoints only.
  std::ranges::any_of(candidates, [this](const endpoint_id& id) {
    return pools_.CheckEndpoint(id);
  });
}

void crash_checker::Record(const crash_suspect& suspect) {
  const bool quarantined =
      shared_state_.quarantine.OnEndpointEnded(loop_.Now(), suspect);
  const std::string request = ToString(suspect.request.content_and_caller);
  telemetry_.log->Info(log_message::kEndpointEnded,
                       {.endpoint = suspect.endpoint,
                        .detail = request,
                        .inputs = {{"abandoned", suspect.abandoned ? 1 : 0}}});
  if (quarantined) {
    telemetry_.log->Warning(log_message::kRequestQuarantined,
                            {.endpoint = suspect.endpoint, .detail = request});
  }
}

}  // namespace trefoilmill::entry
