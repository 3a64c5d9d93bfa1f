/// One request of a caller, from its placement to its answer: which endpoint
/// gets it or its shards, when a shard is hedged or tried again, when to answer
/// with what is there, when to give up.
///
/// Answers the load patterns "pauses" and "stragglers" (hedges, and partial
/// answers at the objective), "all endpoints of a shard gone" (its shard is not
/// waited for) and "answers lost" (a retry where that is safe).
#ifndef TREFOILMILL_REQUEST_REQUEST_RUN_H_
#define TREFOILMILL_REQUEST_REQUEST_RUN_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilmill/http_message.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/process/traffic.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"
#include "trefoilmill/version/route_table.h"

namespace trefoilmill {

/// @name How a sub-request ended
/// @{
/// The endpoint ran it and replied, be it with an error.
struct endpoint_replied {
  http_response response;
  /// The endpoint's proof that this reply is its own; empty if it gave none.
  std::string stamp;
};
/// The endpoint, or the connection to it, certainly did not run it.
struct endpoint_refused {
  reason_code reason = reason_code::kShed;
};
/// It may have run; no usable reply came.
struct reply_lost {
  reason_code reason = reason_code::kConnectionReset;
};
using attempt_outcome =
    std::variant<endpoint_replied, endpoint_refused, reply_lost>;
/// @}

/// @name What the caller gets
/// @{
/// The greatest records of the shards that replied.
struct gathered_answer {
  std::vector<std::string> stamps;
  std::size_t missing = 0;
  std::string records;
};
/// An endpoint's reply, unchanged.
struct relayed_answer {
  http_response response;
  std::string stamp;
};
/// Certainly not run; worth another try after `retry_after`.
struct refused_answer {
  reason_code reason = reason_code::kOverloaded;
  duration retry_after{};
};
/// No answer, and it may have run.
struct failed_answer {
  reason_code reason = reason_code::kDeadlineExceeded;
};
using caller_answer = std::
    variant<gathered_answer, relayed_answer, refused_answer, failed_answer>;
/// @}

class request_run {
 public:
  /// @name Actions
  /// @{
  /// Hand the request to an endpoint, with the time left until `deadline`.
  struct send {
    attempt_id attempt;
    std::size_t shard = 0;
    endpoint_id endpoint;
    time_point deadline;
  };
  /// All connections of the shard's service are in use: call OnCapacity() when
  /// one becomes free.
  struct await_capacity {
    std::size_t shard = 0;
    service_id service;
  };
  /// Answer the caller. Nothing follows but outcomes of what is in flight.
  struct finish {
    caller_answer answer;
  };
  /// Call Tick() at this time. Replaces earlier ones.
  struct wake {
    time_point at;
  };
  using action = std::variant<send, await_capacity, finish, wake>;
  using actions = std::vector<action>;
  /// @}

  /// Counts for logs and metrics.
  struct summary {
    std::size_t shards = 0;
    std::size_t answered = 0;
    std::size_t without_endpoint = 0;
    std::size_t sends = 0;
    std::size_t hedges = 0;
    std::size_t retries = 0;
    std::size_t budget_refusals = 0;
    /// The last reason for which a shard failed.
    reason_code last_failure = reason_code::kNone;
  };

  /// `table` is the version that the whole request keeps; `r` is one of its
  /// routes. `services` are the shards, or the one service drawn for a relayed
  /// request. `deadline` is when the caller stops waiting.
  request_run(std::shared_ptr<const route_table> table,
              const route& r,
              std::vector<service_id> services,
              time_point arrived,
              time_point deadline);

  actions Start(time_point now, traffic& shared);
  actions OnOutcome(time_point now,
                    traffic& shared,
                    attempt_id attempt,
                    attempt_outcome outcome);
  actions OnCapacity(time_point now, traffic& shared, std::size_t shard);
  actions Tick(time_point now, traffic& shared);

  /// The caller left: nothing more is sent or answered.
  void Stop() { finished_ = true; }

  bool finished() const { return finished_; }
  const route& matched() const { return *route_; }
  const summary& counts() const { return counts_; }
  /// Whether any endpoint may still be working on it.
  bool in_flight() const;

 private:
  struct attempt {
    attempt_id id;
    endpoint_id endpoint;
    time_point sent;
  };
  struct shard {
    service_id service;
    std::vector<endpoint_id> tried;
    std::vector<attempt> in_flight;
    std::optional<endpoint_replied> reply;
    bool waiting = false;
    bool given_up = false;
    bool hedged = false;
    /// When to try a hedge again that found no endpoint or no budget.
    std::optional<time_point> hedge_again_at;
    /// The greatest verdict of its failed attempts.
    verdict worst = verdict::kNotRun;

    bool open() const { return !reply.has_value() && !given_up; }
  };

  void Place(time_point now, traffic& shared, std::size_t index, actions& out);
  void SendTo(time_point now,
              traffic& shared,
              std::size_t index,
              const endpoint_id& endpoint,
              actions& out);
  void Retry(time_point now, traffic& shared, std::size_t index, actions& out);
  void Hedge(time_point now, traffic& shared, actions& out);
  void TryHedge(time_point now,
                traffic& shared,
                std::size_t index,
                actions& out);
  void Settle(time_point now, actions& out);
  void WithdrawPlanned(traffic& shared, actions& out);
  void SettleGather(time_point now, const gather_target& target, actions& out);
  void SettleRelay(actions& out);
  void Fail(reason_code reason, actions& out);
  void Finish(caller_answer answer, actions& out);
  void AddWake(time_point now, const traffic& shared, actions& out) const;

  bool MayTryAgain(const shard& s) const;
  bool MayHedge(const shard& s) const;
  /// When the shard's oldest attempt counts as late.
  static time_point HedgeTime(const shard& s, duration delay);
  /// Whether an answer without one more shard would cover too little.
  bool NeedsEveryShard() const;
  /// Until when a request waits for its first free connection.
  time_point WaitEnds() const;
  double Coverage() const;
  double ReachableCoverage() const;
  duration HedgeDelay(const traffic& shared) const;
  gathered_answer Gathered(const gather_target& target) const;

  std::shared_ptr<const route_table> table_;
  const route* route_;
  std::vector<shard> shards_;
  time_point arrived_;
  /// When the caller has to have its answer in any case.
  time_point final_;
  /// When an answer still reaches the caller within the objective.
  time_point objective_;
  bool finished_ = false;
  /// Sends are planned but not yet carried out.
  bool starting_ = false;
  /// The latest error that an endpoint itself replied with.
  std::optional<endpoint_replied> error_reply_;
  summary counts_;
};

/// The `top_k` greatest records of `parts`, greatest first, compared byte by
/// byte. A record has kRecordBytes; a shorter remainder of a part is ignored.
std::string MergeRecords(const std::vector<const std::string*>& parts,
                         std::size_t top_k);

inline constexpr std::size_t kRecordBytes = 16;

}  // namespace trefoilmill

#endif  // TREFOILMILL_REQUEST_REQUEST_RUN_H_
