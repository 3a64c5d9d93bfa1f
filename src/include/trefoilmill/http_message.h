/// HTTP messages as plain data, for the shell and for decisions about them.
#ifndef TREFOILMILL_HTTP_MESSAGE_H_
#define TREFOILMILL_HTTP_MESSAGE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoilmill {

struct http_header {
  std::string name;
  std::string value;
};

/// First header of that name, whatever its case.
std::optional<std::string> FindHeader(const std::vector<http_header>& headers,
                                      std::string_view name);
/// Size of the headers on the wire, without the line that ends them.
std::size_t HeaderBytes(const std::vector<http_header>& headers);
/// Whether two header names are the same.
bool SameHeaderName(std::string_view a, std::string_view b);

struct http_request {
  /// "GET", "POST", "PUT" or "DELETE"; others arrive by their own name.
  std::string method;
  /// Decoded path, without the query string.
  std::string path;
  std::map<std::string, std::string> query;
  std::vector<http_header> headers;
  std::string body;
  /// The peer's IP number; server side only.
  std::string peer_ip;
  /// The request target as it stood in the request line. A client that sets it
  /// sends it in place of `path` and `query`, and sends `headers` as they are:
  /// only the length of the body is added.
  std::string target;

  std::optional<std::string> Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

struct http_response {
  int status = 200;
  std::vector<http_header> headers;
  std::string body;
  std::string content_type = "application/json";

  std::optional<std::string> Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_HTTP_MESSAGE_H_
