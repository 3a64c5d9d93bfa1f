/// How request_handler keeps organisations to their quotas.
#include <algorithm>
#include <utility>

#include "request_handler_impl.h"

namespace trefoilmill::entry {
namespace {

/// How long a request waits for a permit that another host may lend. Longer
/// than an exchange between zones takes, and short beside the time in which a
/// refused caller can still be served.
constexpr duration kMaxPermitWait = std::chrono::milliseconds(40);

}  // namespace

void request_handler::StartWithPermit(routed_request routed,
                                      const http_responder& responder,
                                      std::optional<time_point> give_up_at) {
  struct visitor {
    request_handler& self;
    routed_request& routed;
    const http_responder& responder;
    std::optional<time_point> give_up_at;

    void operator()(const organisation_quotas::granted& /*permit*/) const {
      routed.holds_permit = true;
      self.StartRequest(std::move(routed), responder);
    }
    void operator()(const organisation_quotas::pending& /*permit*/) const {
      const time_point now = self.loop_.Now();
      const time_point until = give_up_at.value_or(now + kMaxPermitWait);
      if (now >= until) {
        Refuse(kMaxPermitWait);
        return;
      }
      self.waiting_.push_back({.routed = std::move(routed),
                               .responder = responder,
                               .give_up_at = until});
    }
    void operator()(const organisation_quotas::refused& refusal) const {
      Refuse(refusal.retry_after);
    }
    void Refuse(duration retry_after) const {
      self.CountForOrganisation(routed.owner_id, "refused");
      self.Refuse(responder, routed.id, reason_code::kQuotaExceeded,
                  retry_after, routed.owner_id.value());
    }
  };
  if (routed.owner == nullptr || !routed.owner->quota.is_limited()) {
    StartRequest(std::move(routed), responder);
    return;
  }
  const auto decision =
      shared_state_.quotas.Take(loop_.Now(), routed.owner_id,
                                routed.owner->quota, give_up_at.has_value());
  std::visit(visitor{*this, routed, responder, give_up_at}, decision);
  on_permits_needed_();
  if (!waiting_.empty()) {
    const auto first =
        std::ranges::min(waiting_, {}, &waiting_request::give_up_at);
    waiting_timer_ = loop_.RunAfter(first.give_up_at - loop_.Now(),
                                    [this] { RetryWaiting(); });
  }
}

void request_handler::RetryWaiting() {
  for (waiting_request& waiting : std::exchange(waiting_, {})) {
    StartWithPermit(std::move(waiting.routed), waiting.responder,
                    waiting.give_up_at);
  }
}

}  // namespace trefoilmill::entry
