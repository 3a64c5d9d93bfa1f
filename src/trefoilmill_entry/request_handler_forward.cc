/// When request_handler passes a request on to another host.
#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>
#include <vector>

#include "request_handler_impl.h"

namespace trefoilmill::entry {
bool request_handler::NeedsOtherHost(time_point now,
                                     const route& matched) const {
  const endpoint_selector& selector = shared_state_.selector;
  if (selector.reach().is_cut_off()) {
    return true;
  }
  if (!selector.reach().is_impaired()) {
    return false;
  }
  return !std::ranges::all_of(ServicesOf(matched), [&](const auto& service) {
    return selector.HasConnectionTo(now, shared_state_.registry, service);
  });
}

void request_handler::HandOverUnanswered() {
  if (forwarder_.peers().hosts().empty()) {
    return;
  }
  std::vector<request_number> numbers;
  std::ranges::copy(std::views::keys(active_requests_),
                    std::back_inserter(numbers));
  for (const request_number number : numbers) {
    HandOver(number, *active_requests_.at(number));
  }
}

void request_handler::HandOver(request_number number, active_request& active) {
  const std::size_t sends = active.run.counts().sends;
  if (active.answered || !active.run.TryHandOver(loop_.Now(), shared_state_)) {
    return;
  }
  active.answered = true;
  --unanswered_;
  active.wake_timer = timer();
  shared_state_.waiting.Remove(number);
  Forward({.id = active.id,
           .identity = active.identity,
           .owner_id = active.organisation,
           .original = std::move(active.original),
           .matched = &active.run.matched(),
           .deadline = active.deadline},
          active.responder,
          sends > 0 ? verdict::kMayHaveRun : verdict::kNotRun);
  AbortAttempts(number);
  EraseIfFinished(number);
}

void request_handler::Forward(routed_request routed,
                              const http_responder& responder,
                              verdict so_far) {
  const time_point timeout = loop_.Now() + routed.matched->timeout;
  time_point answer_by =
      std::min(routed.deadline - kAnswerDeliveryMargin, timeout);
  if (shared_state_.answer_by.has_value()) {
    answer_by = std::min(answer_by, *shared_state_.answer_by);
  }
  forwarder_.Forward({.id = routed.id,
                      .identity = routed.identity,
                      .organisation = routed.owner_id,
                      .request = std::move(routed.original),
                      .responder = responder,
                      .answer_by = answer_by,
                      .so_far = so_far});
}

}  // namespace trefoilmill::entry
