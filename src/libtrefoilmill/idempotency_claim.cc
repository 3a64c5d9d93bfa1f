#include "trefoilmill/idempotency_claim.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace trefoilmill {
namespace {

/// Longest backoff, as a multiple of the first.
constexpr int kMaxBackoffFactor = 8;
/// Retry delay suggested with a refusal: another host's request may have ended
/// by then, or the store may have recovered.
constexpr duration kRetryDelay = std::chrono::milliseconds(200);

std::string ToHex(XXH128_hash_t hash) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  std::string text;
  for (const unsigned char byte : canonical.digest) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

failure StoreUnavailableFailure() {
  return {.outcome = verdict::kNotRun,
          .reason = reason_code::kStoreUnavailable,
          .detail =
              "store did not confirm the claim on the idempotency key in time",
          .retry_after = kRetryDelay};
}

failure KeyMismatchFailure() {
  return {.outcome = verdict::kNotRun,
          .reason = reason_code::kKeyInUse,
          .detail = "idempotency key was already used for a different request",
          .retry_after = std::nullopt};
}

/// Another host is running the same request, or failed while it held the claim.
failure ClaimedByOtherHostFailure(const host_id& holder) {
  return {.outcome = verdict::kMayHaveRun,
          .reason = reason_code::kKeyInUse,
          .detail = "idempotency key is claimed by host " + holder.value(),
          .retry_after = kRetryDelay};
}

}  // namespace

std::string ClaimObjectName(const idempotency_key& key) {
  const std::string& text = key.value();
  return "claims/" + ToHex(XXH3_128bits(text.data(), text.size()));
}

idempotency_claim::idempotency_claim(idempotency_key key,
                                     std::uint64_t request_digest,
                                     std::string nonce,
                                     host_id holder,
                                     time_point claim_deadline,
                                     config settings)
    : claim_deadline_(claim_deadline), config_(settings) {
  own_record_.key = std::move(key);
  own_record_.request_digest = request_digest;
  own_record_.nonce = std::move(nonce);
  own_record_.holder = std::move(holder);
}

idempotency_claim::actions idempotency_claim::Start(clock_reading clock) {
  if (phase_ != phase::kNew) {
    return {};
  }
  return WriteClaim(clock, std::nullopt);
}

idempotency_claim::actions idempotency_claim::PutReply(clock_reading clock,
                                                       const put_reply& reply) {
  const auto* written = std::get_if<put_written>(&reply);
  const bool unknown = std::holds_alternative<put_unknown>(reply);
  switch (phase_) {
    case phase::kWritingClaim:
      if (written != nullptr) {
        return HoldClaim(clock, written->at);
      }
      return unknown ? BackOff(clock, phase::kClaimBackoff)
                     : ReadObject(phase::kReadingClaim);
    case phase::kAbandoned:
      return written != nullptr ? WriteFinalState(written->at)
                                : ReadObject(phase::kVerifyingFinalState);
    case phase::kWritingFinalState:
      if (written != nullptr) {
        return Complete();
      }
      return unknown ? BackOff(clock, phase::kFinalStateBackoff)
                     : ReadObject(phase::kVerifyingFinalState);
    default:
      return {};
  }
}

idempotency_claim::actions idempotency_claim::GetReply(clock_reading clock,
                                                       const get_reply& reply) {
  if (phase_ == phase::kVerifyingFinalState) {
    return VerifyFinalState(clock, reply);
  }
  if (phase_ != phase::kReadingClaim) {
    return {};
  }
  if (const auto* found = std::get_if<get_found>(&reply)) {
    return HandleFound(clock, *found);
  }
  if (std::holds_alternative<get_absent>(reply)) {
    // The earlier write may still arrive. Both carry the same nonce, so either
    // one establishes the claim.
    return WriteClaim(clock, std::nullopt);
  }
  return BackOff(clock, phase::kClaimBackoff);
}

idempotency_claim::actions idempotency_claim::Tick(clock_reading clock) {
  if (IsClaiming() && clock.now >= claim_deadline_) {
    return Refuse(StoreUnavailableFailure(), Abandon());
  }
  if (clock.now >= backoff_until_) {
    if (phase_ == phase::kClaimBackoff) {
      return ReadObject(phase::kReadingClaim);
    }
    if (phase_ == phase::kFinalStateBackoff) {
      return ReadObject(phase::kVerifyingFinalState);
    }
  }
  return {};
}

idempotency_claim::actions idempotency_claim::Finish(clock_reading /*clock*/,
                                                     claim_outcome outcome) {
  if (phase_ != phase::kHeld) {
    return {};
  }
  if (outcome.outcome == verdict::kNotRun) {
    return Withdraw(held_revision_);
  }
  if (outcome.body.size() > config_.max_stored_body_bytes) {
    outcome.body.clear();
  }
  own_record_.status = claim_record::state::kFinished;
  own_record_.outcome = std::move(outcome);
  return WriteFinalState(held_revision_);
}

idempotency_claim::actions idempotency_claim::WriteClaim(
    clock_reading clock,
    std::optional<revision> over) {
  if (clock.now >= claim_deadline_) {
    return phase_ == phase::kNew
               ? Refuse(StoreUnavailableFailure(), Complete())
               : Refuse(StoreUnavailableFailure(), Withdraw(over));
  }
  phase_ = phase::kWritingClaim;
  own_record_.expires = clock.wall + config_.ttl;
  return {store_put{.expected = over, .record = own_record_},
          wake{claim_deadline_}};
}

idempotency_claim::actions idempotency_claim::ReadObject(phase next) {
  phase_ = next;
  return {store_get{}};
}

idempotency_claim::actions idempotency_claim::BackOff(clock_reading clock,
                                                      phase next) {
  const int factor =
      std::min(kMaxBackoffFactor, 1 << std::min(backoff_count_, 8));
  ++backoff_count_;
  phase_ = next;
  backoff_until_ = clock.now + factor * config_.backoff_min;
  if (next == phase::kClaimBackoff) {
    backoff_until_ = std::min(backoff_until_, claim_deadline_);
  }
  return {wake{backoff_until_}};
}

idempotency_claim::actions idempotency_claim::HandleFound(
    clock_reading clock,
    const get_found& found) {
  const claim_record& record = found.record;
  if (IsOwnRecord(record)) {
    return HoldClaim(clock, found.at);
  }
  if (record.key != own_record_.key) {
    return Refuse(KeyMismatchFailure(), Complete());
  }
  const bool is_claimable = record.status == claim_record::state::kWithdrawn ||
                            clock.wall >= record.expires;
  if (is_claimable) {
    return WriteClaim(clock, found.at);
  }
  if (record.request_digest != own_record_.request_digest) {
    return Refuse(KeyMismatchFailure(), Complete());
  }
  if (record.status == claim_record::state::kFinished) {
    actions out = {replay{record.outcome.value_or(claim_outcome{})}};
    std::ranges::copy(Complete(), std::back_inserter(out));
    return out;
  }
  return Refuse(ClaimedByOtherHostFailure(record.holder), Complete());
}

idempotency_claim::actions idempotency_claim::HoldClaim(clock_reading clock,
                                                        revision at) {
  if (clock.now >= claim_deadline_) {
    return Refuse(StoreUnavailableFailure(), Withdraw(at));
  }
  held_revision_ = at;
  phase_ = phase::kHeld;
  backoff_count_ = 0;
  return {run{}};
}

idempotency_claim::actions idempotency_claim::Refuse(failure why,
                                                     actions then) {
  then.insert(then.begin(), refuse{std::move(why)});
  return then;
}

idempotency_claim::actions idempotency_claim::Abandon() {
  own_record_.status = claim_record::state::kWithdrawn;
  backoff_count_ = 0;
  switch (phase_) {
    case phase::kWritingClaim:
      // The reply to the open write determines the revision to withdraw.
      phase_ = phase::kAbandoned;
      return {};
    case phase::kReadingClaim:
      // The reply to the open read is used to verify the withdrawal.
      phase_ = phase::kVerifyingFinalState;
      return {};
    default:
      return ReadObject(phase::kVerifyingFinalState);
  }
}

idempotency_claim::actions idempotency_claim::Withdraw(
    std::optional<revision> over) {
  own_record_.status = claim_record::state::kWithdrawn;
  backoff_count_ = 0;
  return WriteFinalState(over);
}

idempotency_claim::actions idempotency_claim::WriteFinalState(
    std::optional<revision> over) {
  if (final_state_writes_ >= config_.max_final_state_attempts) {
    return Complete();
  }
  ++final_state_writes_;
  phase_ = phase::kWritingFinalState;
  return {store_put{.expected = over, .record = own_record_}};
}

idempotency_claim::actions idempotency_claim::VerifyFinalState(
    clock_reading clock,
    const get_reply& reply) {
  if (std::holds_alternative<get_failed>(reply)) {
    if (backoff_count_ >= config_.max_final_state_attempts) {
      return Complete();
    }
    return BackOff(clock, phase::kFinalStateBackoff);
  }
  const auto* found = std::get_if<get_found>(&reply);
  if (found == nullptr) {
    // Creates the object, so that a delayed write of the claim meets a
    // conflict.
    return WriteFinalState(std::nullopt);
  }
  if (!IsOwnRecord(found->record) ||
      found->record.status == own_record_.status) {
    return Complete();
  }
  return WriteFinalState(found->at);
}

idempotency_claim::actions idempotency_claim::Complete() {
  phase_ = phase::kDone;
  return {done{}};
}

bool idempotency_claim::IsOwnRecord(const claim_record& record) const {
  return record.nonce == own_record_.nonce;
}

bool idempotency_claim::IsClaiming() const {
  return phase_ == phase::kWritingClaim || phase_ == phase::kReadingClaim ||
         phase_ == phase::kClaimBackoff;
}

}  // namespace trefoilmill
