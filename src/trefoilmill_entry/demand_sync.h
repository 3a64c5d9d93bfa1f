/// Tells other hosts what organisations ask of this one while endpoints are
/// short, so that all hosts divide what there is in the same way.
#ifndef TREFOILMILL_ENTRY_DEMAND_SYNC_H_
#define TREFOILMILL_ENTRY_DEMAND_SYNC_H_

#include <vector>

#include "trefoilmill/messages.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/process/shared_request_state.h"
#include "trefoilmill_entry/fleet_membership.h"
#include "trefoilmill_entry/peer_datagrams.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// Hosts of one availability zone report to each other; one of them reports the
/// sum to the other zones, so that traffic between zones stays small. Used on
/// the event loop's thread only.
class demand_sync {
 public:
  demand_sync(event_loop& loop,
              shared_request_state& shared_state,
              fleet_membership& fleet,
              peer_datagrams& datagrams,
              telemetry& process_telemetry);

  /// Sends a report if one is due, and logs when endpoints become short.
  void RunHousekeeping();
  /// Another host reports demand.
  void OnReport(const host_id& from, const organisation_demand_message& report);

 private:
  void LogChange(time_point now);
  void SendToZone(const std::vector<host_record>& hosts, time_point now);
  void SendToOtherZones(const std::vector<host_record>& hosts, time_point now);

  event_loop& loop_;
  shared_request_state& shared_state_;
  fleet_membership& fleet_;
  peer_datagrams& datagrams_;
  telemetry& telemetry_;
  bool was_short_ = false;
  time_point report_at_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_DEMAND_SYNC_H_
