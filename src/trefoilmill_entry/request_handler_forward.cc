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
  if (active.answered || !active.run.TryHandOver(loop_.Now(), shared_state_)) {
    return;
  }
  earlier_attempts attempts = active.run.Attempts();
  LogHandOver(active, attempts);
  active.answered = true;
  --unanswered_;
  active.wake_timer = timer();
  shared_state_.waiting.Remove(number);
  Forward({.id = active.id,
           .identity = active.identity,
           .owner_id = active.organisation,
           .original = std::move(active.original),
           .matched = &active.run.matched(),
           .deadline = active.deadline,
           .attempts = std::move(attempts)},
          active.responder);
  AbortAttempts(number);
  EraseIfFinished(number);
}

bool request_handler::MayHaveBeenSent(const routed_request& routed,
                                      const forwarded_mark& mark) const {
  if (mark.attempts.has_value() ||
      routed.matched->retry != retry_rule::kIdempotent) {
    return false;
  }
  const auto longest = shared_state_.longest_waits.find(routed.matched->id);
  return !IsJustReceived(routed.deadline - loop_.Now(),
                         longest == shared_state_.longest_waits.end()
                             ? duration::max()
                             : longest->second);
}

void request_handler::Forward(routed_request routed,
                              const http_responder& responder) {
  const time_point timeout = loop_.Now() + routed.matched->timeout;
  time_point answer_by =
      std::min(routed.deadline - kAnswerDeliveryMargin, timeout);
  if (shared_state_.answer_by.has_value()) {
    answer_by = std::min(answer_by, *shared_state_.answer_by);
  }
  forwarder_.Forward(
      {.id = routed.id,
       .identity = routed.identity,
       .organisation = routed.owner_id,
       .request = std::move(routed.original),
       .responder = responder,
       .answer_by = answer_by,
       .attempts = std::move(routed.attempts),
       .at_most_once = routed.matched->retry == retry_rule::kAtMostOnce});
}

}  // namespace trefoilmill::entry
