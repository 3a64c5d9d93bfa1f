/// Input without end, for tests of HTTP servers and clients.
#ifndef TREFOILMILL_LIBTMNET_ENDLESS_INPUT_TEST_H_
#define TREFOILMILL_LIBTMNET_ENDLESS_INPUT_TEST_H_

#include <ostream>
#include <string>

namespace trefoilmill {

/// What a peer sends: a beginning, and then the same again and again.
struct endless_input {
  const char* name;
  std::string beginning;
  std::string repeated;
  friend std::ostream& operator<<(std::ostream& out, const endless_input& f) {
    return out << f.name;
  }
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMNET_ENDLESS_INPUT_TEST_H_
