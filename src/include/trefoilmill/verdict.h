/// What is known of a request that did not end with an answer: whether it may
/// have run. Every error in the product carries one of these.
#ifndef TREFOILMILL_VERDICT_H_
#define TREFOILMILL_VERDICT_H_

#include <boost/outcome.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "trefoilmill/time.h"

namespace trefoilmill {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// Whether a request may have taken effect. Ordered: combining keeps the
/// greater.
enum class verdict {
  kNotRun,      ///< Certain: nothing that could run it has it, or ever will.
  kMayHaveRun,  ///< It left this process and nobody confirmed either way.
  kRan,         ///< A receiver confirmed that it ran.
};

/// Why a request, a sub-request or a claim ended without an answer.
enum class reason_code {
  kNone,
  kBadRequest,          ///< The caller's request is malformed.
  kUnknownService,      ///< No such service in the deployment.
  kDeadlineExceeded,    ///< No time was left.
  kDeadlineUnmeetable,  ///< Refused early: the deadline could not be met.
  kOverloaded,          ///< Admission control refused it.
  kShed,                ///< The endpoint refused it for load.
  kDraining,            ///< The endpoint or host takes no new work.
  kZoneOut,             ///< The availability zone was taken out.
  kNotOwner,            ///< The receiving host does not own the endpoint.
  kWrongInstance,       ///< Another endpoint has the address now.
  kVersionGone,         ///< The endpoint no longer has the snapshot.
  kWrongVersion,        ///< The answer named another snapshot; discarded.
  kColdLimit,           ///< The endpoint is cold and its allowance is used.
  kConnectionRefused,   ///< No connection could be made.
  kConnectionReset,     ///< The connection broke after the request was sent.
  kMalformedReply,      ///< The reply was truncated, oversized or garbled.
  kEndpointError,       ///< The endpoint reported a failure of its own.
  kHostLost,            ///< The owner host vanished with the request.
  kCancelled,           ///< The caller withdrew it.
  kNoReplica,           ///< No usable replica holds the shard.
  kNoSnapshot,          ///< No index version can be served.
  kCoverageTooLow,      ///< Coverage stayed below the caller's minimum.
  kKeyInUse,            ///< The idempotency key is claimed by another request.
  kStoreUnavailable,    ///< The platform's store did not answer.
  kNotReady,            ///< No configuration is in force yet.
  kShuttingDown,        ///< The host is stopping.
  kQuarantined,         ///< Endpoints ended under earlier requests like it.
  kUnauthorized,        ///< The caller's key is missing or unknown.
  kQuotaExceeded,       ///< The organisation's quota is used up.
};

/// The wire name of a verdict: "not_run", "may_have_run", "ran".
std::string_view ToString(verdict v);
/// Inverse of ToString(); nullopt for any other text.
std::optional<verdict> ParseVerdict(std::string_view text);

/// The wire name of a reason, in snake_case ("deadline_exceeded").
std::string_view ToString(reason_code code);
/// Inverse of ToString(); nullopt for any other text.
std::optional<reason_code> ParseReasonCode(std::string_view text);

/// The verdict over two parts of one request.
verdict Combine(verdict a, verdict b);

/// An error that says whether the request may have run.
struct failure {
  verdict outcome = verdict::kNotRun;
  reason_code reason = reason_code::kNone;
  /// One sentence for people.
  std::string detail;
  /// When asking again could help; nullopt if it would not.
  std::optional<duration> retry_after;
};

/// A value or a failure.
template <class value>
using result = outcome::result<value, failure, outcome::policy::terminate>;

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERDICT_H_
