/// Wall-clock times as people read them.
#ifndef TREFOILMILL_LIBTMWIRE_TIME_TEXT_H_
#define TREFOILMILL_LIBTMWIRE_TIME_TEXT_H_

#include <cstdint>
#include <string>

namespace trefoilmill {

/// Microseconds since 1970 as "2026-12-03T20:55:00.123456Z".
std::string TimeText(std::uint64_t wall_us);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMWIRE_TIME_TEXT_H_
