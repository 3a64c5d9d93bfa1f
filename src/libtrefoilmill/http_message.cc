#include "trefoilmill/http_message.h"

#include <algorithm>
#include <cctype>

namespace trefoilmill {

bool SameHeaderName(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
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
