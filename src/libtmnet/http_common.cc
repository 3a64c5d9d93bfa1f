#include "http_common.h"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <span>
#include <utility>

namespace trefoilmill {

namespace {

// Which end of a buffer evbuffer_freeze() concerns.
constexpr int kAtFront = 1;

struct method_entry {
  evhttp_cmd_type type;
  const char* name;
};

constexpr std::array kMethodNames{
    method_entry{EVHTTP_REQ_GET, "GET"},
    method_entry{EVHTTP_REQ_POST, "POST"},
    method_entry{EVHTTP_REQ_PUT, "PUT"},
    method_entry{EVHTTP_REQ_DELETE, "DELETE"},
    method_entry{EVHTTP_REQ_HEAD, "HEAD"},
    method_entry{EVHTTP_REQ_OPTIONS, "OPTIONS"},
    method_entry{EVHTTP_REQ_TRACE, "TRACE"},
    method_entry{EVHTTP_REQ_CONNECT, "CONNECT"},
    method_entry{EVHTTP_REQ_PATCH, "PATCH"},
};

// Percent-encodes all characters but the unreserved ones of RFC 3986.
std::string PercentEncode(const std::string& text) {
  char* encoded =
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
  std::string copy = encoded == nullptr ? "" : encoded;
  std::free(encoded);
  return copy;
}

// Percent-encodes each segment of a path and keeps the slashes.
std::string EncodePath(const std::string& path) {
  std::string encoded;
  std::size_t start = 0;
  while (true) {
    const auto slash = path.find('/', start);
    encoded += PercentEncode(path.substr(start, slash - start));
    if (slash == std::string::npos) {
      return encoded;
    }
    encoded += '/';
    start = slash + 1;
  }
}

}  // namespace

void SetNoDelay(evutil_socket_t fd) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

void SetDeadPeerTimeout(evutil_socket_t fd, duration timeout) {
  const int enabled = 1;
  const int probe_count = 2;
  const auto whole_seconds = std::chrono::ceil<std::chrono::seconds>(timeout);
  const int interval_seconds =
      std::max(1, static_cast<int>(whole_seconds.count()) / probe_count);
  const auto user_timeout_ms = static_cast<unsigned>(timeout.count() / 1000);
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_seconds,
             sizeof interval_seconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_seconds,
             sizeof interval_seconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probe_count, sizeof probe_count);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
             sizeof user_timeout_ms);
}

peek_result PeekSocket(evutil_socket_t fd) {
  char byte = 0;
  const ssize_t count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) {
    return peek_result::kData;
  }
  const bool would_block = count < 0 && (errno == EAGAIN || errno == EINTR);
  return would_block ? peek_result::kNothing : peek_result::kClosed;
}

std::string CopyBuffer(evbuffer* buffer) {
  std::string copy(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, copy.data(), copy.size());
  return copy;
}

void WriteOutput(bufferevent* bev) {
  evbuffer* output = bufferevent_get_output(bev);
  // A bufferevent keeps its output frozen but while it writes itself.
  evbuffer_unfreeze(output, kAtFront);
  while (evbuffer_get_length(output) > 0 &&
         evbuffer_write(output, bufferevent_getfd(bev)) > 0) {
  }
  evbuffer_freeze(output, kAtFront);
}

void VisitLastBytes(evbuffer* buffer,
                    std::size_t size,
                    const std::function<void(std::string_view)>& visit) {
  evbuffer_ptr from{};
  if (evbuffer_ptr_set(buffer, &from, evbuffer_get_length(buffer) - size,
                       EVBUFFER_PTR_SET) != 0) {
    return;
  }
  std::array<evbuffer_iovec, 4> parts{};
  while (size > 0) {
    const int count =
        evbuffer_peek(buffer, static_cast<ev_ssize_t>(size), &from,
                      parts.data(), static_cast<int>(parts.size()));
    const auto used = std::min(parts.size(), static_cast<std::size_t>(count));
    std::size_t visited = 0;
    for (const evbuffer_iovec& part : std::span(parts).first(used)) {
      const std::size_t length = std::min(part.iov_len, size - visited);
      visit({static_cast<const char*>(part.iov_base), length});
      visited += length;
    }
    if (visited == 0) {
      return;
    }
    size -= visited;
    evbuffer_ptr_set(buffer, &from, visited, EVBUFFER_PTR_ADD);
  }
}

std::vector<http_header> CopyHeaders(const evkeyvalq* headers) {
  std::vector<http_header> copy;
  for (const evkeyval* entry = headers->tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    copy.push_back({entry->key, entry->value});
  }
  return copy;
}

std::string PeerIp(evhttp_connection* evcon) {
  char* ip = nullptr;
  ev_uint16_t port = 0;
  evhttp_connection_get_peer(evcon, &ip, &port);
  return ip == nullptr ? "" : ip;
}

std::string MethodName(unsigned type) {
  const auto* found =
      std::ranges::find_if(kMethodNames, [type](const method_entry& entry) {
        return static_cast<unsigned>(entry.type) == type;
      });
  return found == kMethodNames.end() ? "UNKNOWN" : found->name;
}

std::optional<evhttp_cmd_type> MethodType(const std::string& name) {
  const auto* found = std::ranges::find_if(
      kMethodNames,
      [&](const method_entry& entry) { return name == entry.name; });
  if (found == kMethodNames.end()) {
    return std::nullopt;
  }
  return found->type;
}

std::string EncodeTarget(const http_request& request) {
  std::string target = EncodePath(request.path);
  if (target.empty()) {
    target = "/";
  }
  char separator = '?';
  for (const auto& [key, value] : request.query) {
    target += separator + PercentEncode(key) + "=" + PercentEncode(value);
    separator = '&';
  }
  return target;
}

std::string DecodePath(const char* path) {
  if (path == nullptr) {
    return "/";
  }
  std::size_t size = 0;
  char* decoded = evhttp_uridecode(path, 0, &size);
  if (decoded == nullptr) {
    return path;
  }
  std::string copy(decoded, size);
  std::free(decoded);
  return copy;
}

}  // namespace trefoilmill
