/// trefoilmill_load: drives load against running daemons and judges the run
/// from the stand-ins' records.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "load_config.h"
#include "load_run.h"
#include "report.h"

namespace trefoilmill {
namespace {

/// The exit status of a run with violations.
constexpr int kViolated = 2;

int Fail(const failure& error) {
  std::cerr << "trefoilmill_load: " << error.detail << '\n';
  return 1;
}

int Run(const std::string& path, const std::string& directory) {
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const auto config = ReadLoadConfig(text);
  if (!config.has_value()) {
    return Fail(config.assume_error());
  }
  const auto loop = event_loop::Create();
  if (!loop.has_value()) {
    return Fail(loop.assume_error());
  }
  load_run run(*loop.assume_value(), config.assume_value(),
               [](const std::string& line) { std::cerr << line << '\n'; });
  run.Start();
  loop.assume_value()->Run();

  const wall_us counted_from =
      run.started() + static_cast<wall_us>(run.config().warmup.count());
  const run_figures figures =
      Measure(run.observed(), counted_from, run.config().client_latency);
  const violation_counts violations = Judge(run.observed());
  const auto summary =
      MakeSummary(run.config(), figures, violations, run.failed_calls());
  if (!directory.empty()) {
    WriteFiles(directory, run.observed(), run.started(), summary);
  }
  std::cout << summary.dump() << '\n';
  return IsClean(violations) ? 0 : kViolated;
}

}  // namespace
}  // namespace trefoilmill

int main(int argc, char** argv) {
  CLI::App app("Open-loop load with a judge");
  std::string config;
  std::string directory;
  app.add_option("--config", config, "the run, JSON with comments")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--out", directory, "directory for rows and records")
      ->check(CLI::ExistingDirectory);
  CLI11_PARSE(app, argc, argv);
  return trefoilmill::Run(config, directory);
}
