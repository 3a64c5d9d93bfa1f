#include "trefoilmill_entry/demand_sync.h"

#include <algorithm>
#include <utility>

#include "trefoilmill/process/entry_hosts.h"
#include "trefoilmill/wire/log_messages.h"

namespace trefoilmill::entry {
namespace {

constexpr duration kReportInterval = std::chrono::milliseconds(250);
/// Keeps a report within one datagram. What smaller organisations ask is part
/// of the sum at the hosts that they use.
constexpr std::size_t kMaxReportedOrganisations = 24;
constexpr double kPermille = 1000;

}  // namespace

demand_sync::demand_sync(event_loop& loop,
                         shared_request_state& shared_state,
                         fleet_membership& fleet,
                         peer_datagrams& datagrams,
                         telemetry& process_telemetry)
    : loop_(loop),
      shared_state_(shared_state),
      fleet_(fleet),
      datagrams_(datagrams),
      telemetry_(process_telemetry) {}

void demand_sync::RunHousekeeping() {
  const time_point now = loop_.Now();
  if (now < report_at_) {
    return;
  }
  report_at_ = now + kReportInterval;
  shared_state_.shares.RemoveIdle(now);
  LogChange(now);
  if (!shared_state_.shares.IsShort(now)) {
    return;
  }
  const std::vector<host_record> hosts = fleet_.EntryHosts();
  SendToZone(hosts, now);
  SendToOtherZones(hosts, now);
}

void demand_sync::LogChange(time_point now) {
  const fair_shares& shares = shared_state_.shares;
  if (shares.IsShort(now) == was_short_) {
    return;
  }
  was_short_ = !was_short_;
  telemetry_.log->Info(
      was_short_ ? log_message::kEndpointsShort
                 : log_message::kEndpointsSuffice,
      {.inputs = {
           {"runnable_permille", static_cast<std::int64_t>(
                                     kPermille * shares.RunnableFraction(now))},
           {"organisations", static_cast<std::int64_t>(shares.size())}}});
}

void demand_sync::SendToZone(const std::vector<host_record>& hosts,
                             time_point now) {
  organisation_demand_message report{.summed_zone = {},
                                     .demands = shared_state_.shares.OwnDemands(
                                         now, kMaxReportedOrganisations)};
  if (report.demands.empty()) {
    return;
  }
  const host_record& self = fleet_.self();
  std::vector<host_record> receivers;
  std::ranges::copy_if(hosts, std::back_inserter(receivers),
                       [&](const host_record& host) {
                         return host.zone == self.zone && host.id != self.id;
                       });
  datagrams_.SendToAll(receivers, report);
}

void demand_sync::SendToOtherZones(const std::vector<host_record>& hosts,
                                   time_point now) {
  const host_record& self = fleet_.self();
  if (!IsFirstOfZone(self, hosts)) {
    return;
  }
  organisation_demand_message report{
      .summed_zone = self.zone,
      .demands =
          shared_state_.shares.ZoneDemands(now, kMaxReportedOrganisations)};
  if (report.demands.empty()) {
    return;
  }
  std::vector<host_record> receivers;
  std::ranges::copy_if(
      hosts, std::back_inserter(receivers),
      [&](const host_record& host) { return host.zone != self.zone; });
  datagrams_.SendToAll(receivers, report);
}

void demand_sync::OnReport(const host_id& from,
                           const organisation_demand_message& report) {
  const bool is_sum = !report.summed_zone.value().empty();
  if (is_sum && report.summed_zone == fleet_.self().zone) {
    return;
  }
  shared_state_.shares.OnReport(
      loop_.Now(),
      is_sum ? demand_source(report.summed_zone) : demand_source(from),
      report.demands);
}

}  // namespace trefoilmill::entry
