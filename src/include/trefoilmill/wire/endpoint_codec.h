/// The endpoints' JSON interface: sub-requests out, replies in. A reply is
/// taken only if it names the very attempt, version and shard that were asked.
#ifndef TREFOILMILL_WIRE_ENDPOINT_CODEC_H_
#define TREFOILMILL_WIRE_ENDPOINT_CODEC_H_

#include <string>

#include "trefoilmill/endpoint_scheduler.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// One sub-request, as it goes to one endpoint.
struct search_request {
  attempt_id attempt;
  snapshot_version version;
  shard_ref shard;
  /// Time left for the endpoint.
  duration deadline{};
  bool idempotent = true;
  /// The caller's opaque body.
  std::string body;
};

/// The body of `POST /v1/search`.
std::string WriteSearchRequest(const search_request& request);

/// Reads the body of `POST /v1/search` (endpoints' side); fails with
/// kBadRequest.
result<search_request> ParseSearchRequest(const std::string& body);

/// Judges a complete HTTP reply to `asked`. Never fails: what does not follow
/// the protocol is kMalformed, and what names another attempt, version, service
/// or shard is kMismatch; neither carries a payload.
endpoint_reply ParseSearchReply(int status,
                                const std::string& body,
                                const search_request& asked);

/// The body of `POST /v1/cancel`.
std::string WriteAttemptCancel(attempt_id attempt);

/// Reads the reply to it; kFailed unless it follows the protocol.
cancel_reply ParseAttemptCancelReply(int status, const std::string& body);

/// Reads the reply to `GET /v1/health`; fails with kMalformedReply.
result<health_report> ParseHealthReport(int status, const std::string& body);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_ENDPOINT_CODEC_H_
