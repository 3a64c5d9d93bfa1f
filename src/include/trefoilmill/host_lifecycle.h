/// Graceful shutdown of a host, which aborts no request. See
/// docs/design/shutdown.md.
#ifndef TREFOILMILL_HOST_LIFECYCLE_H_
#define TREFOILMILL_HOST_LIFECYCLE_H_

#include <cstddef>
#include <variant>
#include <vector>

#include "trefoilmill/time.h"

namespace trefoilmill {

/// Phases of a host from service to exit, in order.
enum class lifecycle_phase {
  kServing,
  kLeaving,   ///< Off the entry lists, gets no new endpoints; still serves.
  kDraining,  ///< Refuses new queries; finishes those in progress.
  kStopped,   ///< No request in progress; the process exits.
};

/// Decides when a host may stop after a termination signal: a state machine
/// that takes events and returns actions.
class host_lifecycle {
 public:
  struct config {
    /// How long callers may use an entry list that they have fetched.
    duration entry_ttl;
    /// Longest deadline of a request.
    duration max_deadline;
  };

  /// @name Actions
  /// @{
  /// Tell the peers (membership::Leave()), leave the entry list and hand the
  /// endpoints over, taking no new work as their owner.
  struct start_leaving {};
  /// Tell the peers that no request is in flight at any endpoint and that none
  /// will be sent (membership::Release()).
  struct release_endpoints {};
  /// Refuse new queries with kShuttingDown, answer the remaining ones with
  /// `Connection: close` and stop listening for callers.
  struct start_draining {};
  /// Tell the peers (membership::Stop()), then exit.
  struct stop {};
  /// Call Tick() no later than `at`.
  struct wake {
    time_point at;
  };
  using action = std::
      variant<start_leaving, release_endpoints, start_draining, stop, wake>;
  using actions = std::vector<action>;
  /// @}

  explicit host_lifecycle(config settings) : config_(settings) {}

  /// @name Events
  /// @{
  /// Handles a termination signal. The first starts the graceful shutdown. The
  /// second skips the wait for callers' entry lists to expire, but still lets
  /// every request finish. Further signals have no effect.
  actions Terminate(time_point now);
  /// Sets whether this host may still send to an endpoint: it owns one in its
  /// own view, or has requests queued for or in flight at one.
  actions SetUsesEndpoints(time_point now, bool uses);
  /// Sets how many requests of callers and peers are in progress.
  actions SetInProgress(time_point now, std::size_t count);
  /// Handles the timers that are due.
  actions Tick(time_point now);
  /// Replaces the settings. During a shutdown the wait before draining may get
  /// longer, never shorter.
  actions SetConfig(time_point now, config settings);
  /// @}

  lifecycle_phase phase() const { return phase_; }
  /// Whether new queries are accepted.
  bool AcceptsQueries() const { return phase_ <= lifecycle_phase::kLeaving; }
  /// Whether replies to callers close their connections.
  bool ClosesConnections() const { return phase_ != lifecycle_phase::kServing; }

 private:
  /// Makes all phase changes that are due and returns their actions.
  actions Advance(time_point now);

  config config_;
  lifecycle_phase phase_ = lifecycle_phase::kServing;
  /// When draining starts. Set when leaving starts.
  time_point drain_at_;
  bool uses_endpoints_ = true;
  /// Whether release_endpoints was returned; it is returned at most once.
  bool released_ = false;
  std::size_t in_progress_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_HOST_LIFECYCLE_H_
