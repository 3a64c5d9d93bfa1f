/// How both HTTP interfaces of the daemon listen.
#ifndef TREFOILMILLD_HTTP_LISTENER_H_
#define TREFOILMILLD_HTTP_LISTENER_H_

#include <cstddef>
#include <memory>

#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// Bounds what is read from a socket at all: the store takes values of up to a
/// megabyte, and the codec of queries has a limit of the deployment's own.
inline constexpr std::size_t kMaxBodyBytes = 1 << 20;

/// Listens at `address` and passes each request on to `route` of `target`,
/// which must outlive the server.
template <class receiver>
result<std::unique_ptr<http_server>> ListenFor(
    event_loop& loop,
    const socket_address& address,
    receiver& target,
    void (receiver::*route)(const http_request&, const http_responder&)) {
  return http_server::Listen(loop, address, {.max_body_bytes = kMaxBodyBytes},
                             [&target, route](const http_request& request,
                                              const http_responder& responder) {
                               (target.*route)(request, responder);
                             });
}

}  // namespace trefoilmill

#endif  // TREFOILMILLD_HTTP_LISTENER_H_
