/// Handles callers' requests: sends their sub-requests to endpoints and their
/// answers to callers, as request_run decides.
#ifndef TREFOILMILL_ENTRY_REQUEST_HANDLER_H_
#define TREFOILMILL_ENTRY_REQUEST_HANDLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/process/organisation_labels.h"
#include "trefoilmill/process/shared_request_state.h"
#include "trefoilmill/request/request_run.h"
#include "trefoilmill/version/route_table.h"
#include "trefoilmill_entry/connection_pools.h"
#include "trefoilmill_entry/request_forwarder.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// Used on the event loop's thread only.
class request_handler {
 public:
  request_handler(event_loop& loop,
                  shared_request_state& shared_state,
                  connection_pools& pools,
                  telemetry& process_telemetry,
                  std::string local_ip,
                  std::mt19937_64 random);
  ~request_handler();

  /// Sets the table for requests that arrive from now on. Requests in progress
  /// keep theirs.
  void SetRouteTable(std::shared_ptr<const route_table> table);
  /// Sets how late the event loop runs its timers, which measures this host's
  /// load.
  void SetLoopDelay(duration delay) { loop_delay_ = delay; }

  /// Routes a caller's request and answers it on `responder`. A request that
  /// cannot be routed is refused immediately.
  void Handle(http_request request, const http_responder& responder);
  /// Handles a caller's request that another host passed on: it is not passed
  /// on again.
  void HandleForwarded(http_request request,
                       const http_responder& responder,
                       const forwarded_mark& mark);
  /// This host was found to be cut off from the endpoints: passes on the
  /// requests in progress that may run twice and have no reply yet.
  void HandOverUnanswered();
  /// Sets access to the other hosts. To be called before the first request.
  void SetForwardingPeers(forwarding_peers peers) {
    forwarder_.SetPeers(std::move(peers));
  }
  /// Continues a request that waits for a connection, when one to the endpoint
  /// may be idle.
  void OnConnectionIdle(const endpoint_id& id);
  /// Continues requests that wait for permits, as some were lent.
  void OnPermitsLent() { RetryWaiting(); }
  /// Sets what is called when permits may have to be asked for.
  void OnPermitsNeeded(std::function<void()> callback) {
    on_permits_needed_ = std::move(callback);
  }

  /// Sets what is called when an endpoint's reply was the first to say that it
  /// is leaving.
  void OnEndpointLeaving(std::function<void(const endpoint_id&)> callback) {
    on_endpoint_leaving_ = std::move(callback);
  }

  /// Sets what is called when other hosts are to be warned of a request.
  void OnWarned(std::function<void()> callback) {
    on_warned_ = std::move(callback);
  }
  /// Sets what is called when an attempt ended without a reply.
  void OnReplyLost(std::function<void()> callback) {
    on_reply_lost_ = std::move(callback);
  }

  /// The process stops: requests in progress, and those that still arrive, are
  /// answered by `answer_by`.
  void AnswerBy(time_point answer_by);
  /// Number of requests that have no answer yet.
  std::size_t unanswered() const {
    return unanswered_ + forwarder_.unanswered() + waiting_.size();
  }
  /// Logs each request that has no answer yet, as the process stops now.
  void LogUnanswered();

 private:
  struct active_request;
  /// A request that is routed, before it is run or passed on.
  struct routed_request {
    request_id id;
    request_identity identity;
    /// The configuration that `matched` and `owner` belong to.
    std::shared_ptr<const route_table> table;
    /// The caller's organisation; nullptr if it has none, or if this host's
    /// configuration does not have the one that another host named.
    const organisation* owner = nullptr;
    organisation_id owner_id;
    http_request original;
    const route* matched = nullptr;
    time_point deadline;
    /// The endpoints that it was sent to before.
    earlier_attempts attempts;
    /// It took a permit of the organisation's quota at this host.
    bool holds_permit = false;
  };
  /// A request that waits for a permit of its organisation's quota.
  struct waiting_request {
    routed_request routed;
    http_responder responder;
    time_point give_up_at;
  };

  /// Finds the route of a request and the caller's organisation; answers it and
  /// returns nullopt if it cannot be served. `mark` is that of a request which
  /// another host passed on.
  std::optional<routed_request> Route(http_request request,
                                      const http_responder& responder,
                                      const forwarded_mark& mark = {});
  /// Finds the caller's organisation, by its key or as another host named it.
  /// Returns why the caller may not use the route, if it may not.
  static std::optional<reason_code> Identify(
      const std::optional<std::string>& key,
      const forwarded_mark& mark,
      routed_request& routed);
  static request_priority PriorityOf(const routed_request& routed);
  /// Routes and runs a request that is not passed on.
  void RunHere(http_request request,
               const http_responder& responder,
               const forwarded_mark& mark);
  /// Takes a permit of the organisation's quota and starts the request; lets it
  /// wait, or refuses it, if there is none.
  void StartWithPermit(routed_request routed,
                       const http_responder& responder,
                       std::optional<time_point> give_up_at = std::nullopt);
  /// Runs a request, or passes it on.
  void StartRequest(routed_request routed, const http_responder& responder);
  /// Tries again the requests that wait for a permit.
  void RetryWaiting();
  /// Whether the request is in quarantine; answers it if it is.
  bool RefuseQuarantined(const request_id& id,
                         const request_identity& identity,
                         const http_responder& responder);
  /// Runs a request on this host's own connections.
  void Run(routed_request routed, const http_responder& responder);
  /// Whether another host can do what this one cannot: it does not reach the
  /// endpoints, or not those of all services that the request needs.
  bool NeedsOtherHost(time_point now, const route& matched) const;
  /// Passes a request on.
  void Forward(routed_request routed, const http_responder& responder);
  /// Whether another host, which does not say so, may have sent the request to
  /// endpoints before it forwarded it.
  bool MayHaveBeenSent(const routed_request& routed,
                       const forwarded_mark& mark) const;
  /// The services of all shards, or one service: the one that the request was
  /// sent to before, else one drawn at random by weight.
  std::vector<service_id> SelectServices(const route& r,
                                         const earlier_attempts& attempts);
  /// Answers a request that was not routed.
  void Refuse(const http_responder& responder,
              const request_id& id,
              reason_code reason,
              duration retry_after,
              std::string detail = "");
  void RunActions(request_number number, request_run::actions actions);
  void RunAction(request_number number,
                 active_request& active,
                 const request_run::send& action);
  void RunAction(request_number number,
                 active_request& active,
                 const request_run::await_capacity& action);
  void RunAction(request_number number,
                 active_request& active,
                 request_run::finish& action);
  void RunAction(request_number number,
                 active_request& active,
                 const request_run::wake& action);
  void HandOver(request_number number, active_request& active);
  void OnAttemptEnd(request_number number,
                    attempt_id attempt,
                    http_result exchange);
  /// Acts on what an endpoint's reply says of the endpoint itself.
  void ApplyNotice(const request_id& request,
                   const endpoint_id& endpoint,
                   const http_response& reply);
  void LogLimit(const request_id& request,
                const endpoint_id& endpoint,
                std::optional<request_rate> limit);
  void OnCallerDisconnected(request_number number);
  void LogDisconnected(const active_request& active);
  /// Logs a request that is given up here for another host.
  void LogHandOver(const active_request& active,
                   const earlier_attempts& attempts);
  void AbortAttempts(request_number number);
  /// Erases a request that is answered and has no attempt in flight.
  void EraseIfFinished(request_number number);
  /// Logs an answer whose connection closed before all of it was written.
  void OnAnswerLost(const request_id& id, lost_response lost);
  void CountForOrganisation(const organisation_id& id,
                            std::string_view outcome);
  /// Counts a request to an endpoint, or its reply, if the endpoint is in
  /// another availability zone. `other_bytes` is what is not headers.
  void CountCrossZoneBytes(const endpoint_id& id,
                           std::string_view what,
                           const std::vector<http_header>& headers,
                           std::size_t other_bytes);
  /// Counts an answer, and logs it if it is late or incomplete.
  void RecordAnswer(const active_request& active, const caller_answer& answer);

  event_loop& loop_;
  shared_request_state& shared_state_;
  connection_pools& pools_;
  telemetry& telemetry_;
  std::mt19937_64 random_;
  request_forwarder forwarder_;
  std::function<void(const endpoint_id&)> on_endpoint_leaving_;
  std::function<void()> on_reply_lost_;
  std::function<void()> on_warned_;
  std::function<void()> on_permits_needed_;
  /// In order of arrival.
  std::vector<waiting_request> waiting_;
  timer waiting_timer_;
  organisation_labels organisation_labels_;
  std::shared_ptr<const route_table> route_table_;
  duration loop_delay_{};
  std::uint64_t last_number_ = 0;
  std::size_t unanswered_ = 0;
  std::unordered_map<request_number, std::unique_ptr<active_request>>
      active_requests_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_REQUEST_HANDLER_H_
