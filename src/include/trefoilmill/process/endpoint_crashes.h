/// Which endpoints have ended with requests in flight, and which requests those
/// were.
///
/// A connection that breaks says little: endpoints reset connections and go on,
/// and the link between this host and the endpoints can break. An endpoint has
/// ended if it refuses a new connection while another one shows afterwards that
/// it is reached. A refusal while no endpoint is reached is the link's.
#ifndef TREFOILMILL_PROCESS_ENDPOINT_CRASHES_H_
#define TREFOILMILL_PROCESS_ENDPOINT_CRASHES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/request/request_identity.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

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
};

/// One host's observations. Holds suspects for about a second, and a limited
/// number of them.
class endpoint_crashes {
 public:
  /// No reply to a request arrived: its connection broke, or it was abandoned.
  void OnReplyLost(const crash_suspect& suspect);
  /// The endpoint responded, or accepted a connection.
  void OnAlive(time_point now, const endpoint_id& id);
  /// The endpoint refused a connection.
  void OnConnectRefused(time_point now, const endpoint_id& id);
  /// The request was answered by an endpoint, and is no suspect.
  void Exonerate(const request_identity& request);

  /// The suspects of endpoints that are now known to have ended; each is
  /// returned once.
  std::vector<crash_suspect> TakeConfirmed(time_point now);
  /// Endpoints of which a connection broke and nothing was heard since: a new
  /// connection shows whether they have ended. Each is returned once per loss.
  std::vector<endpoint_id> TakeUnchecked(time_point now);
  /// Whether an endpoint has refused a connection and no other one has shown
  /// that it is reached for a while, so that one should be asked. Returned once
  /// per refusal.
  bool TakeNeedForSignOfLife(time_point now);
  /// Whether anything is left to confirm or to check.
  bool empty() const { return losses_.empty(); }

 private:
  /// The losses at one endpoint.
  struct endpoint_losses {
    std::vector<crash_suspect> suspects;
    std::optional<time_point> refused_at;
    /// TakeUnchecked() or TakeNeedForSignOfLife() has returned it.
    bool checked = false;
    bool sign_of_life_requested = false;
  };
  struct sign_of_life {
    endpoint_id endpoint;
    time_point at;
  };

  /// Whether an endpoint other than `id` was alive after `since`.
  bool OthersAliveAfter(const endpoint_id& id, time_point since) const;
  void DropExpired(time_point now);
  std::size_t size() const;

  std::map<endpoint_id, endpoint_losses> losses_;
  /// The latest sign of life, and the latest of another endpoint.
  sign_of_life latest_alive_;
  sign_of_life other_alive_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_ENDPOINT_CRASHES_H_
