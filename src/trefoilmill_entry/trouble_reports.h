/// Reports on endpoints between hosts: which are slow or failing, which said
/// that they are leaving, and which state a request limit, so that the other
/// hosts need not find out by requests of their own; and whether the sender
/// reaches the endpoints at all.
#ifndef TREFOILMILL_ENTRY_TROUBLE_REPORTS_H_
#define TREFOILMILL_ENTRY_TROUBLE_REPORTS_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/messages.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/process/shared_request_state.h"
#include "trefoilmill_entry/fleet_membership.h"
#include "trefoilmill_entry/peer_datagrams.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// Sends this host's reports to the hosts named to callers, as only these send
/// enough requests to benefit, and applies the reports of others. Used on the
/// event loop's thread only.
class trouble_reports {
 public:
  /// Called with a peer's report that an endpoint is leaving.
  using departure_callback =
      std::function<void(const host_id& from, const endpoint_departure&)>;

  /// Health and limits are taken from and passed to the selector of
  /// `shared_state`.
  trouble_reports(event_loop& loop,
                  shared_request_state& shared_state,
                  fleet_membership& fleet,
                  peer_datagrams& datagrams,
                  telemetry& process_telemetry,
                  departure_callback on_departure);

  /// Starts to send reports regularly.
  void Start();
  /// Adds an endpoint that is leaving to the next reports.
  void ReportDeparture(const endpoint_departure& departure);
  /// Applies the reports of another host.
  void OnReports(const host_id& from, const endpoint_troubles& troubles);
  /// Applies what another host heard of request limits.
  void OnLimits(const host_id& from, const endpoint_limits_message& limits);
  /// Another host says whether it reaches the endpoints.
  void OnReach(const host_id& from, const endpoint_reach_message& reach);
  /// Another host named hosts that are cut off from the endpoints.
  void OnCutOff(const std::vector<host_id>& hosts);

 private:
  /// A departure, and in how many more reports it is repeated.
  struct pending_departure {
    endpoint_departure departure;
    int reports_left = 0;
  };

  void SendReports();
  void SendTroubles();
  void SendLimits();
  void SendReach();
  /// The hosts to tell whether this one reaches the endpoints: those that name
  /// hosts to callers near this one, and those named.
  std::vector<host_record> ReachReceivers() const;
  /// The departures of the next report; counts their transmissions.
  std::vector<endpoint_departure> TakeDepartures();
  /// The hosts that reports go to: in a fleet with more entry hosts than
  /// `most_cross_zone`, only those of this zone.
  std::vector<host_record> Receivers(std::size_t most_cross_zone) const;

  event_loop& loop_;
  shared_request_state& shared_state_;
  fleet_membership& fleet_;
  peer_datagrams& datagrams_;
  telemetry& telemetry_;
  departure_callback on_departure_;
  std::vector<pending_departure> departures_;
  /// In how many more reports it is said that this host reaches the endpoints.
  int reach_reports_left_ = 0;
  timer report_timer_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_TROUBLE_REPORTS_H_
