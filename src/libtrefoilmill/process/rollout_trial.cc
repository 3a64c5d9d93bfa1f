#include "trefoilmill/process/rollout_trial.h"

#include <algorithm>
#include <ranges>

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;

/// Part of the exposure limit that the trial uses; the rest is for the ramp and
/// for what a version that turns bad late gets until it is rejected.
constexpr double kTrialFraction = 0.3;
/// Part of the slack that is divided among the hosts.
constexpr double kSlackFraction = 0.6;
/// Most sends of its slack that a host saves up.
constexpr double kMaxSlackSends = 3;
/// The ramp lasts for this part of the roll-out, within bounds.
constexpr double kRampFraction = 0.05;
constexpr duration kMinRamp = milliseconds(600);
constexpr duration kMaxRamp = milliseconds(3000);
/// Share at which the ramp begins.
constexpr double kRampStart = 0.1;
/// Reserved before the deadline: for the cutover to reach all hosts, for
/// requests under way to old endpoints, and for the write.
constexpr duration kCutoverReserve = milliseconds(1600);
/// A cutover lasts so long at least, in which a version that is bad under load
/// shows.
constexpr duration kMinCutover = milliseconds(600);
/// The trial needs so many answers, unless the service had fewer requests than
/// kIdleSends in all.
constexpr std::int64_t kMinAnswers = 12;
constexpr std::int64_t kIdleSends = 100;
/// The new version needs this part of the old one's slots.
constexpr double kMinSlotRatio = 0.75;
/// Hosts that do not confirm the cutover are waited for until so long after the
/// deadline.
constexpr duration kMaxConfirmationWait = milliseconds(3000);
/// How much later than the one before it the next decider in line acts.
constexpr duration kTurn = milliseconds(700);

/// Counts and evidence of a report are at most this far from zero, so that sums
/// of them do not overflow.
constexpr std::int64_t kMaxReported = 1'000'000'000;

bool IsPlausible(std::int64_t reported) {
  return reported >= -kMaxReported && reported <= kMaxReported;
}

bool IsPlausible(const rollout_report& report) {
  return IsPlausible(report.sends) &&
         std::ranges::all_of(report.totals, [](const evidence_total& total) {
           return IsPlausible(total.answers) && IsPlausible(total.failures) &&
                  IsPlausible(total.failing_milli) &&
                  IsPlausible(total.slow_milli);
         });
}

}  // namespace

std::string_view ToString(rollout_stage stage) {
  switch (stage) {
    case rollout_stage::kWaiting:
      return "waiting";
    case rollout_stage::kTrial:
      return "trial";
    case rollout_stage::kRamp:
      return "ramp";
    case rollout_stage::kCutover:
      return "cutover";
    case rollout_stage::kRejected:
      return "rejected";
  }
  return "unknown";
}

rollout_trial::rollout_trial(time_point now,
                             const rollout_order& order,
                             duration elapsed,
                             const exposure_limit& limit,
                             std::mt19937_64 random)
    : order_(order),
      limit_(limit),
      random_(random),
      ordered_at_(now - elapsed),
      stage_since_(now),
      slack_updated_at_(now) {}

duration rollout_trial::RampLength() const {
  const auto part = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, duration::period>(order_.length) *
      kRampFraction);
  return std::clamp(part, kMinRamp, kMaxRamp);
}

double rollout_trial::Share(time_point now) const {
  switch (stage_) {
    case rollout_stage::kWaiting:
    case rollout_stage::kRejected:
      return 0;
    case rollout_stage::kTrial:
      return kTrialFraction * limit_.ratio;
    case rollout_stage::kRamp: {
      const std::chrono::duration<double> since = now - stage_since_;
      const std::chrono::duration<double> length = RampLength();
      return std::min(1.0, kRampStart + (1 - kRampStart) * (since / length));
    }
    case rollout_stage::kCutover:
      return 1;
  }
  return 0;
}

bool rollout_trial::DrawNewVersion(time_point now) {
  ++sends_;
  const std::chrono::duration<double> elapsed = now - slack_updated_at_;
  slack_sends_ = std::min(kMaxSlackSends,
                          slack_sends_ + slack_per_second_ * elapsed.count());
  slack_updated_at_ = now;
  bool is_new =
      std::uniform_real_distribution<double>(0, 1)(random_) < Share(now);
  if (!is_new && stage_ == rollout_stage::kTrial && slack_sends_ >= 1) {
    slack_sends_ -= 1;
    is_new = true;
  }
  new_sends_ += is_new ? 1 : 0;
  return is_new;
}

void rollout_trial::OnAnswer(time_point now,
                             bool is_new,
                             const version_answer& answer) {
  if (!is_new) {
    own_.OnOldAnswer(now, answer);
    return;
  }
  own_.OnNewAnswer(now, answer);
  own_changed_ = true;
}

void rollout_trial::OnReport(const host_id& from,
                             const rollout_report& report) {
  if (!IsPlausible(report)) {
    return;
  }
  host_reports& reports = reports_[from];
  const auto [known, is_first] =
      reports.by_process.try_emplace(report.process, report);
  if (!is_first && report.sequence <= known->second.sequence) {
    return;
  }
  reports.latest_process = report.process;
  if (is_first) {
    evidence_.Update({}, report.totals);
    return;
  }
  evidence_.Update(known->second.totals, report.totals);
  known->second = report;
}

bool rollout_trial::OnStage(time_point now,
                            rollout_stage stage,
                            duration elapsed) {
  // The host that learned of the order first knows its deadline best.
  ordered_at_ = std::min(ordered_at_, now - elapsed);
  if (stage <= stage_) {
    return false;
  }
  if (stage == rollout_stage::kRejected) {
    rejection_ = "by another host";
  }
  Enter(now, stage);
  return true;
}

void rollout_trial::Withdraw(time_point now) {
  Reject(now, "withdrawn");
}

void rollout_trial::Enter(time_point now, rollout_stage stage) {
  stage_ = stage;
  stage_since_ = now;
  due_since_.reset();
}

void rollout_trial::Reject(time_point now, std::string_view reason) {
  if (stage_ != rollout_stage::kRejected) {
    rejection_ = reason;
    Enter(now, rollout_stage::kRejected);
  }
}

void rollout_trial::RejectIfBad(time_point now, std::size_t new_endpoints) {
  if (own_changed_) {
    own_changed_ = false;
    std::vector<evidence_total> totals = own_.Totals();
    evidence_.Update(own_counted_, totals);
    own_counted_ = std::move(totals);
  }
  if (stage_ == rollout_stage::kRejected) {
    return;
  }
  finding_ = evidence_.Find(new_endpoints);
  if (finding_.has_value()) {
    Reject(now, finding_->defect);
  }
}

bool rollout_trial::IsVetted(const endpoint_view& endpoints) const {
  std::int64_t sends = sends_;
  for (const host_reports& reports : std::views::values(reports_)) {
    for (const auto& report : std::views::values(reports.by_process)) {
      sends += report.sends;
    }
  }
  const bool enough_answers =
      evidence_.answers() >= kMinAnswers || sends < kIdleSends;
  return enough_answers &&
         endpoints.new_slots >= kMinSlotRatio * endpoints.old_slots;
}

bool rollout_trial::IsOwnTurn(time_point now, const fleet_view& fleet) const {
  return fleet.rank.has_value() && due_since_.has_value() &&
         now - *due_since_ >= static_cast<int>(*fleet.rank) * kTurn;
}

bool rollout_trial::IsOldIdleEverywhere(const fleet_view& fleet) const {
  return std::ranges::all_of(fleet.senders, [&](const host_id& host) {
    if (host == fleet.self) {
      return old_idle_;
    }
    const auto found = reports_.find(host);
    if (found == reports_.end()) {
      return false;
    }
    const rollout_report& latest =
        found->second.by_process.at(found->second.latest_process);
    return latest.stage == rollout_stage::kCutover && latest.old_idle;
  });
}

void rollout_trial::Update(time_point now,
                           const endpoint_view& endpoints,
                           const fleet_view& fleet) {
  const std::chrono::duration<double> length = order_.length;
  slack_per_second_ =
      kSlackFraction * limit_.slack /
      (std::max(1.0, length.count()) *
       static_cast<double>(std::max<std::size_t>(1, fleet.sharing_hosts)));
  old_idle_ = stage_ == rollout_stage::kCutover && endpoints.old_in_flight == 0;
  RejectIfBad(now, endpoints.new_endpoints);
  const duration left = order_.length - Elapsed(now);
  bool is_due = false;
  switch (stage_) {
    case rollout_stage::kWaiting:
      // Few endpoints would get more requests each than a trial is to bring.
      if (endpoints.new_slots >= kMinSlotRatio * endpoints.old_slots &&
          endpoints.new_slots > 0) {
        slack_updated_at_ = now;
        Enter(now, rollout_stage::kTrial);
      }
      break;
    case rollout_stage::kTrial:
      is_due = left <= kCutoverReserve + RampLength() && IsVetted(endpoints);
      break;
    case rollout_stage::kRamp:
      is_due = now - stage_since_ >= RampLength();
      break;
    case rollout_stage::kCutover:
      is_due = now - stage_since_ >= kMinCutover && old_idle_ &&
               (IsOldIdleEverywhere(fleet) || -left > kMaxConfirmationWait);
      break;
    case rollout_stage::kRejected:
      is_due = true;
      break;
  }
  if (left <= duration::zero() && stage_ < rollout_stage::kRamp) {
    Reject(now, "deadline passed");
    is_due = true;
  }
  if (!is_due) {
    due_since_.reset();
    return;
  }
  due_since_ = due_since_.value_or(now);
  const bool has_next_stage =
      stage_ == rollout_stage::kTrial || stage_ == rollout_stage::kRamp;
  if (has_next_stage && IsOwnTurn(now, fleet)) {
    Enter(now, stage_ == rollout_stage::kTrial ? rollout_stage::kRamp
                                               : rollout_stage::kCutover);
  }
}

rollout_report rollout_trial::MakeReport(std::uint64_t process) {
  return {.order = order_,
          .process = process,
          .sequence = ++sequence_,
          .stage = stage_,
          .old_idle = old_idle_,
          .sends = sends_,
          .new_sends = new_sends_,
          .totals = own_.Totals()};
}

std::optional<rollout_state> rollout_trial::StateToWrite(
    time_point now,
    const fleet_view& fleet) const {
  if (stage_ == rollout_stage::kCutover && IsOwnTurn(now, fleet)) {
    return rollout_state::kCompleted;
  }
  if (stage_ == rollout_stage::kRejected && IsOwnTurn(now, fleet)) {
    return rollout_state::kRolledBack;
  }
  return fleet.rank == std::optional<std::size_t>(0)
             ? std::optional(rollout_state::kRunning)
             : std::nullopt;
}

}  // namespace trefoilmill
