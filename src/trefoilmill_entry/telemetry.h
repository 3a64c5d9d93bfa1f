/// What every part of the entry process reports to. Lives as long as it.
#ifndef TREFOILMILL_ENTRY_TELEMETRY_H_
#define TREFOILMILL_ENTRY_TELEMETRY_H_

#include <memory>

#include "trefoilmill/net/log.h"
#include "trefoilmill/net/metrics.h"

namespace trefoilmill::entry {

struct telemetry {
  std::unique_ptr<logger> log;
  std::unique_ptr<metrics> values;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_TELEMETRY_H_
