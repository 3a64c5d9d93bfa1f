/// `explain`: what happened to one request, from the logs of all hosts.
#include <fstream>
#include <iostream>
#include <string>

#include "commands.h"
#include "explanation.h"

namespace trefoilmill {
namespace {

constexpr const char* kStandardInput = "-";

/// Lines of a log, and how much of it was none.
struct read_logs {
  std::vector<read_log_line> lines;
  std::size_t unreadable = 0;
};

void ReadAll(std::istream& in, read_logs& logs) {
  std::string line;
  while (std::getline(in, line)) {
    auto read = ReadLogLine(line);
    if (read.has_value()) {
      logs.lines.push_back(*std::move(read));
    } else if (!line.empty()) {
      ++logs.unreadable;
    }
  }
}

bool ReadFrom(const std::string& file, read_logs& logs) {
  if (file == kStandardInput) {
    ReadAll(std::cin, logs);
    return true;
  }
  std::ifstream in(file);
  if (!in) {
    std::cerr << "cannot read " << file << "\n";
    return false;
  }
  ReadAll(in, logs);
  return true;
}

}  // namespace

exit_code Run(const common_options& common,
              daemon_api& /*api*/,
              const explain_options& options) {
  read_logs logs;
  for (const std::string& file : options.files) {
    if (!ReadFrom(file, logs)) {
      return exit_code::kUsage;
    }
  }
  if (logs.unreadable > 0) {
    std::cerr << logs.unreadable << " lines are not of a log and left out\n";
  }
  const explanation found = Explain(std::move(logs.lines), options.request);
  if (found.events.empty()) {
    std::cerr << "no line names request " << options.request.value()
              << ": it was answered whole and in time, or met another host\n";
    return exit_code::kRefused;
  }
  std::cout << (common.json ? ToJson(found) : ToText(found));
  return exit_code::kDone;
}

}  // namespace trefoilmill
