/// When request_handler passes a request on to another host.
#include <algorithm>
#include <utility>

#include "request_handler_impl.h"
#include "trefoilmill/wire/log_messages.h"

namespace trefoilmill::entry {
namespace {

/// Hosts that a request is offered to, one after another.
constexpr std::size_t kMaxForwardingHosts = 2;
/// Time reserved before the caller's deadline to deliver the answer.
constexpr duration kAnswerDeliveryMargin = std::chrono::milliseconds(12);

}  // namespace

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

// Any host is as good as another one, so that those which are left share the
// requests of those which are cut off.
bool request_handler::ForwardIfPossible(routed_request& routed,
                                        const http_responder& responder) {
  std::vector<host_record> hosts = forwarding_hosts_();
  if (hosts.empty()) {
    return false;
  }
  std::ranges::shuffle(hosts, random_);
  hosts.resize(std::min(hosts.size(), kMaxForwardingHosts));
  telemetry_.log->Info(
      log_message::kRequestForwarded,
      {.request = routed.id,
       .peer = hosts.front().id,
       .inputs = {
           {"cut_off", shared_state_.selector.reach().is_cut_off() ? 1 : 0}}});
  const time_point timeout = loop_.Now() + routed.matched->timeout;
  time_point answer_by =
      std::min(routed.deadline - kAnswerDeliveryMargin, timeout);
  if (shared_state_.answer_by.has_value()) {
    answer_by = std::min(answer_by, *shared_state_.answer_by);
  }
  forwarder_.Forward({.id = routed.id,
                      .request = std::move(routed.original),
                      .responder = responder,
                      .answer_by = answer_by},
                     std::move(hosts));
  return true;
}

}  // namespace trefoilmill::entry
