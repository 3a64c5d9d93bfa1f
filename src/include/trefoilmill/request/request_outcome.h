/// How an attempt to send a sub-request ends, and what a caller is answered.
#ifndef TREFOILMILL_REQUEST_REQUEST_OUTCOME_H_
#define TREFOILMILL_REQUEST_REQUEST_OUTCOME_H_

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "trefoilmill/http_message.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// @name Outcome of one attempt to send a sub-request
/// @{
/// The endpoint ran it and replied, possibly with an error status.
struct endpoint_replied {
  http_response response;
  /// Token by which the endpoint proves that it produced the reply; empty if
  /// the reply has none.
  std::string stamp;
  /// Callers take the reply's status for the promise that the request did not
  /// run, which the endpoint has not said.
  bool promises_not_run = false;
};
/// It certainly did not run: the endpoint refused it, or the connection to the
/// endpoint failed before it was sent.
struct endpoint_refused {
  reason_code reason = reason_code::kShed;
};
/// It may have run, but no usable reply arrived.
struct reply_lost {
  reason_code reason = reason_code::kConnectionReset;
};
using attempt_outcome =
    std::variant<endpoint_replied, endpoint_refused, reply_lost>;
/// @}

/// @name Answer to the caller
/// @{
/// The greatest records of the shards that replied.
struct gathered_answer {
  /// Stamps of the replies used, in the order of the shards.
  std::vector<std::string> stamps;
  /// Number of shards that are not included.
  std::size_t missing = 0;
  /// Records of kRecordBytes each, greatest first.
  std::string records;
};
/// The reply of one endpoint, unchanged.
struct relayed_answer {
  http_response response;
  std::string stamp;
};
/// The request certainly did not run; the caller may retry after `retry_after`.
struct refused_answer {
  reason_code reason = reason_code::kOverloaded;
  duration retry_after{};
};
/// There is no answer, and the request may have run.
struct failed_answer {
  reason_code reason = reason_code::kDeadlineExceeded;
};
using caller_answer = std::
    variant<gathered_answer, relayed_answer, refused_answer, failed_answer>;
/// @}

}  // namespace trefoilmill

#endif  // TREFOILMILL_REQUEST_REQUEST_OUTCOME_H_
