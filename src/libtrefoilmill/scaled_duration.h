/// A duration times a factor.
#ifndef TREFOILMILL_LIBTREFOILMILL_SCALED_DURATION_H_
#define TREFOILMILL_LIBTREFOILMILL_SCALED_DURATION_H_

#include <chrono>

#include "trefoilmill/time.h"

namespace trefoilmill {

inline duration Scaled(duration length, double factor) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, duration::period>(length) * factor);
}

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTREFOILMILL_SCALED_DURATION_H_
