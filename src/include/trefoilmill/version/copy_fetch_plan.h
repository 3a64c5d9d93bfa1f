/// Decides when, and from which peer, a host fetches what it lacks of one kind
/// of objects. The situation it is for: after a large change many hosts want
/// the same bytes from the few that have them, over links that they can fill.
#ifndef TREFOILMILL_VERSION_COPY_FETCH_PLAN_H_
#define TREFOILMILL_VERSION_COPY_FETCH_PLAN_H_

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// One fetch at a time. What a failed fetch has brought is the caller's to
/// keep.
class copy_fetch_plan {
 public:
  struct config {
    /// A host that has content fetches only if a peer stays ahead for this
    /// long: a patch, or the store itself, usually brings it there within this
    /// time.
    duration fetch_delay = std::chrono::milliseconds(150);
    /// Delay after a refusal by a peer that serves many others.
    duration busy_delay = std::chrono::milliseconds(80);
    /// Delay after a first failure; doubles with each further one in a row.
    duration initial_backoff = std::chrono::milliseconds(100);
    duration max_backoff = std::chrono::milliseconds(800);
    /// How long a peer is avoided after a failure, if there is another one.
    duration avoidance = std::chrono::seconds(2);
  };

  copy_fetch_plan(const config& settings, std::mt19937_64 random);

  /// The peer to fetch from now, out of those that are ahead of this host;
  /// nullopt if there is nothing to fetch yet. A fetch is then in progress
  /// until one of the other functions is called.
  std::optional<socket_address> NextSource(
      time_point now,
      bool has_content,
      const std::vector<socket_address>& peers_ahead);
  /// The fetch brought something, and more is needed: the same peer is asked
  /// again at once.
  void OnPage();
  /// The fetch brought everything that its peer had.
  void OnComplete();
  /// The peer serves too many others.
  void OnBusy(time_point now);
  /// The fetch brought nothing.
  void OnFailed(time_point now);

  bool in_progress() const { return in_progress_; }

 private:
  duration Jittered(duration length);
  socket_address Choose(time_point now,
                        const std::vector<socket_address>& peers);

  config config_;
  std::mt19937_64 random_;
  bool in_progress_ = false;
  /// Since when a peer has been ahead of this host.
  std::optional<time_point> behind_since_;
  /// No fetch begins before this time.
  time_point not_before_;
  int failures_in_a_row_ = 0;
  /// The peer of the fetch in progress, or of the last one.
  socket_address source_;
  /// Whether `source_` is to be asked again.
  bool continues_ = false;
  /// Until when peers that failed are avoided.
  std::map<socket_address, time_point> avoided_until_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_COPY_FETCH_PLAN_H_
