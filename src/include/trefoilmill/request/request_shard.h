/// The state of a request at each service that it is sent to.
#ifndef TREFOILMILL_REQUEST_REQUEST_SHARD_H_
#define TREFOILMILL_REQUEST_REQUEST_SHARD_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/request/request_outcome.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// Why a sub-request that was late or had failed was not sent again.
enum class resend_obstacle {
  kNone,          ///< It was, or there was no need yet.
  kBudget,        ///< The budget for extra sends was exhausted.
  kNoConnection,  ///< No suitable endpoint had a free connection.
  kNoReplica,     ///< No other endpoint was usable.
  kRequestLimit,  ///< Other endpoints stated request limits, which are used up.
  kAttemptLimit,  ///< As many endpoints were tried as the route allows.
  kEndpointsEnded,  ///< Endpoints seem to end under the request.
  kOverShare,       ///< Its organisation asks for more than its share.
};

/// Returns "none", "budget", "no_connection", "no_replica", "request_limit",
/// "attempt_limit", "endpoints_ended" or "over_share".
std::string_view ToString(resend_obstacle obstacle);

/// A send of a sub-request that has not ended.
struct request_attempt {
  attempt_id id;
  endpoint_id endpoint;
  /// Start time of the endpoint's instance, see endpoint_record.
  std::uint64_t started_ms = 0;
  time_point sent;
  /// When the oldest request that the endpoint had then was sent to it.
  time_point oldest_at_endpoint;
  /// It was sent alone, as the request may end endpoints.
  bool sent_alone = false;
  /// It is late, or its connection broke.
  bool unanswered = false;
};

/// One of the services that a request is sent to.
struct request_shard {
  service_id service;
  /// Endpoints that this host sent it to.
  std::vector<endpoint_id> tried_endpoints;
  /// Endpoints that other hosts sent it to.
  std::vector<endpoint_id> tried_elsewhere;
  std::vector<request_attempt> in_flight;
  std::optional<endpoint_replied> reply;
  bool awaiting_capacity = false;
  bool failed = false;
  bool hedged = false;
  /// It is sent, or sent again, once another shard has replied.
  bool held = false;
  /// When callers may return to a failed shard without usable endpoints, if
  /// known.
  std::optional<time_point> callers_return_at;
  /// When a next hedge may be sent, once a first one was due. A hedge is not
  /// sent if it finds no endpoint or no budget.
  std::optional<time_point> next_hedge_at;
  /// Why it was not sent again when that was due last.
  resend_obstacle obstacle = resend_obstacle::kNone;
  /// The greatest verdict of its failed attempts.
  verdict worst_verdict = verdict::kNotRun;

  bool pending() const { return !reply.has_value() && !failed; }
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_REQUEST_REQUEST_SHARD_H_
