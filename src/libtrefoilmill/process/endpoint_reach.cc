#include "trefoilmill/process/endpoint_reach.h"

#include <algorithm>

namespace trefoilmill {
namespace {

/// A host is cut off if this many endpoints in a row do not respond and so many
/// of their links are broken, and is so no more when as many as the third have
/// responded.
constexpr std::size_t kUnansweredToCutOff = 5;
constexpr std::size_t kLostToCutOff = 2;
constexpr std::size_t kAnsweredToReturn = 3;
/// Timers that are due in one turn of the event loop run before responses that
/// have arrived are read; silence has to last longer than such a turn.
constexpr duration kMinSilence = std::chrono::milliseconds(30);
/// After so long without any response slowness does not explain the silence.
constexpr duration kMaxSilence = std::chrono::seconds(2);
/// New connections fail at this fraction of the endpoints, and at this many.
constexpr double kImpairedFraction = 0.125;
constexpr std::size_t kMinImpaired = 2;
/// Endpoints are probed after this silence of a few.
constexpr duration kSilenceToProbe = std::chrono::milliseconds(200);

}  // namespace

std::size_t endpoint_reach::AtMostKnown(std::size_t wanted) const {
  return std::clamp<std::size_t>(known_, 1, wanted);
}

void endpoint_reach::OnResponse(time_point /*now*/, const endpoint_id& id) {
  unanswered_.clear();
  unanswered_since_.reset();
  lost_.clear();
  sign_of_life_requested_ = false;
  if (!is_cut_off_) {
    return;
  }
  answered_.insert(id);
  if (answered_.size() >= AtMostKnown(kAnsweredToReturn)) {
    is_cut_off_ = false;
  }
}

void endpoint_reach::OnLate(time_point now, const endpoint_id& id) {
  unanswered_.insert(id);
  answered_.erase(id);
  if (!unanswered_since_.has_value()) {
    unanswered_since_ = now;
  }
  Update(now);
}

void endpoint_reach::OnLost(time_point now, const endpoint_id& id) {
  lost_.insert(id);
  OnLate(now, id);
}

void endpoint_reach::OnConnected(const endpoint_id& id) {
  unconnected_.erase(id);
  lost_.clear();
}

void endpoint_reach::OnConnectFailed(time_point now,
                                     const endpoint_id& id,
                                     bool has_connection) {
  unconnected_.insert(id);
  if (!has_connection) {
    OnLost(now, id);
  }
}

void endpoint_reach::Update(time_point now) {
  if (!is_cut_off_ && IsSilenceConclusive(now)) {
    is_cut_off_ = true;
    answered_.clear();
  }
}

bool endpoint_reach::IsSilenceConclusive(time_point now) const {
  if (unanswered_.size() < AtMostKnown(kUnansweredToCutOff)) {
    return false;
  }
  const duration silence = now - *unanswered_since_;
  return silence >= kMaxSilence ||
         (silence >= kMinSilence && lost_.size() >= AtMostKnown(kLostToCutOff));
}

void endpoint_reach::Forget(const endpoint_id& id) {
  unanswered_.erase(id);
  answered_.erase(id);
  unconnected_.erase(id);
  lost_.erase(id);
  if (unanswered_.empty()) {
    unanswered_since_.reset();
  }
}

bool endpoint_reach::is_impaired() const {
  const double fraction = kImpairedFraction * static_cast<double>(known_);
  return unconnected_.size() >= kMinImpaired &&
         static_cast<double>(unconnected_.size()) >= fraction;
}

bool endpoint_reach::ShouldProbe(time_point now) const {
  if (is_cut_off_ || sign_of_life_requested_) {
    return true;
  }
  if (!unanswered_since_.has_value()) {
    return false;
  }
  const bool several = unanswered_.size() >= AtMostKnown(kUnansweredToCutOff);
  return now - *unanswered_since_ >= (several ? kMinSilence : kSilenceToProbe);
}

}  // namespace trefoilmill
