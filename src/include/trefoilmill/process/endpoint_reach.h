/// Whether this host reaches the endpoints.
///
/// Links between a host and the endpoints can fail as a whole while callers,
/// the store and the other hosts still reach it: connections hang or are reset,
/// or go on while new ones are refused. A single endpoint that does not answer
/// says nothing of this; several in a row, with no response from any in between
/// and over more than one turn of the event loop, may. Late responses alone may
/// mean that all endpoints have become slow: requests or connections have to be
/// lost, too, or the silence has to last.
#ifndef TREFOILMILL_PROCESS_ENDPOINT_REACH_H_
#define TREFOILMILL_PROCESS_ENDPOINT_REACH_H_

#include <cstddef>
#include <optional>
#include <set>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Decides from the responses of all endpoints together.
class endpoint_reach {
 public:
  /// Sets how many endpoints there are.
  void SetKnownEndpoints(std::size_t count) { known_ = count; }

  /// @name Evidence
  /// @{
  /// A response arrived, whatever it says.
  void OnResponse(time_point now, const endpoint_id& id);
  /// No response yet to a request that should have one.
  void OnLate(time_point now, const endpoint_id& id);
  /// The link is broken: a connection with a request on it was closed, or one
  /// that was being opened went unanswered.
  void OnLost(time_point now, const endpoint_id& id);
  /// A connection was opened, or could not be. That no new one can be opened
  /// says nothing of those that are open.
  void OnConnected(const endpoint_id& id);
  void OnConnectFailed(time_point now,
                       const endpoint_id& id,
                       bool has_connection);
  /// Time passes without evidence. To be called several times a second.
  void Update(time_point now);
  /// Discards the evidence of an endpoint that was removed or replaced.
  void Forget(const endpoint_id& id);
  /// @}

  /// Whether no endpoint is reached. Ends only with responses of several.
  bool is_cut_off() const { return is_cut_off_; }
  /// Whether new connections to several endpoints fail; those that are open may
  /// go on.
  bool is_impaired() const;
  /// Asks for probes: it matters now whether any endpoint is reached.
  void RequestSignOfLife() { sign_of_life_requested_ = true; }
  /// Whether endpoints should be asked for a sign of life: this host is cut
  /// off, or may be and has too few requests to tell, or one was requested.
  bool ShouldProbe(time_point now) const;
  /// Number of endpoints that have not responded since any last did.
  std::size_t unanswered() const { return unanswered_.size(); }

 private:
  /// Whether the silence shows that this host is cut off.
  bool IsSilenceConclusive(time_point now) const;
  /// `wanted` endpoints, or all if there are fewer.
  std::size_t AtMostKnown(std::size_t wanted) const;

  std::size_t known_ = 0;
  bool is_cut_off_ = false;
  /// And none has responded since.
  bool sign_of_life_requested_ = false;
  /// Endpoints without a response since any of them last responded, and since
  /// when there are any.
  std::set<endpoint_id> unanswered_;
  std::optional<time_point> unanswered_since_;
  /// Those of them whose links are broken, unless any was found to work since.
  std::set<endpoint_id> lost_;
  /// While cut off: endpoints that have responded.
  std::set<endpoint_id> answered_;
  /// Endpoints to which the latest attempt to connect failed.
  std::set<endpoint_id> unconnected_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_ENDPOINT_REACH_H_
