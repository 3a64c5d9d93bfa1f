#include "trefoilmill/request/request_shard.h"

namespace trefoilmill {

std::string_view ToString(resend_obstacle obstacle) {
  switch (obstacle) {
    case resend_obstacle::kNone:
      return "none";
    case resend_obstacle::kBudget:
      return "budget";
    case resend_obstacle::kNoConnection:
      return "no_connection";
    case resend_obstacle::kNoReplica:
      return "no_replica";
    case resend_obstacle::kRequestLimit:
      return "request_limit";
    case resend_obstacle::kAttemptLimit:
      return "attempt_limit";
    case resend_obstacle::kEndpointsEnded:
      return "endpoints_ended";
    case resend_obstacle::kOverShare:
      return "over_share";
  }
  return "unknown";
}

}  // namespace trefoilmill
