#include "http_exchange.h"

#include <event2/buffer.h>

#include <string>

#include "http_common.h"

namespace trefoilmill {

http_failure ToFailure(evhttp_request_error error) {
  switch (error) {
    case EVREQ_HTTP_INVALID_HEADER:
    case EVREQ_HTTP_DATA_TOO_LONG:
      return http_failure::kMalformed;
    case EVREQ_HTTP_TIMEOUT:
      return http_failure::kTimeout;
    case EVREQ_HTTP_EOF:
    case EVREQ_HTTP_BUFFER_ERROR:
    case EVREQ_HTTP_REQUEST_CANCEL:
      break;
  }
  return http_failure::kConnectionLost;
}

bool HasDelimitedBody(const http_response& response) {
  return response.status == 204 || response.status == 304 ||
         response.Header("Content-Length") ||
         response.Header("Transfer-Encoding");
}

bool IsConnectedAndIdle(bufferevent* bev) {
  if (evbuffer_get_length(bufferevent_get_input(bev)) > 0) {
    return false;
  }
  return PeekSocket(bufferevent_getfd(bev)) == peek_result::kNothing;
}

void FillRequest(evhttp_request* evreq,
                 const http_request& request,
                 const socket_address& address) {
  evkeyvalq* headers = evhttp_request_get_output_headers(evreq);
  const bool send_unmodified = !request.target.empty();
  if (!send_unmodified) {
    const std::string host = address.ip + ":" + std::to_string(address.port);
    evhttp_add_header(headers, "Host", host.c_str());
  }
  for (const auto& header : request.headers) {
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
  if (request.body.empty()) {
    return;
  }
  if (!send_unmodified &&
      evhttp_find_header(headers, "Content-Type") == nullptr) {
    evhttp_add_header(headers, "Content-Type", "application/json");
  }
  evhttp_add_header(headers, "Content-Length",
                    std::to_string(request.body.size()).c_str());
  evbuffer_add(evhttp_request_get_output_buffer(evreq), request.body.data(),
               request.body.size());
}

}  // namespace trefoilmill
