#include "http_common.h"

#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace trefoilmill {

namespace {

struct method_entry {
  evhttp_cmd_type type;
  const char* name;
};

constexpr std::array kMethods{
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

std::string Encode(const std::string& text) {
  char* encoded =
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
  std::string copy = encoded == nullptr ? "" : encoded;
  std::free(encoded);
  return copy;
}

std::string EncodePath(const std::string& path) {
  std::string encoded;
  std::size_t start = 0;
  while (true) {
    const auto slash = path.find('/', start);
    encoded += Encode(path.substr(start, slash - start));
    if (slash == std::string::npos) {
      return encoded;
    }
    encoded += '/';
    start = slash + 1;
  }
}

}  // namespace

void SetNoDelay(evutil_socket_t fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void SetDeadPeerTimeout(evutil_socket_t fd, duration timeout) {
  const int on = 1;
  const int probes = 2;
  const auto whole = std::chrono::ceil<std::chrono::seconds>(timeout);
  const int interval = std::max(1, static_cast<int>(whole.count()) / probes);
  const auto unacknowledged_ms = static_cast<unsigned>(timeout.count() / 1000);
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof interval);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
             sizeof unacknowledged_ms);
}

std::string CopyBuffer(evbuffer* buffer) {
  std::string copy(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, copy.data(), copy.size());
  return copy;
}

std::vector<http_header> CopyHeaders(const evkeyvalq* headers) {
  std::vector<http_header> copy;
  for (const evkeyval* entry = headers->tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    copy.push_back({entry->key, entry->value});
  }
  return copy;
}

std::string MethodName(unsigned type) {
  const auto* found =
      std::ranges::find_if(kMethods, [type](const method_entry& entry) {
        return static_cast<unsigned>(entry.type) == type;
      });
  return found == kMethods.end() ? "UNKNOWN" : found->name;
}

evhttp_cmd_type MethodType(const std::string& name) {
  const auto* found = std::ranges::find_if(
      kMethods, [&](const method_entry& entry) { return name == entry.name; });
  return found == kMethods.end() ? EVHTTP_REQ_GET : found->type;
}

std::string EncodeTarget(const http_request& request) {
  std::string target = EncodePath(request.path);
  if (target.empty()) {
    target = "/";
  }
  char separator = '?';
  for (const auto& [key, value] : request.query) {
    target += separator + Encode(key) + "=" + Encode(value);
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
