/// The platform's host list as the daemons see it: always somewhat old.
#ifndef TREFOILMILL_TM_OBJECT_STORE_LAGGING_HOST_LIST_H_
#define TREFOILMILL_TM_OBJECT_STORE_LAGGING_HOST_LIST_H_

#include <deque>
#include <string>

#include "trefoilmill/time.h"

namespace trefoilmill {

class lagging_host_list {
 public:
  /// `first` is in the list from ever since.
  explicit lagging_host_list(std::string first);

  /// Sets the true list from `now` on.
  void Set(std::string hosts, time_point now);
  /// The list as it was at `now - lag`.
  const std::string& At(time_point now, duration lag) const;

 private:
  struct edition {
    time_point since;
    std::string hosts;
  };
  std::deque<edition> editions_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_TM_OBJECT_STORE_LAGGING_HOST_LIST_H_
