/// State of one request that the parts of request_handler share.
#ifndef TREFOILMILL_ENTRY_REQUEST_HANDLER_IMPL_H_
#define TREFOILMILL_ENTRY_REQUEST_HANDLER_IMPL_H_

#include <map>

#include "trefoilmill/http_message.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/request/request_run.h"
#include "trefoilmill/time.h"
#include "trefoilmill_entry/request_handler.h"

namespace trefoilmill::entry {

/// State of a request until it is answered and its last attempt has ended.
struct request_handler::active_request {
  request_id id;
  request_identity identity;
  organisation_id organisation;
  bool holds_permit = false;
  http_request original;
  http_responder responder;
  request_run run;
  time_point arrived;
  /// When the caller gives up.
  time_point deadline;
  timer wake_timer;
  timer abort_timer;
  std::map<attempt_id, endpoint_id> attempts;
  bool answered = false;
  bool caller_disconnected = false;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_REQUEST_HANDLER_IMPL_H_
