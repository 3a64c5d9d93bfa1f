/// Passes callers' requests on to another host while this one does not reach
/// the endpoints.
#ifndef TREFOILMILL_ENTRY_REQUEST_FORWARDER_H_
#define TREFOILMILL_ENTRY_REQUEST_FORWARDER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/http_message.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/request/earlier_attempts.h"
#include "trefoilmill/request/request_identity.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// A caller's request that this host does not run itself.
struct forwarded_request {
  request_id id;
  /// As it arrived from the caller.
  request_identity identity;
  /// The caller's organisation; empty if it has none.
  organisation_id organisation;
  http_request request;
  http_responder responder;
  /// When the caller has to have its answer.
  time_point answer_by;
  /// The endpoints that it was sent to before. If there are any, no answer may
  /// say that it did not run.
  earlier_attempts attempts;
  /// It may run only once.
  bool at_most_once = false;
};

/// Marks a copy of the request for the other host, which cannot tell its caller
/// and does not get the caller's key. Replaces what the caller may have written
/// there. A request that was sent to endpoints is marked so that a host which
/// does not know of earlier attempts rejects it: it would run it anew.
void MarkForwarded(http_request& copy, const forwarded_request& forwarded);
/// What the mark of a forwarded request says.
struct forwarded_mark {
  /// Unset if the sender did not state it.
  std::optional<request_identity> identity;
  /// The caller's organisation, empty if it has none. Unset if the sender did
  /// not state it: it is of an earlier version, and passes keys on.
  std::optional<organisation_id> organisation;
  /// The endpoints that the request was sent to before. Unset if the sender did
  /// not state them: it is of an earlier version, and may have sent the request
  /// to any.
  std::optional<earlier_attempts> attempts;
};
/// The mark if the request was forwarded; removes it. A malformed statement of
/// earlier attempts leaves the request without an ID, so that it is rejected.
std::optional<forwarded_mark> TakeForwardedMark(http_request& request);
/// The answer of a host that does not reach the endpoints either to a forwarded
/// request, which did not run. It names the hosts that it knows to be in the
/// same situation.
http_response MakeCutOffResponse(const std::vector<host_id>& cut_off);

/// What forwarding needs to know of other hosts, and learns of them.
struct forwarding_peers {
  /// The hosts that a request can be passed on to.
  std::function<std::vector<host_record>()> hosts;
  /// The hosts known to be cut off from the endpoints.
  std::function<std::vector<host_id>()> cut_off;
  /// Called with hosts that are said to be cut off from the endpoints.
  std::function<void(const std::vector<host_id>&)> on_cut_off;
};

/// A request is sent to one host after another until one takes it; once it was
/// sent, its fate is that host's. Used on the event loop's thread only.
class request_forwarder {
 public:
  /// Connects from `local_ip`. `on_not_taken` gets a request that could be sent
  /// to no host, so that it has certainly not run.
  request_forwarder(event_loop& loop,
                    std::string local_ip,
                    telemetry& process_telemetry,
                    std::mt19937_64 random,
                    std::function<void(forwarded_request)> on_not_taken);

  void SetPeers(forwarding_peers peers) { peers_ = std::move(peers); }
  const forwarding_peers& peers() const { return peers_; }
  /// Sends the request to a host that takes it, and its answer to the caller.
  void Forward(forwarded_request request);
  /// The process stops: requests in progress are answered by `answer_by`, those
  /// for which it has passed before this returns.
  void AnswerBy(time_point answer_by);
  /// Number of requests that have no answer yet.
  std::size_t unanswered() const { return active_.size(); }

 private:
  using number = std::uint64_t;
  struct active_request {
    forwarded_request request;
    /// Whether the request may have run before it was forwarded.
    verdict so_far() const {
      return request.attempts.empty() ? verdict::kNotRun : verdict::kMayHaveRun;
    }
    /// The hosts that were tried.
    std::vector<host_id> tried;
    http_client::request_handle sent;
    timer deadline;
  };

  /// A host that was not tried yet; nullopt if there is none or enough were.
  /// Any is as good as another, so that those which are left share the requests
  /// of those which are cut off.
  std::optional<host_record> NextHost(const std::vector<host_id>& tried);
  void SendToNext(number n);
  void OnResult(number n, const host_id& peer, http_result exchange);
  /// Whether the answer of a host says that it has not run the request and
  /// another host may: it is cut off, or does not know of earlier attempts.
  bool IsDeclined(number n, const host_id& peer, const http_response& response);
  /// Learns of the hosts that a peer's answer names as cut off; returns whether
  /// it is such an answer.
  bool LearnCutOff(const host_id& peer, const http_response& response);
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
  std::mt19937_64 random_;
  std::function<void(forwarded_request)> on_not_taken_;
  forwarding_peers peers_;
  http_client client_;
  number last_number_ = 0;
  std::map<number, active_request> active_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_REQUEST_FORWARDER_H_
