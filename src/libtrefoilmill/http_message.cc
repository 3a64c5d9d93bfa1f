#include "trefoilmill/http_message.h"

#include <algorithm>
#include <cctype>
#include <functional>
#include <numeric>

namespace trefoilmill {
namespace {

/// Between a header's name and value, and after it.
constexpr std::size_t kHeaderSeparatorBytes = 4;

}  // namespace

std::size_t HeaderBytes(const std::vector<http_header>& headers) {
  return std::transform_reduce(
      headers.begin(), headers.end(), std::size_t{0}, std::plus<>(),
      [](const http_header& header) {
        return header.name.size() + header.value.size() + kHeaderSeparatorBytes;
      });
}

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
