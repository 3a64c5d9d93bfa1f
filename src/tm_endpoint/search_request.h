/// The body of `POST /v1/search` and the replies to it.
#ifndef TREFOILMILL_TM_ENDPOINT_SEARCH_REQUEST_H_
#define TREFOILMILL_TM_ENDPOINT_SEARCH_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "tm_endpoint/endpoint_settings.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

struct search_request {
  std::string attempt;
  std::uint64_t version = 0;
  shard_ref shard;
  /// Time left when the request was sent.
  duration deadline{};
  bool idempotent = true;
  std::string body;
};

/// nullopt if `body` is no such request.
std::optional<search_request> ParseSearchRequest(const std::string& body);

/// The answer of `endpoint` to `request`, for index version `version`.
http_response MakeAnswer(const endpoint_settings& endpoint,
                         const instance_id& instance,
                         const search_request& request,
                         std::uint64_t version);

/// A refusal or failure: `{"attempt", "instance", "reason"}` and, for 503,
/// `retry_after_ms`.
http_response MakeRefusal(int status,
                          const std::string& reason,
                          const instance_id& instance,
                          const search_request& request);

}  // namespace trefoilmill

#endif  // TREFOILMILL_TM_ENDPOINT_SEARCH_REQUEST_H_
