#include <CLI/CLI.hpp>
#include <iostream>
#include <string>

#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/wire/entry_settings_codec.h"
#include "trefoilmill_entry/entry_process.h"

namespace {

constexpr int kExitSettings = 2;
constexpr int kExitCannotStart = 1;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("One entry host of the trefoilmill query tier.");
  std::string file;
  bool check = false;
  app.add_option("--config", file, "Settings file, JSON with comments")
      ->envname("TREFOILMILL_CONFIG")
      ->required();
  app.add_flag("--check", check, "Check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  const auto parsed =
      trefoilmill::ReadSettingsFile(file, trefoilmill::ParseEntrySettings);
  for (const auto& error : parsed.errors) {
    std::cerr << trefoilmill::ToString(error) << '\n';
  }
  if (!parsed.value.has_value()) {
    return kExitSettings;
  }
  if (check) {
    return 0;
  }
  auto loop = trefoilmill::event_loop::Create();
  if (!loop.has_value()) {
    std::cerr << loop.error().detail << '\n';
    return kExitCannotStart;
  }
  auto process = trefoilmill::entry::entry_process::Create(*loop.value(),
                                                           *parsed.value, file);
  if (!process.has_value()) {
    std::cerr << process.error().detail << '\n';
    return kExitCannotStart;
  }
  loop.value()->Run();
  return 0;
}
