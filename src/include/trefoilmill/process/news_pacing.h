/// When a host passes on news that it got: soon, so that it reaches all hosts
/// in a few tens of milliseconds, and a limited number of times a second.
#ifndef TREFOILMILL_PROCESS_NEWS_PACING_H_
#define TREFOILMILL_PROCESS_NEWS_PACING_H_

#include <optional>

#include "trefoilmill/time.h"

namespace trefoilmill {

/// Plans the messages of one host. Messages that its user sends besides only
/// delay the next planned one.
class news_pacing {
 public:
  /// News came. Returns when to pass it on, together with what comes until
  /// then; nullopt if that is planned already.
  std::optional<time_point> OnNews(time_point now);
  /// The planned time has come.
  void OnDue() { is_planned_ = false; }
  /// A message with news was sent.
  void OnSent(time_point now) { sent_ = now; }

 private:
  bool is_planned_ = false;
  std::optional<time_point> sent_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_NEWS_PACING_H_
