/// The log and the metrics of the entry process.
#ifndef TREFOILMILL_ENTRY_TELEMETRY_H_
#define TREFOILMILL_ENTRY_TELEMETRY_H_

#include <memory>

#include "trefoilmill/net/log.h"
#include "trefoilmill/net/metrics.h"

namespace trefoilmill::entry {

/// Shared by all components of the process and outlives them.
struct telemetry {
  std::unique_ptr<logger> log;
  std::unique_ptr<metrics> meter;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_TELEMETRY_H_
