/// What an exchange with an endpoint says of the endpoint and of the links to
/// it, whether it was a request of a caller or a probe.
#ifndef TREFOILMILL_ENTRY_ENDPOINT_EVIDENCE_H_
#define TREFOILMILL_ENTRY_ENDPOINT_EVIDENCE_H_

#include "trefoilmill/ids.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/process/shared_request_state.h"
#include "trefoilmill/time.h"

namespace trefoilmill::entry {

/// A response arrived, whatever it says.
void RecordResponse(time_point now,
                    shared_request_state& shared,
                    const endpoint_id& endpoint,
                    const http_response& response);

/// An exchange ended, with or without a response.
void RecordExchange(time_point now,
                    shared_request_state& shared,
                    const endpoint_id& endpoint,
                    const http_result& exchange);

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_ENDPOINT_EVIDENCE_H_
