#include "trefoilmill/wire/settings_file.h"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace trefoilmill {

std::optional<std::string> ReadTextFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  // Opening a folder succeeds; reading from it does not.
  if (!in || std::filesystem::is_directory(file)) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(in), {});
}

config_error UnreadableFile(const std::string& file) {
  return {.file = file, .line = 1, .key = "", .message = "cannot be read"};
}

}  // namespace trefoilmill
