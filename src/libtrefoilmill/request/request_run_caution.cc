/// Requests that may end the endpoints that run them: such a request is sent to
/// one endpoint at a time until one has replied, and to none after a few.
#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "trefoilmill/request/request_run.h"

namespace trefoilmill {
namespace {

/// A host whose links are whole hears of some endpoint in this time, as long as
/// requests are in progress.
constexpr duration kHeardOfEndpoints = std::chrono::milliseconds(100);
/// After this time it is looked again whether that is so.
constexpr duration kWarningPostponement = std::chrono::milliseconds(50);

}  // namespace

request_standing request_run::Standing(
    time_point now,
    const shared_request_state& shared) const {
  return identity_.has_value() ? shared.quarantine.StandingOf(now, *identity_)
                               : request_standing::kClear;
}

bool request_run::IsCautious() const {
  return counts_.answered == 0 && caution_.is_cautious();
}

bool request_run::HasStrikes(const shared_request_state& shared) const {
  return identity_.has_value() && shared.quarantine.HasStrikes(*identity_);
}

bool request_run::MustStop(time_point now,
                           const shared_request_state& shared) const {
  return counts_.answered == 0 &&
         (caution_.MustStop(HasStrikes(shared)) ||
          Standing(now, shared) == request_standing::kQuarantined);
}

void request_run::CountUnanswered(attempt& a) {
  if (counts_.answered == 0 && !std::exchange(a.unanswered, true)) {
    caution_.OnUnanswered(a.sent_alone);
  }
}

void request_run::CountLateAttempts(time_point now, duration delay) {
  for (shard& s : shards_) {
    for (attempt& a : s.in_flight) {
      if (now - a.sent >= delay) {
        CountUnanswered(a);
      }
    }
  }
}

void request_run::HedgeCautiously(time_point now,
                                  shared_request_state& shared,
                                  duration delay,
                                  actions& out) {
  const bool awaits_reply = std::ranges::any_of(shards_, [](const shard& s) {
    return std::ranges::any_of(s.in_flight,
                               [](const attempt& a) { return !a.unanswered; });
  });
  if (awaits_reply || MustStop(now, shared)) {
    return;
  }
  const std::size_t sends = counts_.sends;
  for (const std::size_t index : CautiousOrder(now, shared)) {
    if (counts_.sends > sends || awaiting_capacity()) {
      return;
    }
    const shard& s = shards_[index];
    if (s.held) {
      SendHeld(now, shared, index, out);
    } else if (MayHedge(now, s) && HedgeTime(s, delay) <= now) {
      HedgeShard(now, shared, index, out);
    }
  }
}

std::optional<request_run::due_warning> request_run::NextWarning(
    const shared_request_state& shared) const {
  if (counts_.answered > 0 || !identity_.has_value() ||
      !caution_.has_unanswered()) {
    return std::nullopt;
  }
  const std::size_t endpoints_per_shard =
      route_->retry == retry_rule::kIdempotent
          ? static_cast<std::size_t>(route_->max_endpoints)
          : 1;
  const silence_warning what = caution_.NextWarning(
      shards_.size() * endpoints_per_shard, HasStrikes(shared));
  std::vector<time_point> sent;
  for (const shard& s : shards_) {
    std::ranges::transform(s.in_flight, std::back_inserter(sent),
                           &attempt::sent);
  }
  if (what == silence_warning::kNone || sent.empty()) {
    return std::nullopt;
  }
  const auto [first, last] = std::ranges::minmax(sent);
  const time_point silent_since =
      what == silence_warning::kSuspect ? first : last;
  const time_point due = silent_since + request_caution::WarningDelay(
                                            ExpectedLatency(shared, *route_));
  return due_warning{.what = what,
                     .silent_since = silent_since,
                     .at = std::max(due, caution_.postponed_until())};
}

void request_run::WarnOfSilence(time_point now, shared_request_state& shared) {
  const auto warning = NextWarning(shared);
  if (finished_ || !warning.has_value() || warning->at > now) {
    return;
  }
  // A host that hears of no endpoint may have lost its links. If it hears of
  // one after a long silence, it had.
  if (!shared.silences.AnyAfter(now - kHeardOfEndpoints)) {
    shared.selector.reach().RequestSignOfLife();
    caution_.PostponeWarning(now + kWarningPostponement);
    return;
  }
  caution_.OnWarned(warning->what);
  if (!shared.silences.WasSilent(warning->silent_since)) {
    counts_.warned = warning->what;
    shared.quarantine.OnSuspected(now, *identity_,
                                  warning->what == silence_warning::kRefuse);
  }
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
                             attempt lost,
                             reason_code reason) {
  const bool broken = !finished_ && reason == reason_code::kConnectionReset;
  if (broken) {
    CountUnanswered(lost);
  }
  if (counts_.answered > 0 || !identity_.has_value()) {
    return;
  }
  crash_suspect suspect{.endpoint = lost.endpoint,
                        .started_ms = lost.started_ms,
                        .request = *identity_,
                        .abandoned = !broken,
                        .lost_at = now};
  const bool was_up =
      shared.responses.WasUp(lost.sent, lost.endpoint) &&
      shared.silences.AnyAround(lost.sent) &&
      !endpoint_selector::IsLate(lost.sent, lost.oldest_at_endpoint,
                                 ExpectedLatency(shared, *route_));
  if (was_up && lost.unanswered) {
    suspect.sent_to_live_at = lost.sent;
  }
  shared.selector.crashes().OnReplyLost(suspect);
}

void request_run::RecordFailure(time_point now,
                                shared_request_state& shared) const {
  if (finished_ && counts_.answered == 0 && caution_.has_unanswered() &&
      identity_.has_value()) {
    shared.quarantine.OnSuspected(now, *identity_, /*refuse=*/false);
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
  for (const std::size_t index : CautiousOrder(now, shared)) {
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
