/// When request_handler passes a request on to another host.
#include <algorithm>
#include <utility>

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

void request_handler::Forward(routed_request routed,
                              const http_responder& responder) {
  const time_point timeout = loop_.Now() + routed.matched->timeout;
  time_point answer_by =
      std::min(routed.deadline - kAnswerDeliveryMargin, timeout);
  if (shared_state_.answer_by.has_value()) {
    answer_by = std::min(answer_by, *shared_state_.answer_by);
  }
  forwarder_.Forward({.id = routed.id,
                      .request = std::move(routed.original),
                      .responder = responder,
                      .answer_by = answer_by});
}

}  // namespace trefoilmill::entry
