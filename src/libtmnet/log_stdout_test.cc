#define BOOST_TEST_MODULE log_stdout
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "trefoilmill/net/log.h"

namespace trefoilmill {
namespace {

/// Redirects standard output into a pipe for the duration of a test.
class stdout_pipe {
 public:
  stdout_pipe() : saved_stdout_(dup(STDOUT_FILENO)) {
    BOOST_REQUIRE(pipe(pipe_fds_.data()) == 0);
    dup2(pipe_fds_[1], STDOUT_FILENO);
    fcntl(pipe_fds_[0], F_SETFL, O_NONBLOCK);
  }
  ~stdout_pipe() {
    dup2(saved_stdout_, STDOUT_FILENO);
    close(saved_stdout_);
    close(pipe_fds_[0]);
    close(pipe_fds_[1]);
  }
  stdout_pipe(const stdout_pipe&) = delete;
  stdout_pipe& operator=(const stdout_pipe&) = delete;

  /// Returns what the pipe holds, without blocking.
  std::string Read() const {
    std::string text;
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    while ((size = read(pipe_fds_[0], buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

 private:
  int saved_stdout_;
  std::array<int, 2> pipe_fds_{};
};

std::vector<nlohmann::json> ParseLines(const std::string& text) {
  std::vector<nlohmann::json> lines;
  std::istringstream in(text);
  std::string line;
  while (std::getline(in, line)) {
    lines.push_back(nlohmann::json::parse(line));
  }
  return lines;
}

std::unique_ptr<logger> MakeLogger(int max_lines_per_second) {
  auto log = logger::Create({.level = log_level::kInfo,
                             .to_stdout = true,
                             .max_lines_per_second = max_lines_per_second,
                             .host = host_id("h1")});
  return std::move(log).value();
}

}  // namespace

BOOST_AUTO_TEST_CASE(input_fields_are_written) {
  const stdout_pipe out;
  const auto log = MakeLogger(0);
  log->Info("request ended", {.inputs = {{"sends", std::int64_t{3}},
                                         {"share", 0.5},
                                         {"route", std::string("r1")}}});
  log->Flush();
  const auto lines = ParseLines(out.Read());
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(lines[0]["sends"] == 3);
  BOOST_TEST(lines[0]["share"] == 0.5);
  BOOST_TEST(lines[0]["route"] == "r1");
}

BOOST_AUTO_TEST_CASE(a_stalled_reader_does_not_block_the_logger) {
  const stdout_pipe out;
  const auto log = MakeLogger(0);
  for (int line = 0; line < 20000; ++line) {
    log->Info("event while nobody reads");
    log->Flush();
  }
  BOOST_TEST(log->dropped_lines() > 0U);
  // Once the reader resumes, the remaining lines arrive complete: each line is
  // either read or counted as dropped.
  std::string text;
  for (int round = 0; round < 100; ++round) {
    text += out.Read();
    log->Flush();
  }
  BOOST_TEST(ParseLines(text).size() + log->dropped_lines() == 20000U);
}

BOOST_AUTO_TEST_CASE(lines_above_the_rate_limit_are_suppressed_and_counted) {
  const stdout_pipe out;
  const auto log = MakeLogger(5);
  int written = 0;
  std::int64_t suppressed = 0;
  // 1.5 s, so that the test crosses into the next one-second window, which
  // reports the suppressed lines.
  for (int round = 0; round < 15; ++round) {
    for (int line = 0; line < 100; ++line) {
      log->Info("a frequent event");
    }
    log->Flush();
    for (const auto& line : ParseLines(out.Read())) {
      ++written;
      suppressed += line.value("left_out", std::int64_t{0});
    }
    usleep(100'000);
  }
  BOOST_TEST(written >= 5);
  BOOST_TEST(written <= 15);
  BOOST_TEST(suppressed > 0);
}

}  // namespace trefoilmill
