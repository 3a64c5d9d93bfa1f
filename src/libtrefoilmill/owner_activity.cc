#include "trefoilmill/owner_activity.h"

namespace trefoilmill {
namespace {

/// An owner counts as unresponsive when it leaves sub-requests without any
/// message for longer than this.
constexpr duration kUnresponsiveAfter = std::chrono::milliseconds(200);

}  // namespace

void owner_activity::OnSent(time_point now, const host_id& owner) {
  contact& entry = contacts_[owner];
  if (!entry.unanswered_since.has_value()) {
    entry.unanswered_since = now;
  }
}

void owner_activity::OnReceived(time_point now, const host_id& owner) {
  contacts_[owner] = {.last_received = now, .unanswered_since = std::nullopt};
}

bool owner_activity::NothingReceivedSince(const host_id& owner,
                                          time_point sent) const {
  const auto found = contacts_.find(owner);
  return found == contacts_.end() || !found->second.last_received.has_value() ||
         *found->second.last_received < sent;
}

bool owner_activity::IsUnresponsive(time_point now,
                                    const host_id& owner) const {
  const auto found = contacts_.find(owner);
  return found != contacts_.end() &&
         found->second.unanswered_since.has_value() &&
         now - *found->second.unanswered_since > kUnresponsiveAfter;
}

}  // namespace trefoilmill
