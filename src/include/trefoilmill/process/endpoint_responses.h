/// When each endpoint responded last, whatever it said.
#ifndef TREFOILMILL_PROCESS_ENDPOINT_RESPONSES_H_
#define TREFOILMILL_PROCESS_ENDPOINT_RESPONSES_H_

#include <unordered_map>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// One host's observations.
class endpoint_responses {
 public:
  void OnResponse(time_point now, const endpoint_id& id);
  /// The endpoint was removed, or its instance replaced.
  void Forget(const endpoint_id& id) { latest_.erase(id); }

  /// Whether the endpoint was probably up at `at`: it has responded since, or
  /// shortly before.
  bool WasUp(time_point at, const endpoint_id& id) const;

 private:
  std::unordered_map<endpoint_id, time_point> latest_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_ENDPOINT_RESPONSES_H_
