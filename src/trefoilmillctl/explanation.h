/// Finds in the logs of all hosts what happened to one request, and what the
/// hosts that handled it believed then.
#ifndef TREFOILMILL_TREFOILMILLCTL_EXPLANATION_H_
#define TREFOILMILL_TREFOILMILLCTL_EXPLANATION_H_

#include <string>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/wire/log_codec.h"

namespace trefoilmill {

struct explanation {
  /// The latest line of each belief, of each host that handled the request,
  /// from before the request's last line there: the configuration in force, the
  /// store, the host's own state, the endpoints that the request met.
  std::vector<read_log_line> beliefs;
  /// Lines that name the request, in the order of their times. Hosts' clocks
  /// may differ.
  std::vector<read_log_line> events;
};

/// `lines` are those of any number of hosts, in any order.
explanation Explain(std::vector<read_log_line> lines,
                    const request_id& request);

/// For people: one line each.
std::string ToText(const explanation& found);
/// For programs: {"beliefs": [...], "events": [...]}, each element as logged.
std::string ToJson(const explanation& found);

}  // namespace trefoilmill

#endif  // TREFOILMILL_TREFOILMILLCTL_EXPLANATION_H_
