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

/// Puts a pipe in the place of standard output for the length of a test.
class piped_stdout {
 public:
  piped_stdout() : saved_(dup(STDOUT_FILENO)) {
    BOOST_REQUIRE(pipe(ends_.data()) == 0);
    dup2(ends_[1], STDOUT_FILENO);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~piped_stdout() {
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
    close(ends_[0]);
    close(ends_[1]);
  }
  piped_stdout(const piped_stdout&) = delete;
  piped_stdout& operator=(const piped_stdout&) = delete;

  std::string Read() const {
    std::string all;
    std::array<char, 4096> buffer{};
    ssize_t got = 0;
    while ((got = read(ends_[0], buffer.data(), buffer.size())) > 0) {
      all.append(buffer.data(), static_cast<std::size_t>(got));
    }
    return all;
  }

 private:
  int saved_;
  std::array<int, 2> ends_{};
};

std::vector<nlohmann::json> Lines(const std::string& text) {
  std::vector<nlohmann::json> lines;
  std::istringstream in(text);
  std::string line;
  while (std::getline(in, line)) {
    lines.push_back(nlohmann::json::parse(line));
  }
  return lines;
}

std::unique_ptr<logger> MakeLogger(int lines_per_second) {
  auto made = logger::Create({.level = log_level::kInfo,
                              .to_stdout = true,
                              .lines_per_second = lines_per_second,
                              .host = host_id("h1")});
  return std::move(made).value();
}

}  // namespace

BOOST_AUTO_TEST_CASE(inputs_of_a_decision_are_written) {
  const piped_stdout out;
  const auto log = MakeLogger(0);
  log->Info("request ended", {.inputs = {{"sends", std::int64_t{3}},
                                         {"share", 0.5},
                                         {"route", std::string("r1")}}});
  log->Flush();
  const auto lines = Lines(out.Read());
  BOOST_REQUIRE(lines.size() == 1U);
  BOOST_TEST(lines[0]["sends"] == 3);
  BOOST_TEST(lines[0]["share"] == 0.5);
  BOOST_TEST(lines[0]["route"] == "r1");
}

BOOST_AUTO_TEST_CASE(a_reader_that_stops_reading_blocks_nobody) {
  const piped_stdout out;
  const auto log = MakeLogger(0);
  for (int line = 0; line < 20000; ++line) {
    log->Info("a line that nobody reads");
    log->Flush();
  }
  BOOST_TEST(log->dropped() > 0U);
  // Once somebody reads again, whole lines come out.
  std::string text;
  for (int round = 0; round < 100; ++round) {
    text += out.Read();
    log->Flush();
  }
  BOOST_TEST(Lines(text).size() + log->dropped() == 20000U);
}

BOOST_AUTO_TEST_CASE(a_message_is_bounded_and_what_is_left_out_is_counted) {
  const piped_stdout out;
  const auto log = MakeLogger(5);
  int written = 0;
  std::int64_t left_out = 0;
  // Long enough to meet the next second.
  for (int round = 0; round < 15; ++round) {
    for (int line = 0; line < 100; ++line) {
      log->Info("a frequent event");
    }
    log->Flush();
    for (const auto& line : Lines(out.Read())) {
      ++written;
      left_out += line.value("left_out", std::int64_t{0});
    }
    usleep(100'000);
  }
  BOOST_TEST(written >= 5);
  BOOST_TEST(written <= 15);
  BOOST_TEST(left_out > 0);
}

}  // namespace trefoilmill
