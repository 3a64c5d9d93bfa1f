/// Calls to daemons, one at a time.
#ifndef TREFOILMILL_TREFOILMILLCTL_API_H_
#define TREFOILMILL_TREFOILMILLCTL_API_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// How a call ended without a response.
struct call_failure {
  /// True if some daemon may have acted on the call.
  bool sent = false;
  /// For people.
  std::string detail;
};

/// Exactly one of response and failed is set.
struct call_outcome {
  std::optional<http_response> response;
  std::optional<call_failure> failed;
  /// Who answered.
  socket_address address;
};

/// Whether a call that failed may go to the next address.
enum class repetition {
  kSafe,       ///< It changes nothing.
  kIfNotSent,  ///< Only if nobody can have acted on it.
};

class daemon_api {
 public:
  static result<daemon_api> Create();

  /// Tries each of `addresses` in turn until one answers.
  call_outcome Call(const std::vector<socket_address>& addresses,
                    const http_request& request,
                    duration timeout,
                    repetition repeat);
  void Sleep(duration time);
  std::uint64_t SystemTimeMicros() const { return loop_->SystemTimeMicros(); }

 private:
  explicit daemon_api(std::unique_ptr<event_loop> loop);
  http_result CallOne(const socket_address& address,
                      const http_request& request,
                      duration timeout);

  std::unique_ptr<event_loop> loop_;
};

/// "IP:PORT".
std::string ToString(const socket_address& address);

}  // namespace trefoilmill

#endif  // TREFOILMILL_TREFOILMILLCTL_API_H_
