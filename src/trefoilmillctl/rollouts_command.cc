/// `rollouts`: the way of roll-outs, from the logs of all hosts.
#include <algorithm>
#include <array>
#include <iostream>
#include <string_view>
#include <utility>

#include "commands.h"
#include "explanation.h"
#include "log_files.h"
#include "trefoilmill/wire/log_messages.h"

namespace trefoilmill {
namespace {

bool TellsOfRollout(const read_log_line& line, const service_id& service) {
  constexpr std::array<std::string_view, 3> kMessages = {
      log_message::kRolloutStage, log_message::kRolloutRejected,
      log_message::kRolloutStateWritten};
  const std::string member = "\"document\":\"" + service.value() + "\"";
  return std::ranges::find(kMessages, line.message) != kMessages.end() &&
         (service.value().empty() ||
          line.text.find(member) != std::string::npos);
}

}  // namespace

exit_code Run(const common_options& common,
              daemon_api& /*api*/,
              const rollouts_options& options) {
  auto lines = ReadLogFiles(options.files);
  if (!lines.has_value()) {
    return exit_code::kUsage;
  }
  std::erase_if(*lines, [&options](const read_log_line& line) {
    return !TellsOfRollout(line, options.service);
  });
  std::ranges::stable_sort(*lines, {}, &read_log_line::time);
  if (lines->empty()) {
    std::cerr << "no line tells of a roll-out\n";
    return exit_code::kRefused;
  }
  const explanation found{.beliefs = {}, .events = std::move(*lines)};
  std::cout << (common.json ? ToJson(found) : ToText(found));
  return exit_code::kDone;
}

}  // namespace trefoilmill
