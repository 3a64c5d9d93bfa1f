/// Which endpoints have ended with requests in flight, and which requests those
/// were.
///
/// A connection that breaks says little: endpoints reset connections and go on,
/// and the link between this host and the endpoints can break. Nor does
/// silence: endpoints pause. Two observations show an end:
///
/// * The endpoint refuses a new connection while another endpoint shows
///   afterwards that it is reached, or closes new ones unused before and after
///   that. While no endpoint is reached it is the link that refuses, or closes.
/// * The endpoint's instance is gone, its last response came shortly before the
///   request was sent to it, and none has come since. Requests that are sent to
///   endpoints which are down already are thus not blamed for their end.
///
/// That a connection is accepted says nothing: a port can stay open when its
/// endpoint has ended.
#ifndef TREFOILMILL_PROCESS_ENDPOINT_CRASHES_H_
#define TREFOILMILL_PROCESS_ENDPOINT_CRASHES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/request/request_identity.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// What showed that an endpoint has ended.
enum class end_evidence {
  kNone,
  kRefused,       ///< It refused connections.
  kClosed,        ///< It closed connections unused.
  kInstanceGone,  ///< Its instance is gone.
};

/// A request that was in flight when an endpoint ended.
struct crash_suspect {
  endpoint_id endpoint;
  /// Start time of the endpoint's instance, see endpoint_record.
  std::uint64_t started_ms = 0;
  request_identity request;
  /// The host stopped waiting for the reply, so that the endpoint may have gone
  /// on running the request.
  bool abandoned = false;
  /// When the reply was lost.
  time_point lost_at;
  /// When the request was sent, if its reply was late or its connection broke,
  /// and if the endpoint had responded shortly before; unset otherwise.
  std::optional<time_point> sent_to_live_at;
  /// Set by endpoint_crashes.
  end_evidence evidence = end_evidence::kNone;
};

/// One host's observations. Holds a limited number of suspects, for a second
/// or, if only a change of the instance can show an end, for some seconds.
class endpoint_crashes {
 public:
  /// No reply to a request arrived: its connection broke, or it was abandoned.
  void OnReplyLost(const crash_suspect& suspect);
  /// The endpoint responded.
  void OnAlive(time_point now, const endpoint_id& id);
  /// The endpoint accepted a connection.
  void OnConnected(const endpoint_id& id);
  /// The endpoint refused a connection.
  void OnConnectRefused(time_point now, const endpoint_id& id);
  /// The endpoint closed a connection on which it had never responded.
  void OnClosedUnused(time_point now, const endpoint_id& id);
  /// The endpoint's instance is known to be gone.
  void OnInstanceGone(time_point now, const endpoint_id& id);
  /// The request was answered by an endpoint, and is no suspect.
  void Exonerate(const request_identity& request);

  /// The suspects of endpoints that are now known to have ended; each is
  /// returned once. Those whose endpoint was silent first are dated back to
  /// when they were sent, so that ends at the same moment stay one event.
  std::vector<crash_suspect> TakeConfirmed(time_point now);
  /// Endpoints of which a connection broke and nothing was heard since: a new
  /// connection shows whether they have ended. Each is returned once per loss,
  /// and once more if it closed the connection.
  std::vector<endpoint_id> TakeUnchecked(time_point now);
  /// Whether an endpoint has refused a connection and no other one has shown
  /// that it is reached for a while, so that one should be asked. Returned once
  /// per refusal.
  bool TakeNeedForSignOfLife(time_point now);
  /// The instances at which replies were lost, with their start times.
  std::vector<std::pair<endpoint_id, std::uint64_t>> SuspectedInstances() const;
  /// Whether refusals may still confirm anything.
  bool IsUndecided(time_point now) const;
  /// Whether anything is left to confirm or to check.
  bool empty() const { return losses_.empty(); }

 private:
  /// Refusals of connections since the endpoint was last heard of.
  struct refusal {
    time_point first;
    /// It accepted the connections and closed them.
    bool closes = false;
    /// It did so again after another endpoint was alive.
    bool has_closed_again = false;
    /// TakeUnchecked() has returned it for that.
    bool checked_again = false;
  };
  /// The losses at one endpoint.
  struct endpoint_losses {
    std::vector<crash_suspect> suspects;
    std::optional<refusal> refused;
    /// A connection was accepted after the loss: a later refusal says nothing
    /// of what was lost before.
    bool accepted = false;
    /// Its instance is gone.
    bool is_gone = false;
    /// TakeUnchecked() or TakeNeedForSignOfLife() has returned it.
    bool checked = false;
    bool sign_of_life_requested = false;
  };
  struct sign_of_life {
    endpoint_id endpoint;
    time_point at;
  };

  /// Whether its refusals show that it has ended.
  bool HasRefused(const endpoint_id& id, const endpoint_losses& lost) const;
  /// Whether an endpoint other than `id` was alive after `since`.
  bool OthersAliveAfter(const endpoint_id& id, time_point since) const;
  void DropExpired(time_point now);
  void DropEmpty();
  std::size_t size() const;

  std::map<endpoint_id, endpoint_losses> losses_;
  /// The latest sign of life, and the latest of another endpoint.
  sign_of_life latest_alive_;
  sign_of_life other_alive_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_ENDPOINT_CRASHES_H_
