/// Turns the arguments into one command.
#ifndef TREFOILMILL_TREFOILMILLCTL_COMMAND_LINE_H_
#define TREFOILMILL_TREFOILMILLCTL_COMMAND_LINE_H_

#include <string>
#include <variant>
#include <vector>

#include "exit_code.h"
#include "options.h"

namespace trefoilmill {

struct parsed_command {
  common_options common;
  command what;
};

/// A command, or the exit code after help or an error was printed.
std::variant<parsed_command, exit_code> ParseCommandLine(
    int argc,
    const char* const* argv);

}  // namespace trefoilmill

#endif  // TREFOILMILL_TREFOILMILLCTL_COMMAND_LINE_H_
