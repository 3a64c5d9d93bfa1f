/// Claims on idempotency keys, kept as objects in the platform's store, so that
/// a request with a key runs at most once, whichever host it is submitted to.
/// See docs/design/idempotency.md.
#ifndef TREFOILMILL_IDEMPOTENCY_CLAIM_H_
#define TREFOILMILL_IDEMPOTENCY_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// A time of the system clock; comparable between hosts up to their clock skew.
using wall_time = std::chrono::sys_time<std::chrono::microseconds>;

/// The monotonic and the system clock, read at the same moment.
struct clock_reading {
  time_point now;
  wall_time wall;
};

/// The result of a claimed request, stored to answer resubmissions.
struct claim_outcome {
  verdict outcome = verdict::kMayHaveRun;
  reason_code reason = reason_code::kNone;
  /// The body of the answer; empty if it exceeded the size limit.
  std::string body;
  friend bool operator==(const claim_outcome&, const claim_outcome&) = default;
};

/// A claim as stored in the object store.
struct claim_record {
  enum class state {
    kClaimed,    ///< The holder may send the request, or has sent it.
    kWithdrawn,  ///< The holder has not sent the request and never will.
    kFinished,   ///< The request ended; `outcome` is set.
  };
  idempotency_key key;
  /// Detects a different request that reuses the key by mistake.
  std::uint64_t request_digest = 0;
  /// Unique to one attempt to claim.
  std::string nonce;
  host_id holder;
  state status = state::kClaimed;
  /// The claim is void from this time on.
  wall_time expires;
  std::optional<claim_outcome> outcome;
  friend bool operator==(const claim_record&, const claim_record&) = default;
};

/// The name of the claim's object in the store: `claims/` and the 128-bit hash
/// of the key in hex.
std::string ClaimObjectName(const idempotency_key& key);

/// A token bucket that bounds how many claims a host makes per second. It
/// starts full and holds the tokens of one second.
class claim_rate_limiter {
 public:
  claim_rate_limiter(time_point now, int claims_per_second);
  /// Takes a token. Returns nothing on success, or the delay until a token is
  /// available; 1 second if the rate is 0.
  std::optional<duration> TryAcquire(time_point now);
  /// Sets the refill rate and the capacity.
  void SetRate(int claims_per_second) {
    claims_per_second_ = claims_per_second;
  }

 private:
  double claims_per_second_;
  double tokens_;
  time_point last_refill_;
};

/// The claim on a key by one request, as a state machine without I/O or timers.
/// The caller passes in events and performs the returned actions in order.
///
/// A claim is held once its record is known to be stored. When the request has
/// ended, the final state is stored: the outcome, or a withdrawal that frees
/// the key. A write whose reply was lost is resolved by reading the object.
class idempotency_claim {
 public:
  /// Limits of one claim.
  struct config {
    /// Lifetime of a claim.
    duration ttl = std::chrono::hours(24);
    /// First delay between calls to the store; doubles up to eight times this.
    duration backoff_min = std::chrono::milliseconds(20);
    /// Larger bodies, in bytes, are not stored.
    std::size_t max_stored_body_bytes = 65536;
    /// Most writes of the final state, and most backoffs before a failed read
    /// ends the attempts to store it.
    int max_final_state_attempts = 5;
  };

  /// @name Actions
  /// @{
  /// Writes the record, on condition that the object is at `expected` or, if
  /// unset, does not exist. The caller answers with PutReply().
  struct store_put {
    std::optional<revision> expected;
    claim_record record;
  };
  /// Reads the object. The caller answers with GetReply().
  struct store_get {};
  /// The claim is held: send the request while this action is performed, not
  /// later.
  struct run {};
  /// Never send the request; answer with this failure.
  struct refuse {
    failure why;
  };
  /// Never send the request; answer with the stored outcome.
  struct replay {
    claim_outcome stored_outcome;
  };
  /// Call Tick() at this time.
  struct wake {
    time_point at;
  };
  /// No further action follows; the claim may be destroyed.
  struct done {};
  using action =
      std::variant<store_put, store_get, run, refuse, replay, wake, done>;
  using actions = std::vector<action>;
  /// @}

  /// @name Replies of the store
  /// @{
  /// The record was written at this revision.
  struct put_written {
    revision at;
  };
  /// The write's condition did not hold.
  struct put_conflict {};
  /// The call failed or its reply was lost: the write may have taken effect or
  /// may still do so.
  struct put_unknown {};
  using put_reply = std::variant<put_written, put_conflict, put_unknown>;
  /// The object exists.
  struct get_found {
    revision at;
    claim_record record;
  };
  /// The object does not exist.
  struct get_absent {};
  /// The call failed or the object could not be parsed.
  struct get_failed {};
  using get_reply = std::variant<get_found, get_absent, get_failed>;
  /// @}

  /// `nonce` must be unique over all hosts and all time. The request is refused
  /// if the claim is not held by `claim_deadline`.
  idempotency_claim(idempotency_key key,
                    std::uint64_t request_digest,
                    std::string nonce,
                    host_id holder,
                    time_point claim_deadline,
                    config settings);

  /// @name Events
  /// Each returns the actions to perform, and nothing if the event does not
  /// apply to the current state.
  /// @{
  /// Starts the claim. Call once.
  actions Start(clock_reading clock);
  /// The reply to a store_put.
  actions PutReply(clock_reading clock, const put_reply& reply);
  /// The reply to a store_get.
  actions GetReply(clock_reading clock, const get_reply& reply);
  /// The time of a wake has come.
  actions Tick(clock_reading clock);
  /// The request of a held claim ended. An outcome of kNotRun withdraws the
  /// claim, which frees the key.
  actions Finish(clock_reading clock, claim_outcome outcome);
  /// @}

 private:
  enum class phase {
    kNew,
    kWritingClaim,         ///< Waits for the reply to a write of the claim.
    kReadingClaim,         ///< Reads the object to see who holds the key.
    kClaimBackoff,         ///< Waits before it reads again.
    kHeld,                 ///< The request is running.
    kAbandoned,            ///< Refused while a write of the claim was open.
    kWritingFinalState,    ///< Writes the outcome or the withdrawal.
    kVerifyingFinalState,  ///< Reads whether that write took effect.
    kFinalStateBackoff,    ///< Waits before it reads again.
    kDone,
  };

  /// Writes the claim over revision `over`, or creates it if unset. Refuses if
  /// the claim deadline has passed.
  actions WriteClaim(clock_reading clock, std::optional<revision> over);
  actions ReadObject(phase next);
  actions BackOff(clock_reading clock, phase next);
  /// Holds, takes over, replays or refuses, depending on the stored record.
  actions HandleFound(clock_reading clock, const get_found& found);
  actions HoldClaim(clock_reading clock, revision at);
  /// Puts a refusal in front of the actions `then`.
  static actions Refuse(failure why, actions then);
  /// Withdraws a claim that may or may not be stored.
  actions Abandon();
  actions Withdraw(std::optional<revision> over);
  actions WriteFinalState(std::optional<revision> over);
  actions VerifyFinalState(clock_reading clock, const get_reply& reply);
  actions Complete();
  bool IsOwnRecord(const claim_record& record) const;
  bool IsClaiming() const;

  /// The claim, with the status that is to be stored.
  claim_record own_record_;
  time_point claim_deadline_;
  config config_;
  phase phase_ = phase::kNew;
  /// The revision of the held claim.
  revision held_revision_;
  time_point backoff_until_;
  /// Backoffs since the claim was started, held or withdrawn.
  int backoff_count_ = 0;
  int final_state_writes_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_IDEMPOTENCY_CLAIM_H_
