#include "rendezvous.h"

// Inlined because the inputs are short: the function call would dominate the
// cost.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>

namespace trefoilmill {

std::uint64_t HashName(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

std::uint64_t RendezvousScore(std::uint64_t key, std::uint64_t candidate) {
  const std::array<std::uint64_t, 2> key_and_candidate = {key, candidate};
  return XXH3_64bits(key_and_candidate.data(), sizeof key_and_candidate);
}

}  // namespace trefoilmill
