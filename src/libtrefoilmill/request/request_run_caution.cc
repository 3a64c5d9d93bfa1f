/// Requests that may end the endpoints that run them: such a request is sent to
/// one endpoint at a time until one has replied, and to none after a few.
#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

#include "trefoilmill/request/request_run.h"

namespace trefoilmill {
namespace {

/// Unanswered attempts without any reply after which a request that is not
/// suspect goes to one endpoint at a time.
constexpr std::size_t kUnansweredToCaution = 2;
/// Unanswered attempts, sent one at a time, after which it goes to no other.
/// Several may be in flight, for no fault of their own, at endpoints that end
/// together.
constexpr std::size_t kUnansweredToStop = 2;
/// A request without any reply is suspect after so many expected latencies, and
/// after this time at least. All hosts hear of each, and sooner most of them
/// would only be slow.
constexpr int kSuspicionLatencies = 8;
constexpr duration kMinSuspicionDelay = std::chrono::milliseconds(200);

}  // namespace

request_standing request_run::Standing(
    time_point now,
    const shared_request_state& shared) const {
  return identity_.has_value() ? shared.quarantine.StandingOf(now, *identity_)
                               : request_standing::kClear;
}

bool request_run::IsCautious() const {
  return counts_.answered == 0 &&
         (suspect_ || unanswered_attempts_ >= kUnansweredToCaution);
}

bool request_run::MustStop(time_point now,
                           const shared_request_state& shared) const {
  if (counts_.answered > 0) {
    return false;
  }
  return unanswered_cautious_attempts_ >= MaxUnansweredCautious(shared) ||
         Standing(now, shared) == request_standing::kQuarantined;
}

std::size_t request_run::MaxUnansweredCautious(
    const shared_request_state& shared) const {
  const bool has_strikes =
      identity_.has_value() && shared.quarantine.HasStrikes(*identity_);
  return has_strikes ? 1 : kUnansweredToStop;
}

std::vector<std::size_t> request_run::CautiousOrder(
    time_point now,
    const shared_request_state& shared) const {
  std::vector<std::size_t> order(shards_.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  if (!IsCautious()) {
    return order;
  }
  const duration expected = ExpectedLatency(shared, *route_);
  std::ranges::stable_partition(order, [&](std::size_t index) {
    return std::ranges::any_of(
        shared.registry.EndpointsOf(shards_[index].service),
        [&](const endpoint_id& id) {
          return shared.selector.IsKnownToBeUp(now, id, expected);
        });
  });
  return order;
}

void request_run::CountUnanswered(attempt& a) {
  if (std::exchange(a.unanswered, true) || counts_.answered > 0) {
    return;
  }
  ++unanswered_attempts_;
  unanswered_cautious_attempts_ += a.cautious ? 1 : 0;
}

void request_run::CountLateAttempts(time_point now, duration delay) {
  if (counts_.answered > 0) {
    return;
  }
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
                                  actions& out) {
  const bool waits =
      awaiting_capacity() || std::ranges::any_of(shards_, [](const shard& s) {
        return std::ranges::any_of(
            s.in_flight, [](const attempt& a) { return !a.unanswered; });
      });
  if (waits || MustStop(now, shared)) {
    return;
  }
  const std::size_t sends = counts_.sends;
  for (const std::size_t index : CautiousOrder(now, shared)) {
    if (counts_.sends > sends || awaiting_capacity()) {
      return;
    }
    if (shards_[index].held) {
      SendHeld(now, shared, index, out);
    } else if (MayHedge(now, shards_[index])) {
      HedgeShard(now, shared, index, out);
    }
  }
}

std::optional<time_point> request_run::SuspicionTime(
    const shared_request_state& shared) const {
  // A single late reply says little where a second endpoint may be tried.
  const bool has_second_attempt =
      shards_.size() >= kUnansweredToCaution ||
      (route_->retry == retry_rule::kIdempotent && route_->max_endpoints > 1);
  const std::size_t needed = has_second_attempt ? kUnansweredToCaution : 1;
  const bool is_next_refusal = warned_ == warning::kSuspect;
  if (counts_.answered > 0 || !identity_.has_value() ||
      warned_ == warning::kRefuse || unanswered_attempts_ < needed ||
      (is_next_refusal &&
       unanswered_cautious_attempts_ < MaxUnansweredCautious(shared))) {
    return std::nullopt;
  }
  std::vector<time_point> sent;
  for (const shard& s : shards_) {
    std::ranges::transform(s.in_flight, std::back_inserter(sent),
                           &attempt::sent);
  }
  if (sent.empty()) {
    return std::nullopt;
  }
  const auto [first, last] = std::ranges::minmax(sent);
  return (is_next_refusal ? last : first) +
         std::max<duration>(
             kMinSuspicionDelay,
             kSuspicionLatencies * ExpectedLatency(shared, *route_));
}

// A host that hears of no endpoint may have lost its links, and blames nobody.
void request_run::RecordSilence(time_point now, shared_request_state& shared) {
  const auto suspicion = SuspicionTime(shared);
  if (finished_ || !suspicion.has_value() || *suspicion > now) {
    return;
  }
  const bool refuse = warned_ == warning::kSuspect;
  warned_ = refuse ? warning::kRefuse : warning::kSuspect;
  if (shared.selector.crashes().AnyAliveAfter(now - kMinSuspicionDelay / 2)) {
    shared.quarantine.OnSuspected(now, *identity_, refuse);
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
  const auto* entry = shared.registry.Find(lost.endpoint);
  if (counts_.answered > 0 || !identity_.has_value()) {
    return;
  }
  crash_suspect suspect{
      .endpoint = lost.endpoint,
      .started_ms = entry == nullptr ? 0 : entry->record.started_ms,
      .request = *identity_,
      .abandoned = !broken,
      .lost_at = now};
  const bool was_up =
      shared.selector.crashes().IsFresh(lost.sent, lost.endpoint) &&
      !endpoint_selector::IsLate(lost.sent, lost.oldest_at_endpoint,
                                 ExpectedLatency(shared, *route_));
  if (was_up && lost.unanswered) {
    suspect.sent_to_live_at = lost.sent;
  }
  shared.selector.crashes().OnReplyLost(suspect);
}

void request_run::RecordFailure(time_point now,
                                shared_request_state& shared) const {
  if (finished_ && counts_.answered == 0 && unanswered_attempts_ > 0 &&
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
