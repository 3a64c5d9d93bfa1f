/// One exchange of http_connection in evhttp's terms.
#ifndef TREFOILMILL_LIBTMNET_HTTP_EXCHANGE_H_
#define TREFOILMILL_LIBTMNET_HTTP_EXCHANGE_H_

#include <event2/bufferevent.h>
#include <event2/http.h>

#include "trefoilmill/net/http.h"

namespace trefoilmill {

http_failure ToFailure(evhttp_request_error error);

/// Whether the end of the body can be told from the headers or status. If only
/// the end of the connection delimits it, truncation cannot be detected.
bool HasDelimitedBody(const http_response& response);

/// Whether a connection can carry another request: the peer has neither closed
/// it, which the event loop may not have detected yet, nor sent unsolicited
/// bytes, which would be taken for the response to the next request.
bool IsConnectedAndIdle(bufferevent* bev);

/// Sets the headers and body of `evreq`. If `request` has a target, its headers
/// are sent as they are; only Content-Length is added.
void FillRequest(evhttp_request* evreq,
                 const http_request& request,
                 const socket_address& address);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMNET_HTTP_EXCHANGE_H_
