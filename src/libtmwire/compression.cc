#include "compression.h"

#include <zstd.h>

namespace trefoilmill {
namespace {

/// Fast; higher levels take several times as long for little less.
constexpr int kCompressionLevel = 1;

}  // namespace

std::string Compress(std::string_view text) {
  std::string bytes(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size = ZSTD_compress(
      bytes.data(), bytes.size(), text.data(), text.size(), kCompressionLevel);
  bytes.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return bytes;
}

std::optional<std::string> Decompress(std::string_view bytes,
                                      std::size_t max_bytes) {
  const unsigned long long stated =
      ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  if (stated == ZSTD_CONTENTSIZE_ERROR || stated == ZSTD_CONTENTSIZE_UNKNOWN ||
      stated > max_bytes) {
    return std::nullopt;
  }
  std::string text(static_cast<std::size_t>(stated), '\0');
  const std::size_t size =
      ZSTD_decompress(text.data(), text.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(size) != 0 || size != text.size()) {
    return std::nullopt;
  }
  return text;
}

}  // namespace trefoilmill
