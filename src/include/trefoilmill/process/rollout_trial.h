/// One roll-out as one host takes part in it.
///
/// A bad version may get a tenth of the requests (the exposure limit). Each
/// host by itself sends at most so much of its own requests there that the sum
/// holds whatever the others do, and whatever they hear of each other. The
/// roll-out goes through stages; a host takes the highest that it hears of:
///
///   waiting   No endpoint of the new version is ready.
///   trial     A small share of the requests shows whether it is bad.
///   ramp      The share rises, as some versions are bad under load only.
///   cutover   All requests go to the new version; those under way to the old
///             endpoints end, which stop without draining once the roll-out is
///             completed.
///   rejected  No request goes to the new version.
///
/// Each host reports what it saw to a few hosts, the deciders. Any of them, or
/// any host by its own evidence, may reject the version at once. The first of
/// the deciders begins the ramp and the cutover; the next one in line does if
/// the first does not. What is written into the store is decided here, too; the
/// first final state that the store has counts.
#ifndef TREFOILMILL_PROCESS_ROLLOUT_TRIAL_H_
#define TREFOILMILL_PROCESS_ROLLOUT_TRIAL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/process/version_evidence.h"
#include "trefoilmill/time.h"
#include "trefoilmill/version/rollout.h"

namespace trefoilmill {

/// Limit on the requests that a version which may be bad gets, over all hosts
/// and from the order to its deadline.
struct exposure_limit {
  /// Part of the service's requests; zero if no roll-outs are to be served.
  double ratio = 0;
  /// Requests beyond that.
  double slack = 0;
  friend bool operator==(const exposure_limit&,
                         const exposure_limit&) = default;
};

/// In ascending order; see the head of this file.
enum class rollout_stage { kWaiting, kTrial, kRamp, kCutover, kRejected };

/// Returns "waiting", "trial", "ramp", "cutover" or "rejected".
std::string_view ToString(rollout_stage stage);

/// What one process tells the deciders of a roll-out.
struct rollout_report {
  rollout_order order;
  /// Distinguishes the processes of one host.
  std::uint64_t process = 0;
  /// Counts the process's reports; a later one replaces an earlier one.
  std::uint64_t sequence = 0;
  rollout_stage stage = rollout_stage::kWaiting;
  /// No request of this host is under way to an old endpoint.
  bool old_idle = false;
  /// First sends to the service, and those of them to the new version.
  std::int64_t sends = 0;
  std::int64_t new_sends = 0;
  std::vector<evidence_total> totals;
};

/// State machine without I/O.
class rollout_trial {
 public:
  /// `random` draws the requests that go to the new version. `elapsed` is the
  /// time since the order.
  rollout_trial(time_point now,
                const rollout_order& order,
                duration elapsed,
                const exposure_limit& limit,
                std::mt19937_64 random);

  /// What the host sees of the service's endpoints.
  struct endpoint_view {
    /// Slots of the endpoints of the new version that are warm and usable, and
    /// of all old ones.
    std::int64_t new_slots = 0;
    std::int64_t old_slots = 0;
    /// Endpoints of the new version.
    std::size_t new_endpoints = 0;
    /// Requests of this host under way to old endpoints.
    std::size_t old_in_flight = 0;
  };
  /// What the host knows of the fleet.
  struct fleet_view {
    host_id self;
    /// Hosts among which the slack is divided.
    std::size_t sharing_hosts = 1;
    /// Position of this host among the deciders, from 0; unset if it is none.
    std::optional<std::size_t> rank;
    /// All hosts that may be sending, this one included.
    std::vector<host_id> senders;
  };

  /// Draws whether a first send goes to the new version.
  bool DrawNewVersion(time_point now);
  /// Takes in an answer of an endpoint of the new or of the old version.
  void OnAnswer(time_point now, bool is_new, const version_answer& answer);

  /// Takes in another process's report.
  void OnReport(const host_id& from, const rollout_report& report);
  /// Another host is at `stage`, `elapsed` after the order. Returns whether
  /// that is news.
  bool OnStage(time_point now, rollout_stage stage, duration elapsed);
  /// The order was withdrawn or replaced.
  void Withdraw(time_point now);

  /// Reviews the stage. To be called several times a second.
  void Update(time_point now,
              const endpoint_view& endpoints,
              const fleet_view& fleet);

  /// The next report of this process.
  rollout_report MakeReport(std::uint64_t process);
  /// The state that this host should write into the store now, if the store
  /// does not have it.
  std::optional<rollout_state> StateToWrite(time_point now,
                                            const fleet_view& fleet) const;

  const rollout_order& order() const { return order_; }
  rollout_stage stage() const { return stage_; }
  duration Elapsed(time_point now) const { return now - ordered_at_; }
  /// Why the version is rejected: "failing", "slow", "withdrawn", "deadline
  /// passed" or "by another host"; empty unless it is.
  std::string_view rejection() const { return rejection_; }
  /// The evidence on which this host rejected it.
  const std::optional<evidence_sum::finding>& finding() const {
    return finding_;
  }
  /// Answers of the new version that all known reports count.
  std::int64_t answers() const { return evidence_.answers(); }
  std::int64_t sends() const { return sends_; }
  std::int64_t new_sends() const { return new_sends_; }

 private:
  /// Part of first sends that go to the new version now.
  double Share(time_point now) const;
  /// Whether this host's turn has come to act on what all deciders see.
  bool IsOwnTurn(time_point now, const fleet_view& fleet) const;
  void RejectIfBad(time_point now, std::size_t new_endpoints);
  void Reject(time_point now, std::string_view reason);
  void Enter(time_point now, rollout_stage stage);
  /// How long the ramp lasts.
  duration RampLength() const;
  /// Whether enough is known of the new version to send it more.
  bool IsVetted(const endpoint_view& endpoints) const;
  /// Whether all hosts have ended their requests to old endpoints.
  bool IsOldIdleEverywhere(const fleet_view& fleet) const;

  rollout_order order_;
  exposure_limit limit_;
  std::mt19937_64 random_;
  time_point ordered_at_;
  rollout_stage stage_ = rollout_stage::kWaiting;
  time_point stage_since_;
  /// Since when the next step is due; unset if it is not.
  std::optional<time_point> due_since_;
  std::string_view rejection_;
  std::optional<evidence_sum::finding> finding_;

  /// Sends of this host's part of the slack that were not used.
  double slack_sends_ = 0;
  time_point slack_updated_at_;
  double slack_per_second_ = 0;
  std::int64_t sends_ = 0;
  std::int64_t new_sends_ = 0;

  version_evidence own_;
  bool own_changed_ = false;
  std::uint64_t sequence_ = 0;
  bool old_idle_ = false;
  /// What other hosts reported: the latest report of each of its processes, as
  /// those that have ended count, too, and the process that reported last.
  struct host_reports {
    std::map<std::uint64_t, rollout_report> by_process;
    std::uint64_t latest_process = 0;
  };
  std::map<host_id, host_reports> reports_;
  std::vector<evidence_total> own_counted_;
  evidence_sum evidence_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_ROLLOUT_TRIAL_H_
