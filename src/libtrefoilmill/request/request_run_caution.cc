/// Requests that may end the endpoints that run them: such a request is sent to
/// one endpoint at a time until one has replied, and to none after a few.
#include <algorithm>

#include "trefoilmill/request/request_run.h"

namespace trefoilmill {
namespace {

/// Broken attempts without any reply after which a request that is not suspect
/// goes to one endpoint at a time.
constexpr std::size_t kBrokenToCaution = 2;
/// Broken attempts, sent one at a time, after which it goes to no other.
/// Several may be in flight, for no fault of their own, at endpoints that end
/// together.
constexpr std::size_t kBrokenToStop = 2;

}  // namespace

request_standing request_run::Standing(
    time_point now,
    const shared_request_state& shared) const {
  return identity_.has_value() ? shared.quarantine.StandingOf(now, *identity_)
                               : request_standing::kClear;
}

bool request_run::IsCautious() const {
  return counts_.answered == 0 &&
         (suspect_ || broken_attempts_ >= kBrokenToCaution);
}

bool request_run::MustStop(time_point now,
                           const shared_request_state& shared) const {
  if (counts_.answered > 0) {
    return false;
  }
  const bool has_strikes =
      identity_.has_value() && shared.quarantine.HasStrikes(*identity_);
  return broken_cautious_attempts_ >= (has_strikes ? 1 : kBrokenToStop) ||
         Standing(now, shared) == request_standing::kQuarantined;
}

bool request_run::awaiting_capacity() const {
  return std::ranges::any_of(shards_, &shard::awaiting_capacity);
}

void request_run::RecordReply(time_point now,
                              shared_request_state& shared) const {
  if (identity_.has_value()) {
    shared.selector.crashes().Exonerate(*identity_);
    shared.quarantine.OnReplied(now, *identity_);
  }
}

void request_run::RecordLoss(time_point now,
                             shared_request_state& shared,
                             const attempt& lost,
                             reason_code reason) {
  const bool broken = !finished_ && reason == reason_code::kConnectionReset;
  broken_attempts_ += broken ? 1 : 0;
  broken_cautious_attempts_ += broken && lost.cautious ? 1 : 0;
  const auto* entry = shared.registry.Find(lost.endpoint);
  if (counts_.answered > 0 || !identity_.has_value()) {
    return;
  }
  shared.selector.crashes().OnReplyLost(
      {.endpoint = lost.endpoint,
       .started_ms = entry == nullptr ? 0 : entry->record.started_ms,
       .request = *identity_,
       .abandoned = !broken,
       .lost_at = now});
}

void request_run::RecordFailure(time_point now,
                                shared_request_state& shared) const {
  if (finished_ && counts_.answered == 0 && broken_attempts_ > 0 &&
      identity_.has_value()) {
    shared.quarantine.OnSuspected(now, *identity_);
  }
}

void request_run::Hold(time_point now,
                       shared_request_state& shared,
                       std::size_t index,
                       actions& out) {
  shards_[index].held = true;
  if (!in_flight() && !awaiting_capacity()) {
    SendNextHeld(now, shared, out);
  }
}

void request_run::SendNextHeld(time_point now,
                               shared_request_state& shared,
                               actions& out) {
  for (std::size_t index = 0; index < shards_.size(); ++index) {
    if (in_flight() || awaiting_capacity()) {
      return;
    }
    SendHeld(now, shared, index, out);
  }
}

void request_run::ReleaseHeld(time_point now,
                              shared_request_state& shared,
                              actions& out) {
  for (std::size_t index = 0; index < shards_.size(); ++index) {
    SendHeld(now, shared, index, out);
  }
}

void request_run::SendHeld(time_point now,
                           shared_request_state& shared,
                           std::size_t index,
                           actions& out) {
  shard& s = shards_[index];
  if (!s.held) {
    return;
  }
  s.held = false;
  if (!s.tried_endpoints.empty()) {
    Retry(now, shared, index, out);
    return;
  }
  if (MustStop(now, shared)) {
    FailShard(now, shared, s, resend_obstacle::kEndpointsEnded);
    return;
  }
  Dispatch(now, shared, index, out);
  CountFirstSend(now, shared, s);
}

}  // namespace trefoilmill
