/// How carefully a request is sent that may end the endpoints that run it.
///
/// Whether endpoints have ended is known later than the request has to go on,
/// so that its own attempts decide: those whose connection broke or whose reply
/// is late count as unanswered. A reply from any endpoint shows that the
/// request is harmless; its user then asks no more.
#ifndef TREFOILMILL_REQUEST_REQUEST_CAUTION_H_
#define TREFOILMILL_REQUEST_REQUEST_CAUTION_H_

#include <cstddef>

#include "trefoilmill/time.h"

namespace trefoilmill {

/// What other hosts are told of a request without any reply.
enum class silence_warning {
  kNone,
  kSuspect,  ///< To send requests like it to one endpoint at a time.
  kRefuse,   ///< To refuse them for a moment.
};

/// State of one request.
class request_caution {
 public:
  /// Endpoints have ended under earlier requests like this one.
  void SetSuspect(bool suspect) { suspect_ = suspect; }
  /// An attempt is late, or its connection broke. `sent_alone`: no other
  /// attempt might still have been answered when it was sent.
  void OnUnanswered(bool sent_alone);

  bool has_unanswered() const { return unanswered_ > 0; }
  /// Whether only one endpoint at a time may get the request.
  bool is_cautious() const;
  /// Whether no further endpoint may get it. `has_strikes`: endpoints are known
  /// to have ended under earlier requests like it.
  bool MustStop(bool has_strikes) const;

  /// What other hosts are to be told next, if nothing else happens until
  /// WarningDelay() after the first send in progress (kSuspect) or the last one
  /// (kRefuse). `possible_attempts` is the number of endpoints that may have
  /// it.
  silence_warning NextWarning(std::size_t possible_attempts,
                              bool has_strikes) const;
  void OnWarned(silence_warning given) { warned_ = given; }
  /// The next warning cannot be given yet.
  void PostponeWarning(time_point until) { postponed_until_ = until; }
  time_point postponed_until() const { return postponed_until_; }
  silence_warning warned() const { return warned_; }
  /// How long a request is silent until others are warned, by the latency that
  /// is expected of it.
  static duration WarningDelay(duration expected);

 private:
  bool suspect_ = false;
  /// Unanswered attempts, and those of them that were sent alone.
  std::size_t unanswered_ = 0;
  std::size_t unanswered_alone_ = 0;
  silence_warning warned_ = silence_warning::kNone;
  time_point postponed_until_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_REQUEST_REQUEST_CAUTION_H_
