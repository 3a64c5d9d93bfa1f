/// Slow start of one endpoint: the allowance of concurrent requests and
/// connections, from the cold limits up to the full ones. Only successes within
/// the deadline raise the allowance; overload, timeouts and restarts lower it.
/// See docs/design/cold-start.md.
#ifndef TREFOILMILL_WARMUP_RAMP_H_
#define TREFOILMILL_WARMUP_RAMP_H_

#include <cstdint>

#include "trefoilmill/deployment.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// The allowance of one endpoint. A cold endpoint stays cold until the
/// allowance reaches the full limits. It is suspect while it is unknown whether
/// the same instance (process) still answers. No operation fails with an error.
class warmup_ramp {
 public:
  /// Starts cold.
  explicit warmup_ramp(const endpoint_limits& limits);

  /// Maximum requests in flight; one while suspect.
  int allowed_slots() const;
  /// Maximum connections.
  int allowed_connections() const;
  /// allowed_slots() as expected once the endpoint is no longer suspect.
  int allowed_slots_once_confirmed() const { return allowed_slots_; }
  /// Whether the endpoint is neither cold nor suspect.
  bool warm() const { return !cold_ && !suspect_; }
  bool suspect() const { return suspect_; }
  /// Whether the endpoint is suspect with an allowance set by SeedAllowance().
  bool seeded() const { return suspect_ && seeded_; }
  /// Incremented each time the endpoint becomes cold or suspect. A reply is
  /// evidence only if its request was sent in the current epoch.
  std::uint64_t epoch() const { return epoch_; }
  /// Number of times the endpoint became cold; monotonic.
  std::uint64_t cold_starts() const { return cold_starts_; }
  /// The last instance seen; empty before the first.
  const instance_id& instance() const { return instance_; }

  /// Applies new limits; an endpoint with its full allowance keeps it full.
  void SetLimits(const endpoint_limits& limits);
  /// Marks the endpoint cold and resets the allowance to the cold limits.
  void ResetToCold(time_point now);
  /// Limits the endpoint to one request in flight until a reply identifies its
  /// instance.
  void MarkSuspect();
  /// Sets the allowance that the previous owner observed for `instance`. The
  /// endpoint is suspect until a reply confirms the instance.
  void SeedAllowance(const instance_id& instance, int slots);
  /// Records that `instance` replied to a request sent in epoch `sent_epoch`. A
  /// changed instance, or the first one seen while suspect, makes the endpoint
  /// cold; the known one ends the suspect state.
  void ObserveInstance(time_point now,
                       const instance_id& instance,
                       std::uint64_t sent_epoch);
  /// Records an answer within the deadline to a request sent in `sent_epoch`.
  void RecordSuccess(std::uint64_t sent_epoch);
  /// Halves the allowance after a request sent at `sent` was refused for
  /// overload or timed out. Requests sent no later than the last reduction have
  /// no further effect, so those in flight together reduce it only once.
  void HalveAllowance(time_point now, time_point sent);
  /// Handles a health report in which the endpoint declares itself cold: resets
  /// it to cold, or only postpones the next rise if it is at the cold limits.
  void OnReportedCold(time_point now);
  /// Whether there were enough successes and `limits.warmup_step` has passed
  /// since the last change.
  bool rise_due(time_point now) const;
  /// Earliest time at which rise_due() can hold, given enough successes.
  time_point next_rise_at() const { return last_change_ + limits_.warmup_step; }
  /// Whether the endpoint is not suspect, its allowance can rise and there were
  /// `limits.warmup_successes` successes.
  bool has_enough_successes() const;
  /// Raises the allowance by one slot; the endpoint is warm at the full limits.
  void RaiseAllowance(time_point now);
  /// Postpones a rise: restarts the count of successes and the step interval.
  void PostponeRise(time_point now);
  /// When the endpoint last became cold through ResetToCold().
  time_point cold_since() const { return cold_since_; }

 private:
  /// Slots of a cold endpoint.
  int ColdSlots() const;

  endpoint_limits limits_;
  bool cold_ = true;
  bool suspect_ = false;
  bool seeded_ = false;
  int allowed_slots_ = 1;
  /// Successes counted towards the next rise.
  int successes_ = 0;
  std::uint64_t epoch_ = 0;
  std::uint64_t cold_starts_ = 0;
  time_point cold_since_;
  time_point last_change_;
  time_point last_reduced_;
  instance_id instance_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_WARMUP_RAMP_H_
