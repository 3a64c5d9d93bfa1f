#include "trefoilmill/wire/config_error.h"

#include <algorithm>

#include "located_json.h"

namespace trefoilmill {

std::string ToString(const config_error& error) {
  std::string line = error.file + ":" + std::to_string(error.line) + ": ";
  if (!error.key.empty()) {
    line += error.key + ": ";
  }
  return line + error.message;
}

std::string WriteConfigErrors(const std::vector<config_error>& errors) {
  json list = json::array();
  for (const config_error& error : errors) {
    list.push_back(
        {{"line", error.line}, {"key", error.key}, {"message", error.message}});
  }
  return Dump({{"errors", list}});
}

std::vector<config_error> ParseConfigErrors(const std::string& text,
                                            const std::string& file) {
  const json reply = ParseStrictJson(text);
  if (!reply.is_object() || !reply.contains("errors") ||
      !reply["errors"].is_array()) {
    return {};
  }
  std::vector<config_error> errors;
  for (const json& entry : reply["errors"]) {
    if (!entry.is_object()) {
      continue;
    }
    const json line = entry.value("line", json(1));
    const json key = entry.value("key", json(""));
    const json message = entry.value("message", json(""));
    errors.push_back(
        {.file = file,
         .line = line.is_number_integer() ? line.get<int>() : 1,
         .key = key.is_string() ? key.get<std::string>() : "",
         .message = message.is_string() ? message.get<std::string>() : ""});
  }
  return errors;
}

}  // namespace trefoilmill
