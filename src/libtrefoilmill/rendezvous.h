/// Rendezvous (highest random weight) hashing. Every host computes the same
/// ranking of candidates for a key, and adding or removing a candidate remaps
/// only the keys that it wins.
#ifndef TREFOILMILL_RENDEZVOUS_H_
#define TREFOILMILL_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>

namespace trefoilmill {

/// Returns the 64-bit hash of `name`, which is the same on every host.
std::uint64_t HashName(std::string_view name);

/// Returns the weight of `candidate` for `key`, both given as hashes from
/// HashName(). The candidate with the highest weight wins.
std::uint64_t RendezvousScore(std::uint64_t key, std::uint64_t candidate);

}  // namespace trefoilmill

#endif  // TREFOILMILL_RENDEZVOUS_H_
