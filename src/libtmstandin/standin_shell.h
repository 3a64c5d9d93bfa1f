/// The frame of a stand-in's main(): settings file, loop, signals.
#ifndef TREFOILMILL_LIBTMSTANDIN_STANDIN_SHELL_H_
#define TREFOILMILL_LIBTMSTANDIN_STANDIN_SHELL_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "trefoilmill/ids.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// Makes what a stand-in serves from the content of its settings file.
using standin_factory =
    std::function<result<std::shared_ptr<void>>(event_loop&,
                                                const nlohmann::json&)>;

/// Runs a stand-in: reads the JSON file given by `--config`, which may hold
/// comments, hands it to `make`, prints "ready" on standard output once that
/// has succeeded, and runs the loop until SIGTERM or SIGINT. What `make` made
/// is destroyed before the loop. Returns main()'s status; errors go to
/// standard error.
int RunStandin(int argc, char** argv, const standin_factory& make);

/// The same for a `process` with a factory function
/// `Create(event_loop&, const nlohmann::json&)`.
template <class process>
int RunStandin(int argc, char** argv) {
  return RunStandin(
      argc, argv,
      [](event_loop& loop,
         const nlohmann::json& settings) -> result<std::shared_ptr<void>> {
        auto made = process::Create(loop, settings);
        if (!made) {
          return made.error();
        }
        return std::shared_ptr<process>(std::move(made).value());
      });
}

/// Reads `{"ip": "127.0.0.1", "port": 1}`; throws nlohmann::json::exception.
socket_address ParseAddress(const nlohmann::json& value);

/// A failure with only a sentence for people.
failure StandinFailure(std::string detail);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMSTANDIN_STANDIN_SHELL_H_
