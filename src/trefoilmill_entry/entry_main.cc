/// Program entry point: reads the settings and runs the entry process.
#include <CLI/CLI.hpp>
#include <iostream>
#include <string>

#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/wire/entry_settings_codec.h"
#include "trefoilmill_entry/entry_process.h"

namespace {

/// Exit status if the settings cannot be read or are invalid.
constexpr int kExitInvalidSettings = 2;
/// Exit status if a component cannot be started.
constexpr int kExitStartupFailed = 1;

}  // namespace

int main(int argc, char** argv) {
  trefoilmill::event_loop::HoldSignals();
  CLI::App app("One entry host of the trefoilmill query tier.");
  std::string settings_file;
  bool check_only = false;
  app.add_option("--config", settings_file, "Settings file, JSON with comments")
      ->envname("TREFOILMILL_CONFIG")
      ->required();
  app.add_flag("--check", check_only, "Check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  const auto settings = trefoilmill::ReadSettingsFile(
      settings_file, trefoilmill::ParseEntrySettings);
  for (const auto& error : settings.errors) {
    std::cerr << trefoilmill::ToString(error) << '\n';
  }
  if (!settings.value.has_value()) {
    return kExitInvalidSettings;
  }
  if (check_only) {
    return 0;
  }
  auto loop = trefoilmill::event_loop::Create();
  if (!loop.has_value()) {
    std::cerr << loop.error().detail << '\n';
    return kExitStartupFailed;
  }
  auto process = trefoilmill::entry::entry_process::Create(
      *loop.value(), *settings.value, settings_file);
  if (!process.has_value()) {
    std::cerr << process.error().detail << '\n';
    return kExitStartupFailed;
  }
  loop.value()->Run();
  return 0;
}
