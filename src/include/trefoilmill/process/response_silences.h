/// When no endpoint at all responded to this host: its links may have been cut
/// then, or all endpoints lost together.
#ifndef TREFOILMILL_PROCESS_RESPONSE_SILENCES_H_
#define TREFOILMILL_PROCESS_RESPONSE_SILENCES_H_

#include <deque>
#include <optional>

#include "trefoilmill/time.h"

namespace trefoilmill {

/// One host's observations.
class response_silences {
 public:
  /// An endpoint responded, whatever it said.
  void OnResponse(time_point now);

  /// Whether any endpoint has responded after `since`.
  bool AnyAfter(time_point since) const {
    return latest_.has_value() && *latest_ > since;
  }
  /// Whether any endpoint responded around `at`, which is in the past: if none
  /// did, all of them may have been lost before it.
  bool AnyAround(time_point at) const;
  /// Whether there was a silence of 0.6 s or more since `since` that has ended.
  bool WasSilent(time_point since) const;

 private:
  struct silence {
    time_point began;
    time_point ended;
  };

  std::optional<time_point> latest_;
  /// The latest ones that are long enough to matter, oldest first.
  std::deque<silence> silences_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_RESPONSE_SILENCES_H_
