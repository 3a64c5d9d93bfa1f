#include "libtmstandin/standin_shell.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <utility>

namespace trefoilmill {

int RunStandin(int argc, char** argv, const standin_factory& make) {
  CLI::App app("A stand-in for tests");
  std::string path;
  app.add_option("--config", path, "settings file, JSON with comments")
      ->required();
  CLI11_PARSE(app, argc, argv);

  std::ifstream file(path);
  const auto settings = nlohmann::json::parse(file, nullptr, false, true);
  if (settings.is_discarded()) {
    std::cerr << path << ": not readable as JSON\n";
    return 1;
  }
  const auto loop = event_loop::Create();
  if (!loop) {
    std::cerr << loop.error().detail << '\n';
    return 1;
  }
  event_loop& running = *loop.value();
  running.OnSignal(SIGTERM, [&running] { running.Stop(); });
  running.OnSignal(SIGINT, [&running] { running.Stop(); });
  const auto served = make(running, settings);
  if (!served) {
    std::cerr << path << ": " << served.error().detail << '\n';
    return 1;
  }
  std::cout << "ready" << std::endl;
  running.Run();
  return 0;
}

socket_address ParseAddress(const nlohmann::json& value) {
  return {.ip = value.at("ip").get<std::string>(),
          .port = value.at("port").get<std::uint16_t>()};
}

failure StandinFailure(std::string detail) {
  failure error;
  error.detail = std::move(detail);
  return error;
}

}  // namespace trefoilmill
