/// Compression of messages between hosts, with zstd.
#ifndef TREFOILMILL_LIBTMWIRE_COMPRESSION_H_
#define TREFOILMILL_LIBTMWIRE_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace trefoilmill {

std::string Compress(std::string_view text);

/// Returns nullopt on bytes that Compress() did not make, or that would yield
/// more than `max_bytes`.
std::optional<std::string> Decompress(std::string_view bytes,
                                      std::size_t max_bytes);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMWIRE_COMPRESSION_H_
