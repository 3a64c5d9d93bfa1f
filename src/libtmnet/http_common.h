/// Conversions between evhttp's structures and the shell's own, shared by the
/// server and the client side.
#ifndef TREFOILMILL_LIBTMNET_HTTP_COMMON_H_
#define TREFOILMILL_LIBTMNET_HTTP_COMMON_H_

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/util.h>

#include <string>
#include <vector>

#include "trefoilmill/net/http.h"

namespace trefoilmill {

/// Stops the kernel from delaying small segments.
void SetNoDelay(evutil_socket_t fd);

/// Has the kernel give up a connection whose peer has been silent for about
/// `timeout`, which is rounded to whole seconds.
void SetDeadPeerTimeout(evutil_socket_t fd, duration timeout);

/// The whole content of `buffer`, which keeps it.
std::string CopyBuffer(evbuffer* buffer);

/// The headers in order of arrival.
std::vector<http_header> CopyHeaders(const evkeyvalq* headers);

/// The name of an evhttp_cmd_type; "UNKNOWN" for a method that evhttp does not
/// know, whose number is outside of that enumeration.
std::string MethodName(unsigned type);
/// The reverse; GET for an unknown name.
evhttp_cmd_type MethodType(const std::string& name);

/// Path and query as they travel, percent-encoded.
std::string EncodeTarget(const http_request& request);
/// Reverses percent-encoding; a malformed escape stays as it is.
std::string DecodePath(const char* path);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMNET_HTTP_COMMON_H_
