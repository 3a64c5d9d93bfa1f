/// Reports on endpoints between hosts: which are slow or failing, and which
/// said that they are leaving, so that the other hosts need not find out by
/// failures of their own.
#ifndef TREFOILMILL_ENTRY_TROUBLE_REPORTS_H_
#define TREFOILMILL_ENTRY_TROUBLE_REPORTS_H_

#include <functional>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/messages.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/process/endpoint_selector.h"
#include "trefoilmill_entry/fleet_membership.h"
#include "trefoilmill_entry/peer_datagrams.h"

namespace trefoilmill::entry {

/// Sends this host's reports to the hosts named to callers, as only these send
/// enough requests to benefit, and applies the reports of others. Used on the
/// event loop's thread only.
class trouble_reports {
 public:
  /// Called with a peer's report that an endpoint is leaving.
  using departure_callback =
      std::function<void(const host_id& from, const endpoint_departure&)>;

  /// Health reports are taken from and passed to `selector`.
  trouble_reports(event_loop& loop,
                  endpoint_selector& selector,
                  const fleet_membership& fleet,
                  peer_datagrams& datagrams,
                  departure_callback on_departure);

  /// Starts to send reports regularly.
  void Start();
  /// Adds an endpoint that is leaving to the next reports.
  void ReportDeparture(const endpoint_departure& departure);
  /// Applies the reports of another host.
  void OnReports(const host_id& from, const endpoint_troubles& troubles);

 private:
  /// A departure, and in how many more reports it is repeated.
  struct pending_departure {
    endpoint_departure departure;
    int reports_left = 0;
  };

  void SendReports();
  /// The departures of the next report; counts their transmissions.
  std::vector<endpoint_departure> TakeDepartures();
  /// The hosts that the reports go to.
  std::vector<host_record> Receivers() const;

  event_loop& loop_;
  endpoint_selector& selector_;
  const fleet_membership& fleet_;
  peer_datagrams& datagrams_;
  departure_callback on_departure_;
  std::vector<pending_departure> departures_;
  timer report_timer_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_TROUBLE_REPORTS_H_
