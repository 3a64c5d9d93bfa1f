#include "trefoilmill/request/request_identity.h"

#include <array>
#include <charconv>

#include "../rendezvous.h"

namespace trefoilmill {
namespace {

/// Digits of a fingerprint in text.
constexpr std::size_t kDigits = 16;
constexpr int kBase = 16;

/// Hash of what `hash` stands for, followed by `part`.
std::uint64_t Extend(std::uint64_t hash, std::string_view part) {
  return RendezvousScore(hash, HashName(part));
}

}  // namespace

std::string ToString(request_fingerprint fingerprint) {
  std::array<char, kDigits> digits{};
  const auto* end = std::to_chars(digits.data(), digits.data() + kDigits,
                                  fingerprint.value(), kBase)
                        .ptr;
  const auto length = static_cast<std::size_t>(end - digits.data());
  return std::string(kDigits - length, '0') +
         std::string(digits.data(), length);
}

std::optional<request_fingerprint> ParseFingerprint(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, kBase);
  if (text.size() != kDigits || error != std::errc() ||
      end != text.data() + text.size()) {
    return std::nullopt;
  }
  return request_fingerprint(value);
}

request_identity IdentifyRequest(const http_request& request,
                                 std::string_view host) {
  std::uint64_t content = HashName(request.method);
  content = Extend(content, host);
  content = Extend(content, request.target);
  content = Extend(content, request.body);
  return {.content = request_fingerprint(content),
          .content_and_caller =
              request_fingerprint(Extend(content, request.peer_ip))};
}

}  // namespace trefoilmill
