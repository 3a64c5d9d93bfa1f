/// When each endpoint responded last, whatever it said.
#ifndef TREFOILMILL_PROCESS_ENDPOINT_RESPONSES_H_
#define TREFOILMILL_PROCESS_ENDPOINT_RESPONSES_H_

#include <deque>
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
  /// Whether any endpoint responded around `at`, which is in the past: if none
  /// did, all of them may have been lost before it.
  bool AnyAround(time_point at) const;
  /// Whether there was a silence of 0.6 s or more, of all endpoints, since
  /// `since`, which has ended.
  bool WasSilent(time_point since) const;
  /// Whether any endpoint has responded after `since`.
  bool AnyAfter(time_point since) const { return latest_of_all_ > since; }

 private:
  /// A time without any response.
  struct silence {
    time_point began;
    time_point ended;
  };

  std::unordered_map<endpoint_id, time_point> latest_;
  /// The latest ones that are long enough to matter, oldest first.
  std::deque<silence> silences_;
  time_point latest_of_all_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_ENDPOINT_RESPONSES_H_
