/// The callers' JSON interface: queries in, answers and refusals out.
#ifndef TREFOILMILL_WIRE_CALLER_CODEC_H_
#define TREFOILMILL_WIRE_CALLER_CODEC_H_

#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/caller_query.h"
#include "trefoilmill/deployment.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// Reads the body of `POST /v1/query`.
///
/// `key_header` is the header `Idempotency-Key`; `peer_ip` names a caller that
/// gives no name; `limits` has the defaults and bounds. Fails with kNotRun and
/// kBadRequest; the detail names every error. Whether the services exist is
/// not checked here.
result<caller_query> ParseCallerQuery(
    const std::string& body,
    const std::optional<std::string>& key_header,
    const std::string& peer_ip,
    const query_config& limits);

/// The body of `POST /v1/query` for `query`; its key travels as a header.
std::string WriteCallerQuery(const caller_query& query);

/// Reads the body of `POST /v1/cancel`; fails with kBadRequest.
result<request_id> ParseCancel(const std::string& body);

/// `{"cancelled": true|false}`.
std::string WriteCancelled(bool cancelled);

/// The body of a 200 answer.
std::string WriteAnswer(const query_answer& answer);

/// The body of a refusal; an empty `request` is left out.
std::string WriteRefusal(const request_id& request, const failure& refusal);

/// HTTP status of a refusal: 400, 404, 409, 429, 503 or 504.
int RefusalStatus(reason_code reason);

/// Whole seconds for `Retry-After`, rounded up.
std::string RetryAfterSeconds(duration wait);

/// One address for callers.
struct entry_address {
  host_id host;
  socket_address address;
};

/// The body of `GET /v1/entries`: addresses in the order in which this caller
/// should use them, and how long it may keep the list.
std::string WriteEntries(const std::vector<entry_address>& entries,
                         duration ttl,
                         bool draining);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_CALLER_CODEC_H_
