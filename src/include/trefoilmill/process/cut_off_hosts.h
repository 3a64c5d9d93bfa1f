/// Which hosts are believed not to reach the endpoints.
///
/// A host says so itself, again and again while it lasts, to the hosts near it
/// and to those named to callers. Others hear of it from a host that knows.
/// What is only heard of is not passed on: it would go round among the hosts
/// and never end.
#ifndef TREFOILMILL_PROCESS_CUT_OFF_HOSTS_H_
#define TREFOILMILL_PROCESS_CUT_OFF_HOSTS_H_

#include <map>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// The beliefs of one host, each of which ends unless it is renewed.
class cut_off_hosts {
 public:
  /// A host, this one or another, says whether it reaches the endpoints.
  /// Returns whether that changes the belief.
  bool OnOwnWord(time_point now, const host_id& host, bool is_cut_off);
  /// A host says that `host` does not reach the endpoints. Returns whether that
  /// changes the belief.
  bool OnHearsay(time_point now, const host_id& host);

  /// Whether the host is believed not to reach the endpoints.
  bool Contains(time_point now, const host_id& host) const;
  /// The hosts that have said so themselves, which may be passed on.
  std::vector<host_id> ByOwnWord(time_point now) const;

 private:
  using beliefs = std::map<host_id, time_point>;

  /// When each belief ends.
  beliefs own_word_until_;
  beliefs hearsay_until_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_PROCESS_CUT_OFF_HOSTS_H_
