/// trefoilmillctl: steers and asks a trefoilmill query tier.
#include <csignal>
#include <exception>
#include <iostream>
#include <variant>

#include "command_line.h"
#include "commands.h"

namespace {

using namespace trefoilmill;

exit_code RunCommand(int argc, char** argv) {
  const auto parsed = ParseCommandLine(argc, argv);
  if (const auto* ended = std::get_if<exit_code>(&parsed)) {
    return *ended;
  }
  const auto& chosen = std::get<parsed_command>(parsed);
  auto api = daemon_api::Create();
  if (api.has_error()) {
    std::cerr << api.error().detail << "\n";
    return exit_code::kRefused;
  }
  return std::visit(
      [&](const auto& options) {
        return Run(chosen.common, api.value(), options);
      },
      chosen.what);
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return static_cast<int>(RunCommand(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << "trefoilmillctl: " << error.what() << "\n";
    return static_cast<int>(exit_code::kRefused);
  }
}
