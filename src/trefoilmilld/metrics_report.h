/// `GET /metrics`: brings the gauges, and the counters that tasks keep by
/// themselves, up to date.
#ifndef TREFOILMILLD_METRICS_REPORT_H_
#define TREFOILMILLD_METRICS_REPORT_H_

#include <string>

#include "trefoilmill/entry_context.h"
#include "trefoilmill/net/peer_mesh.h"

namespace trefoilmill {

struct admin_view;

class metrics_report {
 public:
  /// Prometheus's text, after all values were refreshed.
  std::string Text(const admin_view& view);

 private:
  void CountEntry(const admin_view& view);
  void CountPeers(const admin_view& view);

  /// What had been counted at the last call.
  entry_counters entry_;
  peer_mesh_counters peers_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILLD_METRICS_REPORT_H_
