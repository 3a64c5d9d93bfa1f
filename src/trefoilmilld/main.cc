#include <CLI/CLI.hpp>
#include <iostream>
#include <random>
#include <string>

#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/wire/settings_codec.h"
#include "trefoilmilld/daemon.h"

namespace {

constexpr int kExitSettings = 2;
constexpr int kExitCannotStart = 1;

}  // namespace

int main(int argc, char** argv) {
  trefoilmill::event_loop::HoldSignals();
  CLI::App app("One host of the trefoilmill query tier.");
  std::string file;
  bool check = false;
  app.add_option("--config", file, "Settings file, JSON with comments")
      ->required();
  app.add_flag("--check", check, "Check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  auto parsed =
      trefoilmill::ReadSettingsFile(file, trefoilmill::ParseDaemonSettings);
  for (const auto& error : parsed.errors) {
    std::cerr << trefoilmill::ToString(error) << '\n';
  }
  if (!parsed.value.has_value()) {
    return kExitSettings;
  }
  if (check) {
    return 0;
  }
  if (parsed.value->seed == 0) {
    parsed.value->seed = std::random_device()();
  }
  auto loop = trefoilmill::event_loop::Create();
  if (!loop.has_value()) {
    std::cerr << loop.error().detail << '\n';
    return kExitCannotStart;
  }
  auto daemon =
      trefoilmill::daemon_process::Create(*loop.value(), *parsed.value);
  if (!daemon.has_value()) {
    std::cerr << daemon.error().detail << '\n';
    return kExitCannotStart;
  }
  std::cout << "ready" << std::endl;
  loop.value()->Run();
  return 0;
}
