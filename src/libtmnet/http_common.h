/// Socket options and conversions between evhttp's data structures and those of
/// http_message.h, shared by the HTTP server and client.
#ifndef TREFOILMILL_LIBTMNET_HTTP_COMMON_H_
#define TREFOILMILL_LIBTMNET_HTTP_COMMON_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/util.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilmill/net/http.h"

namespace trefoilmill {

/// Sets TCP_NODELAY, which disables Nagle's algorithm.
void SetNoDelay(evutil_socket_t fd);

/// Makes the kernel drop a connection whose peer has not responded for about
/// `timeout`, by keepalive probes and TCP_USER_TIMEOUT. The probe interval is
/// rounded to whole seconds.
void SetDeadPeerTimeout(evutil_socket_t fd, duration timeout);

/// What a read from a socket would find.
enum class peek_result { kNothing, kData, kClosed };
/// Looks at the socket's receive buffer without reading from it.
peek_result PeekSocket(evutil_socket_t fd);

/// Copies the content of `buffer` without draining it.
std::string CopyBuffer(evbuffer* buffer);

/// Writes as much of the output as the socket takes now, without waiting for
/// the event loop.
void WriteOutput(bufferevent* bev);

/// Calls `visit` with the last `size` bytes of `buffer`, in one part or
/// several.
void VisitLastBytes(evbuffer* buffer,
                    std::size_t size,
                    const std::function<void(std::string_view)>& visit);

/// Copies the headers in the order in which they were received.
std::vector<http_header> CopyHeaders(const evkeyvalq* headers);

/// IP number of the connection's peer; empty if it is not known.
std::string PeerIp(evhttp_connection* evcon);

/// Name of an evhttp_cmd_type. Returns "UNKNOWN" for a method that evhttp does
/// not support, for which it reports a number outside of that enumeration.
std::string MethodName(unsigned type);
/// Inverse of MethodName(); nullopt for a method that evhttp does not support.
std::optional<evhttp_cmd_type> MethodType(const std::string& name);

/// Percent-encodes the path and query of `request` into a request target.
std::string EncodeTarget(const http_request& request);
/// Decodes a percent-encoded path. Malformed escapes stay unchanged; a null
/// `path` yields "/".
std::string DecodePath(const char* path);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMNET_HTTP_COMMON_H_
