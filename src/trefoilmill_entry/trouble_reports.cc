#include "trefoilmill_entry/trouble_reports.h"

#include <cstddef>
#include <utility>

namespace trefoilmill::entry {
namespace {

/// How often a host reports endpoints in trouble, and how many at most.
constexpr duration kReportInterval = std::chrono::milliseconds(250);
constexpr std::size_t kMaxReportedEndpoints = 24;
/// How often a departure is reported, as datagrams may be lost.
constexpr int kDepartureReports = 3;

}  // namespace

trouble_reports::trouble_reports(event_loop& loop,
                                 endpoint_selector& selector,
                                 const fleet_membership& fleet,
                                 peer_datagrams& datagrams,
                                 departure_callback on_departure)
    : loop_(loop),
      selector_(selector),
      fleet_(fleet),
      datagrams_(datagrams),
      on_departure_(std::move(on_departure)) {}

void trouble_reports::Start() {
  report_timer_ = loop_.RunEvery(kReportInterval, [this] { SendReports(); });
}

void trouble_reports::ReportDeparture(const endpoint_departure& departure) {
  departures_.push_back(
      {.departure = departure, .reports_left = kDepartureReports});
}

void trouble_reports::OnReports(const host_id& from,
                                const endpoint_troubles& troubles) {
  for (const endpoint_health_report& report : troubles.reports) {
    selector_.OnPeerReport(loop_.Now(), report);
  }
  for (const endpoint_departure& departure : troubles.departures) {
    on_departure_(from, departure);
  }
}

void trouble_reports::SendReports() {
  endpoint_troubles troubles{
      .reports = selector_.UnhealthyEndpoints(loop_.Now()),
      .departures = TakeDepartures()};
  if (troubles.reports.empty() && troubles.departures.empty()) {
    return;
  }
  if (troubles.reports.size() > kMaxReportedEndpoints) {
    troubles.reports.resize(kMaxReportedEndpoints);
  }
  datagrams_.SendToAll(Receivers(), troubles);
}

std::vector<endpoint_departure> trouble_reports::TakeDepartures() {
  std::vector<endpoint_departure> taken;
  for (pending_departure& pending : departures_) {
    taken.push_back(pending.departure);
    --pending.reports_left;
  }
  std::erase_if(departures_, [](const pending_departure& pending) {
    return pending.reports_left == 0;
  });
  return taken;
}

std::vector<host_record> trouble_reports::Receivers() const {
  std::vector<host_record> receivers = fleet_.EntryHosts();
  const host_record& self = fleet_.self();
  const bool cross_zone = receivers.size() <= kMaxCrossZoneReceivers;
  std::erase_if(receivers, [&](const host_record& host) {
    return host.id == self.id || !(cross_zone || host.zone == self.zone);
  });
  return receivers;
}

}  // namespace trefoilmill::entry
