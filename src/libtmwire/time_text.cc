#include "time_text.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace trefoilmill {
namespace {

constexpr std::uint64_t kMicrosPerSecond = 1000000;

}  // namespace

std::string TimeText(std::uint64_t wall_us) {
  const auto seconds = static_cast<std::time_t>(wall_us / kMicrosPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 64> text{};
  const auto length =
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text.data() + length, text.size() - length, ".%06uZ",
                static_cast<unsigned>(wall_us % kMicrosPerSecond));
  return text.data();
}

}  // namespace trefoilmill
