/// The owner's scheduler for one endpoint: decides when and on which connection
/// each request is sent, keeps connections and requests in flight within the
/// endpoint's limits, and ramps up a cold endpoint. Performs no I/O and reads
/// no clock: each event takes the current time and returns the actions to
/// perform, in order. See docs/design/owner-scheduling.md and
/// docs/design/cold-start.md.
#ifndef TREFOILMILL_ENDPOINT_SCHEDULER_H_
#define TREFOILMILL_ENDPOINT_SCHEDULER_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/messages.h"
#include "trefoilmill/ownership_standing.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// One sub-request, for one shard, to the endpoint.
struct shard_task {
  attempt_id attempt;
  request_id request;
  shard_ref shard;
  snapshot_version version;
  time_point deadline;
  /// 0 (lowest) to 9 (highest).
  int priority = 0;
  bool idempotent = true;
  /// The primary attempt that this hedge duplicates; nullopt for other tasks.
  std::optional<attempt_id> hedge_of;
  /// Body of the request.
  std::shared_ptr<const std::string> body;

  bool is_hedge() const { return hedge_of.has_value(); }
};

/// How an exchange on a connection ended.
enum class reply_kind {
  kAnswer,            ///< Status 200, matching the request.
  kShed,              ///< Refused because of load; did not run.
  kDraining,          ///< The endpoint accepts no new requests; did not run.
  kCancelled,         ///< Cancelled before it ran.
  kDeadlineExceeded,  ///< Expired in the endpoint's queue; did not run.
  kVersionGone,       ///< The endpoint lacks that version; did not run.
  kError,             ///< The endpoint reported an internal failure.
  kMalformed,         ///< Unrecognized, truncated or too large.
  kMismatch,          ///< Answer for another attempt, version or shard.
  kTimeout,           ///< No reply within send_request::timeout.
  kReset,             ///< The connection broke after the request was sent.
  kNotSent,           ///< The connection was closed; no byte was sent.
};

/// The endpoint's reply to send_request, or how the exchange failed.
struct endpoint_reply {
  reply_kind kind = reply_kind::kAnswer;
  /// The endpoint's process; empty if the reply did not identify it.
  instance_id instance;
  /// Delay that the endpoint asked for before a retry.
  std::optional<duration> retry_after;
  /// Set for kAnswer.
  std::optional<std::string> payload;
};

/// The answer to send_cancel.
enum class cancel_reply {
  kNotRun,   ///< The attempt did not run and never will.
  kRunning,  ///< The attempt is running; its reply will follow.
  kUnknown,  ///< The endpoint has no such attempt.
  kFailed,   ///< No reply; the connection is unusable.
};

/// Which tasks a cancellation applies to.
enum class cancel_scope {
  kAny,         ///< Queued or in flight.
  kQueuedOnly,  ///< Only if still in the owner's queue.
};

/// The state that an endpoint reports for itself.
enum class reported_state { kCold, kWarm, kDraining };

/// The endpoint's reply to check_health.
struct health_report {
  instance_id instance;
  reported_state state = reported_state::kWarm;
};

/// Whether new requests may be sent to the endpoint.
enum class serving_state {
  kInService,
  kZoneOut,   ///< Operators took its availability zone out of service.
  kDraining,  ///< The host list marks it so, or this host is stopping.
};

/// Only this host connects to the endpoint: its full limits apply.
struct owner_share {
  friend bool operator==(const owner_share&, const owner_share&) = default;
};

/// Each of `hosts` hosts connects to the endpoint independently and may use an
/// equal part of each limit, rounded down, at least 1.
struct static_share {
  int hosts = 1;
  friend bool operator==(const static_share&, const static_share&) = default;
};

/// Which part of the endpoint's limits this host may use.
using limit_share = std::variant<owner_share, static_share>;

/// Settings of an endpoint_scheduler.
struct endpoint_scheduler_options {
  /// Maximum number of queued requests; excess ones, lowest priority first, are
  /// refused with kOverloaded.
  int max_queue = 64;
  limit_share share = owner_share{};
  /// Whether an uncertain owner may send one request at a time to an endpoint
  /// whose allowance was seeded by SeedAllowance(). Shortens recovery after an
  /// owner's death, but may overload the endpoint if two live owners coincide
  /// with a cold start.
  bool probe_seeded_when_uncertain = false;
};

/// @name Actions
/// Each connection_id identifies one TCP connection of this scheduler and is
/// never reused.
/// @{

/// Open a connection; report ConnectionOpened() or ConnectionFailed().
struct open_connection {
  connection_id connection;
};

/// Close the connection at once, whatever its state (opening, idle, or with an
/// exchange in progress). No event about it may follow.
struct close_connection {
  connection_id connection;
};

/// Send the task as `POST /v1/search` on an idle connection; report Replied().
struct send_request {
  connection_id connection;
  attempt_id attempt;
  /// Time left until the deadline, sent as `deadline_ms`.
  duration remaining{};
  /// Timeout of the exchange: when it expires, report Replied() with kTimeout;
  /// if nothing is reported, the scheduler later aborts the exchange itself.
  /// Longer than `remaining`, since an endpoint that replies late occupies its
  /// slot until then.
  duration timeout{};
};

/// Send `POST /v1/cancel` on an idle connection; report CancelReplied().
struct send_cancel {
  connection_id connection;
  attempt_id attempt;
  /// Timeout: when it expires, report CancelReplied() with kFailed.
  duration timeout{};
};

/// Send `GET /v1/health` on an idle connection; report HealthReplied().
struct check_health {
  connection_id connection;
  /// Timeout: when it expires, report HealthReplied() without a report.
  duration timeout{};
};

/// Deliver the task's final outcome; exactly one for each submitted attempt.
struct finish_task {
  request_id request;
  shard_reply reply;
};

/// Note that a hedge was sent to the endpoint.
struct hedge_started {
  request_id request;
  attempt_id attempt;
};

/// Call Tick() at `at`; replaces any earlier wake_at.
struct wake_at {
  time_point at;
};

/// Any of the actions above.
using scheduler_action = std::variant<open_connection,
                                      close_connection,
                                      send_request,
                                      send_cancel,
                                      check_health,
                                      finish_task,
                                      hedge_started,
                                      wake_at>;
/// Actions in the order in which to perform them.
using scheduler_actions = std::vector<scheduler_action>;
/// @}

/// Monotonic counters for metrics.
struct scheduler_counters {
  /// Requests sent, and those answered with kAnswer.
  std::uint64_t sent = 0;
  std::uint64_t answered = 0;
  /// Tasks refused because the queue was full.
  std::uint64_t refused_queue_full = 0;
  /// Tasks refused because their deadline could not be met.
  std::uint64_t refused_deadline = 0;
  /// Replies with kShed.
  std::uint64_t shed = 0;
  /// Replies with kTimeout.
  std::uint64_t timeouts = 0;
  /// Failed attempts to connect, and connections that the peer closed or that
  /// broke.
  std::uint64_t connection_failures = 0;
  /// Times that the endpoint was assumed or reported to be cold.
  std::uint64_t cold_starts = 0;
};

/// Owns the queue, the connection pool and the warm-up state of one endpoint.
/// Initially the host is not the owner and the endpoint is in service and cold.
class endpoint_scheduler {
 public:
  /// Fails with kBadRequest if a limit or options.max_queue is below 1.
  static result<endpoint_scheduler> Create(
      endpoint_config config,
      const endpoint_limits& limits,
      const endpoint_scheduler_options& options);
  endpoint_scheduler(endpoint_scheduler&&) noexcept;
  endpoint_scheduler& operator=(endpoint_scheduler&&) noexcept;
  ~endpoint_scheduler();

  /// @name Tasks
  /// @{
  /// Queues the task, or finishes it at once as kNotRun if it is refused. An
  /// attempt that is already queued or in flight is ignored.
  scheduler_actions Submit(time_point now, shard_task task);
  /// Cancels a task: a queued one finishes at once as kNotRun; one in flight is
  /// cancelled at the endpoint and finishes when its exchange ends or its
  /// deadline passes. Unknown attempts are ignored, as are those in flight with
  /// cancel_scope::kQueuedOnly.
  scheduler_actions Cancel(time_point now,
                           attempt_id attempt,
                           cancel_scope scope = cancel_scope::kAny);
  /// @}

  /// @name Connection events
  /// @{
  scheduler_actions ConnectionOpened(time_point now, connection_id connection);
  scheduler_actions ConnectionFailed(time_point now, connection_id connection);
  /// The peer closed the connection. Ends an exchange in progress on it: a
  /// search as kReset, a cancellation as kFailed, a health check without a
  /// report. No further event about the connection may follow.
  scheduler_actions ConnectionClosed(time_point now, connection_id connection);
  /// The exchange of send_request ended. After kTimeout, kMalformed and
  /// kMismatch the scheduler closes the connection; after kReset and kNotSent
  /// it treats the connection as closed.
  scheduler_actions Replied(time_point now,
                            connection_id connection,
                            endpoint_reply reply);
  /// The exchange of send_cancel ended. After kFailed the connection is treated
  /// as closed.
  scheduler_actions CancelReplied(time_point now,
                                  connection_id connection,
                                  cancel_reply reply);
  /// The exchange of check_health ended. Without a report the connection is
  /// treated as closed.
  scheduler_actions HealthReplied(time_point now,
                                  connection_id connection,
                                  const std::optional<health_report>& report);
  /// @}

  /// @name External state and time
  /// @{
  /// Takes a health report from a source other than check_health. Never raises
  /// the endpoint's allowance.
  scheduler_actions ObserveHealthReport(time_point now,
                                        const health_report& report);
  /// Connections within the new limits and requests in flight are kept. Ignored
  /// if a limit is below 1.
  scheduler_actions SetLimits(time_point now, const endpoint_limits& limits);
  /// A max_queue below 1 is taken as 1.
  scheduler_actions SetOptions(time_point now,
                               const endpoint_scheduler_options& options);
  scheduler_actions SetStanding(time_point now, ownership_standing standing);
  scheduler_actions SetServingState(time_point now, serving_state serving);
  /// Sets the initial allowance (requests in flight) from the previous owner's
  /// last load report on the process `instance`. It applies in full only once
  /// that same process replies. Ignored once this scheduler has opened a
  /// connection as owner, if `instance` is empty or `allowance` is below 1.
  scheduler_actions SeedAllowance(time_point now,
                                  const instance_id& instance,
                                  int allowance);
  /// Sets the usual latency of the endpoint's replicas, with which its own is
  /// compared; zero if unknown.
  scheduler_actions SetReplicaLatency(time_point now, duration latency);
  /// The time of the last wake_at has come. May be called at any time.
  scheduler_actions Tick(time_point now);
  /// @}

  /// Current load, to be attached to replies.
  endpoint_load load() const;
  const endpoint_config& config() const;
  const scheduler_counters& counters() const;
  /// The queued or in-flight task; nullptr if unknown. Valid until the next
  /// event.
  const shard_task* task(attempt_id attempt) const;
  /// Number of connections: open, being opened, or recently closed here (the
  /// peer may not have noticed yet).
  int connections() const;
  /// Nothing is queued, in flight or connected: the scheduler may be destroyed.
  bool idle() const;

 private:
  struct impl;
  explicit endpoint_scheduler(std::unique_ptr<impl> state);
  std::unique_ptr<impl> impl_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_ENDPOINT_SCHEDULER_H_
