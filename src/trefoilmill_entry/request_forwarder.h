/// Passes callers' requests on to another host while this one does not reach
/// the endpoints.
#ifndef TREFOILMILL_ENTRY_REQUEST_FORWARDER_H_
#define TREFOILMILL_ENTRY_REQUEST_FORWARDER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/http_message.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// A caller's request that this host does not run itself.
struct forwarded_request {
  request_id id;
  http_request request;
  http_responder responder;
  /// When the caller has to have its answer.
  time_point answer_by;
};

/// Marks the request as forwarded, for the other host.
void MarkForwarded(http_request& request);
/// Whether the request was forwarded; removes the mark.
bool TakeForwardedMark(http_request& request);

/// A request is sent to one host after another until one is connected; once it
/// was sent, its fate is that host's. Used on the event loop's thread only.
class request_forwarder {
 public:
  /// Connects from `local_ip`. `on_not_taken` gets a request that could be sent
  /// to no host, so that it has certainly not run.
  request_forwarder(event_loop& loop,
                    std::string local_ip,
                    telemetry& process_telemetry,
                    std::function<void(forwarded_request)> on_not_taken);

  /// Sends the request to the first of `peers` that takes it, and its answer to
  /// the caller.
  void Forward(forwarded_request request, std::vector<host_record> peers);
  /// The process stops: requests in progress are answered by `answer_by`.
  void AnswerBy(time_point answer_by);
  /// Number of requests that have no answer yet.
  std::size_t unanswered() const { return active_.size(); }

 private:
  using number = std::uint64_t;
  struct active_request {
    forwarded_request request;
    /// The hosts that were not tried yet.
    std::vector<host_record> peers;
    http_client::request_handle sent;
    timer deadline;
  };

  void SendToNext(number n);
  void OnResult(number n, const host_id& peer, http_result exchange);
  void OnCallerDisconnected(number n);
  void ScheduleDeadline(number n, active_request& active);
  /// Removes a request, and destroys it later: this may run inside a callback
  /// of its responder or timer.
  std::shared_ptr<active_request> TakeOut(
      const std::map<number, active_request>::iterator& found);
  /// Answers that the request may have run, and gives it up.
  void Fail(number n, reason_code reason);

  event_loop& loop_;
  telemetry& telemetry_;
  std::function<void(forwarded_request)> on_not_taken_;
  http_client client_;
  number last_number_ = 0;
  std::map<number, active_request> active_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_REQUEST_FORWARDER_H_
