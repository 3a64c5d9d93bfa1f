/// Reads the log files of hosts.
#ifndef TREFOILMILL_TREFOILMILLCTL_LOG_FILES_H_
#define TREFOILMILL_TREFOILMILLCTL_LOG_FILES_H_

#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/wire/log_codec.h"

namespace trefoilmill {

/// The lines of all files, in the order of the files; "-" is standard input.
/// nullopt if a file cannot be read, which is reported. Lines that are not of a
/// log are left out, and their number is reported.
std::optional<std::vector<read_log_line>> ReadLogFiles(
    const std::vector<std::string>& files);

}  // namespace trefoilmill

#endif  // TREFOILMILL_TREFOILMILLCTL_LOG_FILES_H_
