/// `explain`: what happened to one request, from the logs of all hosts.
#include <iostream>
#include <utility>

#include "commands.h"
#include "explanation.h"
#include "log_files.h"

namespace trefoilmill {

exit_code Run(const common_options& common,
              daemon_api& /*api*/,
              const explain_options& options) {
  auto lines = ReadLogFiles(options.files);
  if (!lines.has_value()) {
    return exit_code::kUsage;
  }
  const explanation found = Explain(std::move(*lines), options.request);
  if (found.events.empty()) {
    std::cerr << "no line names request " << options.request.value()
              << ": it was answered whole and in time, or met another host\n";
    return exit_code::kRefused;
  }
  std::cout << (common.json ? ToJson(found) : ToText(found));
  return exit_code::kDone;
}

}  // namespace trefoilmill
