/// Runs one request of a caller from its arrival to its answer: selects the
/// endpoint for the request or for each of its shards, sends hedges and
/// retries, and decides when to answer, with partial results if necessary.
///
/// Hedges, and partial answers at the objective, limit the effect of endpoints
/// that pause or are temporarily slow. A shard without a usable endpoint is not
/// waited for. A lost reply is retried where that is safe.
#ifndef TREFOILMILL_REQUEST_REQUEST_RUN_H_
#define TREFOILMILL_REQUEST_REQUEST_RUN_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/process/shared_request_state.h"
#include "trefoilmill/request/earlier_attempts.h"
#include "trefoilmill/request/request_caution.h"
#include "trefoilmill/request/request_identity.h"
#include "trefoilmill/request/request_outcome.h"
#include "trefoilmill/request/request_shard.h"
#include "trefoilmill/request/request_summary.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"
#include "trefoilmill/version/route_table.h"

namespace trefoilmill {

/// A shard that an answer lacks or had to wait for.
struct shard_trouble {
  service_id service;
  /// The endpoint that was tried last; empty if none was.
  endpoint_id endpoint;
  resend_obstacle obstacle = resend_obstacle::kNone;
};

/// Time reserved before a caller's deadline to deliver the answer.
inline constexpr duration kAnswerDeliveryMargin = std::chrono::milliseconds(12);

/// State machine of one request. It performs no I/O and reads no clock: its
/// user carries out the returned actions and reports their outcomes. The
/// `shared` argument of its functions is the state that all requests of the
/// process use.
class request_run {
 public:
  /// @name Actions
  /// @{
  /// Send the sub-request to an endpoint, with the time left until `deadline`.
  struct send {
    attempt_id attempt;
    /// Index into the services passed to the constructor.
    std::size_t shard = 0;
    endpoint_id endpoint;
    time_point deadline;
  };
  /// All connections to the shard's service are in use: call OnCapacity() when
  /// one becomes free.
  struct await_capacity {
    std::size_t shard = 0;
    service_id service;
    /// Latest time to answer within the objective.
    time_point objective_deadline;
    /// The request's organisation asks for more than its share.
    bool over_share = false;
  };
  /// Answer the caller. No further action follows; outcomes of attempts in
  /// flight must still be reported.
  struct finish {
    caller_answer answer;
  };
  /// Call Tick() at this time. Replaces an earlier wake.
  struct wake {
    time_point at;
  };
  using action = std::variant<send, await_capacity, finish, wake>;
  using actions = std::vector<action>;
  /// @}

  using summary = request_summary;

  /// `table` is the configuration version used for the whole request; `r` is
  /// one of its routes. `services` are the shards of a gather target, or the
  /// one service selected from a relay target. `deadline` is the time at which
  /// the caller stops waiting. Without an `identity` nothing is known of
  /// earlier requests like it, and nothing is recorded of this one. The
  /// priority of the caller's organisation goes before the route's. `earlier`
  /// are the endpoints that other hosts sent it to: together with them it is
  /// sent to no more endpoints than the route allows.
  request_run(std::shared_ptr<const route_table> table,
              const route& r,
              std::vector<service_id> services,
              time_point arrived,
              time_point deadline,
              std::optional<request_identity> identity = std::nullopt,
              request_owner owner = {},
              const earlier_attempts& earlier = {});

  /// Sends every shard's first attempt, or refuses the request if it cannot be
  /// answered in time or with enough shards.
  actions Start(time_point now, shared_request_state& shared);
  /// An attempt ended. Ignored if `attempt` is not in flight.
  actions OnOutcome(time_point now,
                    shared_request_state& shared,
                    attempt_id attempt,
                    attempt_outcome outcome);
  /// A connection to the service of `shard` became free.
  actions OnCapacity(time_point now,
                     shared_request_state& shared,
                     std::size_t shard);
  /// Sends hedges that are due, and answers if a deadline has passed.
  actions Tick(time_point now, shared_request_state& shared);
  /// The process stops: the request has to be answered by `shared.answer_by`,
  /// which is set.
  actions OnStop(time_point now, shared_request_state& shared);

  /// Gives the request up, so that another host can run it from the beginning.
  /// Possible if it may run twice, has no reply yet, and the budget allows an
  /// extra send to each service; returns whether it is.
  bool TryHandOver(time_point now, shared_request_state& shared);
  /// The endpoints that the request was sent to, here and at other hosts.
  earlier_attempts Attempts() const;
  /// The caller disconnected: nothing more is sent or answered.
  void OnCallerDisconnected() { finished_ = true; }

  bool finished() const { return finished_; }
  /// The route that the request matched.
  const route& matched() const { return *route_; }
  request_priority priority() const { return priority_; }
  const summary& counts() const { return counts_; }
  /// The shards without a good reply, or that were hedged or due to be, at most
  /// `limit`; those without a reply first.
  std::vector<shard_trouble> Troubles(std::size_t limit) const;
  /// Whether an attempt has no outcome yet, so an endpoint may be running it.
  bool in_flight() const;

 private:
  using attempt = request_attempt;
  using shard = request_shard;

  /// What the request has to expect if it is sent now, with `time_left` until
  /// its objective.
  deadline_admission::prospect Prospect(time_point now,
                                        const shared_request_state& shared,
                                        duration time_left) const;
  /// Fraction of requests like this one to let in, by its organisation's share.
  double AdmittedFraction(time_point now,
                          shared_request_state& shared,
                          const deadline_admission::prospect& expected) const;
  /// Whether the request's organisation asks for more than its share while
  /// endpoints are short.
  bool IsOverShare(time_point now, shared_request_state& shared) const;
  /// Whether the caller was refused before: it has less time left than other
  /// callers of the route, whose longest wait is recorded here.
  bool HasReturned(time_point now, shared_request_state& shared) const;
  /// Sends every shard's first attempt, or refuses the request if too few
  /// shards have a usable endpoint.
  actions SendAll(time_point now, shared_request_state& shared);
  /// Sends a deferred request once the load allows, or refuses it when its time
  /// runs out.
  actions ContinueDeferred(time_point now, shared_request_state& shared);
  /// Selects an endpoint for a shard and sends to it. Waits for a connection if
  /// all are in use; fails the shard if no endpoint is usable.
  void Dispatch(time_point now,
                shared_request_state& shared,
                std::size_t index,
                actions& out);
  /// Selects an endpoint for a send of the shard, of the version that a
  /// roll-out of its service assigns to it.
  endpoint_selector::selection SelectEndpoint(
      time_point now,
      shared_request_state& shared,
      const shard& s,
      duration expected,
      duration time_left,
      endpoint_selector::purpose purpose) const;
  /// `excluded`, and the endpoints of a service that are not known to be up.
  std::vector<endpoint_id> WithEndpointsNotKnownUp(
      time_point now,
      const shared_request_state& shared,
      const service_id& service,
      std::vector<endpoint_id> excluded) const;
  /// The endpoints of the shard's service that may not get the request.
  std::vector<endpoint_id> ExcludedEndpoints(const endpoint_registry& registry,
                                             const shard& s) const;
  /// Number of endpoints that the shard was sent to by any host.
  std::size_t EndpointsUsed(const shard& s) const;
  /// Whether the route's limit lets the shard be sent to an endpoint that has
  /// not had it.
  bool MayUseAnotherEndpoint(const shard& s) const;
  /// Whether other hosts have sent the request to endpoints.
  bool HasEarlierAttempts() const;
  /// Credits the budget for extra sends with the first send of a shard, unless
  /// another host has sent it before.
  static void CountFirstSend(time_point now,
                             shared_request_state& shared,
                             const shard& s);
  /// Why nothing is sent on this selection.
  static resend_obstacle ObstacleOf(
      const endpoint_selector::selection& selection);
  /// Gives up a shard that cannot be sent again because of `obstacle`.
  static void FailShard(time_point now,
                        shared_request_state& shared,
                        shard& s,
                        resend_obstacle obstacle);
  /// Takes in what the end of an attempt says of the endpoint's software.
  void RecordVersionAnswer(time_point now,
                           shared_request_state& shared,
                           const attempt& done,
                           const attempt_outcome& outcome) const;
  void SendTo(time_point now,
              shared_request_state& shared,
              std::size_t index,
              const endpoint_selector::selected& selected,
              actions& out);
  /// Retries a shard that has no attempt in flight, or fails it, or holds it
  /// back.
  void RetryOrFail(time_point now,
                   shared_request_state& shared,
                   std::size_t index,
                   actions& out);
  /// Retries a shard, or fails it.
  void Retry(time_point now,
             shared_request_state& shared,
             std::size_t index,
             actions& out);

  /// @name Requests that may end endpoints
  /// @{
  /// What earlier requests like this one did to endpoints.
  request_standing Standing(time_point now,
                            const shared_request_state& shared) const;
  /// Whether a shard waits for a free connection.
  bool awaiting_capacity() const;
  /// Whether only one endpoint at a time may get the request, as it may end
  /// endpoints and none has replied.
  bool IsCautious() const;
  /// Indices of the shards in the order in which a request that may end
  /// endpoints is sent to them: those with an endpoint that is known to be up
  /// come first.
  std::vector<std::size_t> CautiousOrder(
      time_point now,
      const shared_request_state& shared) const;
  /// Counts an attempt that is late or whose connection broke.
  void CountUnanswered(attempt& a);
  /// Counts the attempts that were sent `delay` ago or earlier.
  void CountLateAttempts(time_point now, duration delay);
  /// If every attempt in flight is late, sends the request to one more
  /// endpoint, a limited number of times.
  void HedgeCautiously(time_point now,
                       shared_request_state& shared,
                       duration delay,
                       actions& out);
  /// Whether endpoints are known to have ended under requests like this one.
  bool HasStrikes(const shared_request_state& shared) const;
  /// What other hosts are told of it for want of any reply, and when.
  struct due_warning {
    silence_warning what = silence_warning::kNone;
    /// When the first or last send in progress was made.
    time_point silent_since;
    time_point at;
  };
  std::optional<due_warning> NextWarning(
      const shared_request_state& shared) const;
  /// Gives the warning that is due.
  void WarnOfSilence(time_point now, shared_request_state& shared);
  /// Whether no further endpoint may get it.
  bool MustStop(time_point now, const shared_request_state& shared) const;
  /// An endpoint has replied, so that the request is harmless.
  void RecordReply(time_point now, shared_request_state& shared) const;
  /// Records a lost reply, which may be due to the end of the endpoint.
  void RecordLoss(time_point now,
                  shared_request_state& shared,
                  attempt lost,
                  reason_code reason);
  /// If the request has failed after connections broke, warns against requests
  /// like it.
  void RecordFailure(time_point now, shared_request_state& shared) const;
  /// Holds a shard back, and goes on with one if nothing is in progress.
  void Hold(time_point now,
            shared_request_state& shared,
            std::size_t index,
            actions& out);
  /// Sends held shards until one is in progress.
  void SendNextHeld(time_point now, shared_request_state& shared, actions& out);
  /// An endpoint has replied: sends all held shards.
  void ReleaseHeld(time_point now, shared_request_state& shared, actions& out);
  void SendHeld(time_point now,
                shared_request_state& shared,
                std::size_t index,
                actions& out);
  /// @}

  /// Hedges every shard whose hedge is due.
  void HedgeLateShards(time_point now,
                       shared_request_state& shared,
                       actions& out);
  void HedgeShard(time_point now,
                  shared_request_state& shared,
                  std::size_t index,
                  actions& out);
  /// Brings the answer deadline forward to when the process stops, if that is
  /// earlier.
  void LimitAnswerDeadline(time_point answer_by);
  /// Whether the process stops too soon for the request to be done by then.
  bool StopsTooSoon(time_point now, const shared_request_state& shared) const;
  /// Answers the caller if the request is complete, cannot succeed any more, or
  /// has run out of time.
  void FinishIfDue(time_point now, actions& out);
  /// Removes the sends from `out`, none of which was carried out yet.
  void CancelPlannedSends(shared_request_state& shared, actions& out);
  void FinishGatherIfDue(time_point now,
                         const gather_target& target,
                         actions& out);
  void FinishRelayIfDue(time_point now, actions& out);
  void Fail(time_point now, reason_code reason, actions& out);
  /// When a caller whose request is refused for `reason` may return: when all
  /// of the paused shards are usable again, if any is paused.
  duration RetryAfter(time_point now, reason_code reason) const;
  void Finish(caller_answer answer, actions& out);
  /// Adds a wake for the next time at which something is due.
  void ScheduleWake(time_point now,
                    const shared_request_state& shared,
                    actions& out) const;

  bool CanRetry(const shard& s) const;
  /// Whether a second endpoint may get the shard while a first one has it.
  bool MayHedge(time_point now, const shard& s) const;
  /// The same, for all late shards at once.
  bool CanHedge(time_point now, const shard& s) const;
  /// When the shard's next hedge is due: at `next_hedge_at` if set, else
  /// `delay` after its oldest attempt in flight was sent.
  static time_point HedgeTime(const shard& s, duration delay);
  /// Whether the coverage would be too low if one more shard failed; for a
  /// relay target, whether its objective has been missed.
  bool NeedsAllRemainingShards(time_point now) const;
  /// Time until the objective is missed or, once it is, until the answer is
  /// due.
  duration TimeLeft(time_point now) const;
  /// When a request is refused that got no free connection.
  time_point CapacityDeadline() const;
  /// Fraction of shards that replied, 0..1.
  double Coverage() const;
  /// Fraction of shards that did not fail, 0..1.
  double AttainableCoverage() const;
  /// Time after which an attempt counts as late.
  duration HedgeDelay(const shared_request_state& shared) const;
  gathered_answer MergeReplies(const gather_target& target) const;

  std::shared_ptr<const route_table> table_;
  const route* route_;
  std::optional<request_identity> identity_;
  organisation_id owner_;
  request_priority priority_;
  request_caution caution_;
  std::vector<shard> shards_;
  /// Endpoints that other hosts sent the request to, of services that are not
  /// among the shards: another version of the configuration named them.
  earlier_attempts other_attempts_;
  time_point arrived_;
  /// When the answer must be sent in any case.
  time_point answer_deadline_;
  /// The answer deadline is that of the stopping process.
  bool limited_by_stop_ = false;
  /// Latest time to send an answer that meets the route's objective.
  time_point objective_deadline_;
  bool finished_ = false;
  /// Until when the request waits, with nothing sent, for the load to fall.
  std::optional<time_point> deferred_until_;
  /// Start() has planned sends that are not carried out yet.
  bool planning_ = false;
  /// The latest error that an endpoint itself replied with.
  std::optional<endpoint_replied> last_error_reply_;
  summary counts_;
};

/// Returns the `top_k` greatest records of `parts`, greatest first, compared as
/// unsigned bytes. Each part is a sequence of records of kRecordBytes; a
/// shorter remainder at its end is ignored.
std::string MergeRecords(const std::vector<const std::string*>& parts,
                         std::size_t top_k);

/// Size of a record in bytes.
inline constexpr std::size_t kRecordBytes = 16;

}  // namespace trefoilmill

#endif  // TREFOILMILL_REQUEST_REQUEST_RUN_H_
