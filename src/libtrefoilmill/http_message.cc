#include "trefoilmill/http_message.h"

#include <strings.h>

#include <algorithm>

namespace trefoilmill {

bool SameHeaderName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<std::string> FindHeader(const std::vector<http_header>& headers,
                                      std::string_view name) {
  const auto found =
      std::ranges::find_if(headers, [&](const http_header& header) {
        return SameHeaderName(header.name, name);
      });
  if (found == headers.end()) {
    return std::nullopt;
  }
  return found->value;
}

}  // namespace trefoilmill
