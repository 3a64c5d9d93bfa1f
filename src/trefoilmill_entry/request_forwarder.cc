#include "trefoilmill_entry/request_forwarder.h"

#include <algorithm>
#include <ranges>
#include <string_view>
#include <utility>

#include "platform/headers.h"
#include "platform/http_conversion.h"
#include "trefoilmill/wire/hand_over_codec.h"
#include "trefoilmill/wire/log_messages.h"

namespace trefoilmill::entry {
namespace {

/// Marks requests between hosts. Its value is the request's identity: two
/// fingerprints, separated by kIdentitySeparator.
constexpr char kForwardedHeader[] = "Trefoilmill-Forwarded";
constexpr char kIdentitySeparator = '-';
/// The organisation of a forwarded request's caller; empty if it has none.
constexpr char kForwardedOrganisationHeader[] =
    "Trefoilmill-Forwarded-Organisation";
/// States that a forwarded request was sent to no endpoint before.
constexpr char kUnsentHeader[] = "Trefoilmill-Forwarded-Unsent";
/// The ID of a request that was sent to endpoints before, and those endpoints.
/// It stands in place of the header with the ID, so that a host which does not
/// know this one rejects the request.
constexpr char kHandedOverHeader[] = "Trefoilmill-Handed-Over";
/// In the answer of a host that is cut off from the endpoints, too: the ids of
/// such hosts, comma-separated, and how many at most.
constexpr char kCutOffHeader[] = "Trefoilmill-Cut-Off";
constexpr std::size_t kMaxNamedHosts = 128;
/// The status of such an answer. An endpoint's answer with this status is never
/// passed on, so that none can be taken for it.
constexpr int kHttpMisdirectedRequest = 421;
/// Hosts that a request is offered to, one after another.
constexpr std::size_t kMaxHosts = 4;
/// Time reserved for the way to the other host and back, which has to answer
/// that much earlier.
constexpr duration kPeerRoundTrip = std::chrono::milliseconds(5);
/// Limit for opening a connection to another host.
constexpr duration kConnectTimeout = std::chrono::milliseconds(100);
/// Largest body of an answer that is accepted: 4 MiB.
constexpr std::size_t kMaxAnswerBytes = 4 << 20;

reason_code ReasonOf(http_failure failure) {
  switch (failure) {
    case http_failure::kTimeout:
      return reason_code::kDeadlineExceeded;
    case http_failure::kMalformed:
      return reason_code::kMalformedReply;
    case http_failure::kNotConnected:
    case http_failure::kConnectionLost:
      break;
  }
  return reason_code::kConnectionReset;
}

std::string FormatIdentity(const request_identity& identity) {
  return ToString(identity.content) + kIdentitySeparator +
         ToString(identity.content_and_caller);
}

std::optional<request_identity> ParseIdentity(std::string_view text) {
  const auto separator = text.find(kIdentitySeparator);
  if (separator == std::string_view::npos) {
    return std::nullopt;
  }
  const auto content = ParseFingerprint(text.substr(0, separator));
  const auto with_caller = ParseFingerprint(text.substr(separator + 1));
  if (!content.has_value() || !with_caller.has_value()) {
    return std::nullopt;
  }
  return request_identity{.content = *content,
                          .content_and_caller = *with_caller};
}

void RemoveMark(http_request& request) {
  std::erase_if(request.headers, [](const http_header& header) {
    return SameHeaderName(header.name, kForwardedHeader) ||
           SameHeaderName(header.name, kForwardedOrganisationHeader) ||
           SameHeaderName(header.name, kUnsentHeader) ||
           SameHeaderName(header.name, kHandedOverHeader);
  });
}

void RemoveRequestId(http_request& request) {
  std::erase_if(request.headers, [](const http_header& header) {
    return SameHeaderName(header.name, platform::kRequestIdHeader);
  });
}

/// Reads where the request was sent before, and restores its ID.
std::optional<earlier_attempts> TakeAttempts(http_request& request) {
  const auto text = request.Header(kHandedOverHeader);
  if (!text.has_value()) {
    return request.Header(kUnsentHeader).has_value()
               ? std::optional(earlier_attempts())
               : std::nullopt;
  }
  RemoveRequestId(request);
  auto handed_over = DecodeHandOver(*text);
  if (handed_over.has_error()) {
    return std::nullopt;
  }
  request.headers.push_back(
      {platform::kRequestIdHeader, handed_over.value().id.value()});
  return std::move(handed_over.value().attempts);
}

}  // namespace

void MarkForwarded(http_request& copy, const forwarded_request& forwarded) {
  RemoveMark(copy);
  copy.headers.push_back(
      {kForwardedHeader, FormatIdentity(forwarded.identity)});
  copy.headers.push_back(
      {kForwardedOrganisationHeader, forwarded.organisation.value()});
  if (forwarded.attempts.empty()) {
    copy.headers.push_back({kUnsentHeader, "1"});
    return;
  }
  RemoveRequestId(copy);
  copy.headers.push_back(
      {kHandedOverHeader,
       EncodeHandOver({.id = forwarded.id, .attempts = forwarded.attempts})});
}

std::optional<forwarded_mark> TakeForwardedMark(http_request& request) {
  const auto value = request.Header(kForwardedHeader);
  if (!value.has_value()) {
    return std::nullopt;
  }
  forwarded_mark mark{.identity = ParseIdentity(*value)};
  if (auto name = request.Header(kForwardedOrganisationHeader)) {
    mark.organisation = organisation_id(std::move(*name));
  }
  mark.attempts = TakeAttempts(request);
  RemoveMark(request);
  return mark;
}

http_response MakeCutOffResponse(const std::vector<host_id>& cut_off) {
  std::string names;
  for (const host_id& host : cut_off | std::views::take(kMaxNamedHosts)) {
    names += names.empty() ? host.value() : "," + host.value();
  }
  return {.status = kHttpMisdirectedRequest,
          .headers = {{kCutOffHeader, std::move(names)}}};
}

request_forwarder::request_forwarder(
    event_loop& loop,
    std::string local_ip,
    telemetry& process_telemetry,
    std::mt19937_64 random,
    std::function<void(forwarded_request)> on_not_taken)
    : loop_(loop),
      telemetry_(process_telemetry),
      random_(random),
      on_not_taken_(std::move(on_not_taken)),
      client_(loop,
              std::move(local_ip),
              {.connect_timeout = kConnectTimeout,
               .max_body_bytes = kMaxAnswerBytes}) {}

void request_forwarder::Forward(forwarded_request request) {
  const number n = ++last_number_;
  active_request& active =
      active_.emplace(n, active_request{.request = std::move(request)})
          .first->second;
  active.request.responder.OnPeerDisconnected(
      [this, n] { OnCallerDisconnected(n); });
  ScheduleDeadline(n, active);
  SendToNext(n);
}

void request_forwarder::AnswerBy(time_point answer_by) {
  std::vector<number> due;
  for (auto& [n, active] : active_) {
    active.request.answer_by = std::min(active.request.answer_by, answer_by);
    if (active.request.answer_by <= loop_.Now()) {
      due.push_back(n);
    } else {
      ScheduleDeadline(n, active);
    }
  }
  // The process may end before the loop runs another timer.
  for (const number n : due) {
    Fail(n, reason_code::kDeadlineExceeded);
  }
}

void request_forwarder::ScheduleDeadline(number n, active_request& active) {
  const duration left = active.request.answer_by - loop_.Now();
  active.deadline = loop_.RunAfter(std::max(left, duration::zero()), [this, n] {
    Fail(n, reason_code::kDeadlineExceeded);
  });
}

std::optional<host_record> request_forwarder::NextHost(
    const std::vector<host_id>& tried) {
  if (tried.size() >= kMaxHosts) {
    return std::nullopt;
  }
  std::vector<host_record> hosts = peers_.hosts();
  std::erase_if(hosts, [&tried](const host_record& host) {
    return std::ranges::find(tried, host.id) != tried.end();
  });
  if (hosts.empty()) {
    return std::nullopt;
  }
  return hosts[random_() % hosts.size()];
}

void request_forwarder::SendToNext(number n) {
  active_request& active = active_.at(n);
  const duration left = active.request.answer_by - loop_.Now();
  const std::optional<host_record> peer = NextHost(active.tried);
  if (!peer.has_value() || left <= kPeerRoundTrip) {
    if (active.so_far() != verdict::kNotRun) {
      Fail(n, reason_code::kNoReplica);
      return;
    }
    const auto ended = TakeOut(active_.find(n));
    telemetry_.meter->Increment(metric::kForwardedRequests, {"not_taken"});
    ended->request.request = platform::MakeForwardedRequest(
        ended->request.request, ended->request.organisation,
        std::max(left, duration::zero()));
    on_not_taken_(std::move(ended->request));
    return;
  }
  active.tried.push_back(peer->id);
  telemetry_.log->Info(
      log_message::kRequestForwarded,
      {.request = active.request.id,
       .peer = peer->id,
       .outcome = active.so_far(),
       .inputs = {{"tried", static_cast<std::int64_t>(active.tried.size())}}});
  http_request sent = platform::MakeForwardedRequest(
      active.request.request, active.request.organisation,
      left - kPeerRoundTrip);
  MarkForwarded(sent, active.request);
  active.sent = client_.Send(peer->peer, sent, left,
                             [this, n, id = peer->id](http_result exchange) {
                               OnResult(n, id, std::move(exchange));
                             });
}

void request_forwarder::OnResult(number n,
                                 const host_id& peer,
                                 http_result exchange) {
  const auto found = active_.find(n);
  if (found == active_.end()) {
    return;
  }
  if (exchange.response.has_value() &&
      IsDeclined(n, peer, *exchange.response)) {
    SendToNext(n);
    return;
  }
  const bool is_false_promise =
      exchange.response.has_value() &&
      (found->second.so_far() != verdict::kNotRun
           ? platform::StatesNotRun(*exchange.response)
           : found->second.request.at_most_once &&
                 platform::IsRunAndStatesNotRun(*exchange.response));
  if (is_false_promise) {
    Fail(n, reason_code::kNoReplica);
    return;
  }
  if (exchange.response.has_value()) {
    const auto ended = TakeOut(found);
    telemetry_.meter->Increment(metric::kForwardedRequests, {"answered"});
    ended->request.responder.Send(platform::MakeCallerResponse(
        ended->request.id,
        relayed_answer{.response = std::move(*exchange.response)}));
    return;
  }
  const http_failure failure = *exchange.failure_reason;
  telemetry_.log->Info(log_message::kForwardingFailed,
                       {.request = found->second.request.id,
                        .peer = peer,
                        .reason = ReasonOf(failure),
                        .outcome = failure == http_failure::kNotConnected
                                       ? verdict::kNotRun
                                       : verdict::kMayHaveRun});
  if (failure == http_failure::kNotConnected) {
    SendToNext(n);
    return;
  }
  Fail(n, ReasonOf(failure));
}

bool request_forwarder::IsDeclined(number n,
                                   const host_id& peer,
                                   const http_response& response) {
  if (LearnCutOff(peer, response)) {
    return true;
  }
  const active_request& active = active_.at(n);
  if (active.so_far() == verdict::kNotRun ||
      !platform::IsRejectedAsMalformed(response)) {
    return false;
  }
  telemetry_.log->Info(log_message::kForwardingFailed,
                       {.request = active.request.id,
                        .peer = peer,
                        .reason = reason_code::kBadRequest,
                        .outcome = verdict::kNotRun,
                        .detail = "does not know of earlier attempts"});
  return true;
}

bool request_forwarder::LearnCutOff(const host_id& peer,
                                    const http_response& response) {
  const auto names = response.Header(kCutOffHeader);
  if (response.status != kHttpMisdirectedRequest || !names.has_value()) {
    return false;
  }
  std::vector<host_id> cut_off = {peer};
  for (const auto name : *names | std::views::split(',')) {
    cut_off.emplace_back(std::string(name.begin(), name.end()));
  }
  peers_.on_cut_off(cut_off);
  return true;
}

void request_forwarder::Fail(number n, reason_code reason) {
  const auto found = active_.find(n);
  if (found == active_.end()) {
    return;
  }
  const auto failed = TakeOut(found);
  client_.Cancel(failed->sent);
  telemetry_.meter->Increment(metric::kForwardedRequests, {"failed"});
  failed->request.responder.Send(platform::MakeCallerResponse(
      failed->request.id, failed_answer{.reason = reason}));
}

std::shared_ptr<request_forwarder::active_request> request_forwarder::TakeOut(
    const std::map<number, active_request>::iterator& found) {
  auto ended = std::make_shared<active_request>(std::move(found->second));
  active_.erase(found);
  loop_.Post([ended] {});
  return ended;
}

// The other host notices that the connection closes, and stops the work that
// may be stopped.
void request_forwarder::OnCallerDisconnected(number n) {
  const auto found = active_.find(n);
  if (found == active_.end()) {
    return;
  }
  client_.Cancel(found->second.sent);
  telemetry_.meter->Increment(metric::kForwardedRequests, {"gone"});
  TakeOut(found);
}

}  // namespace trefoilmill::entry
