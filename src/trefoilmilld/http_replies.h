/// Replies that both HTTP interfaces of the daemon give.
#ifndef TREFOILMILLD_HTTP_REPLIES_H_
#define TREFOILMILLD_HTTP_REPLIES_H_

#include <string>

#include "trefoilmill/ids.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// A refusal with its status and retry hint.
http_response RefusalReply(const request_id& request, const failure& error);

/// 404 for a path that does not exist.
http_response UnknownPathReply(const std::string& path);

/// 405 for a path that exists with another method.
http_response WrongMethodReply(const std::string& allowed);

/// Calls `handle` if the request has this method, else answers 405.
template <class handler>
void WithMethod(const std::string& method,
                const http_request& request,
                const http_responder& responder,
                const handler& handle) {
  if (request.method != method) {
    responder.Send(WrongMethodReply(method));
    return;
  }
  handle();
}

}  // namespace trefoilmill

#endif  // TREFOILMILLD_HTTP_REPLIES_H_
