#include "log_files.h"

#include <fstream>
#include <iostream>
#include <utility>

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

std::optional<std::vector<read_log_line>> ReadLogFiles(
    const std::vector<std::string>& files) {
  read_logs logs;
  for (const std::string& file : files) {
    if (!ReadFrom(file, logs)) {
      return std::nullopt;
    }
  }
  if (logs.unreadable > 0) {
    std::cerr << logs.unreadable << " lines are not of a log and left out\n";
  }
  return std::move(logs.lines);
}

}  // namespace trefoilmill
