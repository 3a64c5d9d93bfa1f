#include "trefoilmill_entry/trouble_reports.h"

#include <algorithm>
#include <utility>

#include "trefoilmill/wire/log_messages.h"

namespace trefoilmill::entry {
namespace {

/// How often a host reports endpoints in trouble, and how many at most.
constexpr duration kReportInterval = std::chrono::milliseconds(250);
constexpr std::size_t kMaxReportedEndpoints = 24;
/// With at most this many entry hosts, reports on limits also go to other
/// zones, as a zone may have no host that sends to a limited endpoint.
constexpr std::size_t kMaxCrossZoneLimitReceivers = 64;
/// How often a departure, and that this host reaches the endpoints again, is
/// reported, as datagrams may be lost.
constexpr int kDepartureReports = 3;
constexpr int kReachReports = 3;

}  // namespace

trouble_reports::trouble_reports(event_loop& loop,
                                 shared_request_state& shared_state,
                                 fleet_membership& fleet,
                                 peer_datagrams& datagrams,
                                 telemetry& process_telemetry,
                                 departure_callback on_departure)
    : loop_(loop),
      shared_state_(shared_state),
      fleet_(fleet),
      datagrams_(datagrams),
      telemetry_(process_telemetry),
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
    shared_state_.selector.OnPeerReport(loop_.Now(), report);
  }
  for (const endpoint_departure& departure : troubles.departures) {
    on_departure_(from, departure);
  }
}

void trouble_reports::OnLimits(const host_id& from,
                               const endpoint_limits_message& limits) {
  for (const endpoint_limit_report& report : limits.reports) {
    const auto* entry = shared_state_.registry.Find(report.endpoint);
    if (entry == nullptr || entry->record.started_ms != report.started_ms) {
      continue;
    }
    if (!shared_state_.selector.limits().OnPeerReport(loop_.Now(), report)) {
      continue;
    }
    const bool is_limited = report.per_thousand_seconds.has_value();
    telemetry_.log->Info(is_limited ? log_message::kEndpointLimited
                                    : log_message::kEndpointUnlimited,
                         {.endpoint = report.endpoint,
                          .peer = from,
                          .detail = "reported by a peer",
                          .inputs = {{"per_thousand_seconds",
                                      report.per_thousand_seconds.value_or(0)},
                                     {"age_us", report.age.count()}}});
  }
}

void trouble_reports::SendReports() {
  SendTroubles();
  SendLimits();
  SendReach();
}

void trouble_reports::OnReach(const host_id& from,
                              const endpoint_reach_message& reach) {
  if (fleet_.cut_off().OnOwnWord(loop_.Now(), from, reach.is_cut_off)) {
    telemetry_.log->Info(
        reach.is_cut_off ? log_message::kPeerCutOff : log_message::kPeerReaches,
        {.peer = from, .detail = "its own word"});
  }
}

void trouble_reports::OnCutOff(const std::vector<host_id>& hosts) {
  for (const host_id& host : hosts) {
    const bool is_news = host != fleet_.self().id &&
                         fleet_.cut_off().OnHearsay(loop_.Now(), host);
    if (is_news) {
      telemetry_.log->Info(
          log_message::kPeerCutOff,
          {.peer = host, .detail = "named when it or another host declined"});
    }
  }
}

void trouble_reports::SendReach() {
  const bool is_cut_off = shared_state_.selector.reach().is_cut_off();
  fleet_.cut_off().OnOwnWord(loop_.Now(), fleet_.self().id, is_cut_off);
  if (is_cut_off) {
    reach_reports_left_ = kReachReports;
  } else if (reach_reports_left_ == 0) {
    return;
  } else {
    --reach_reports_left_;
  }
  datagrams_.SendToAll(ReachReceivers(),
                       endpoint_reach_message{.is_cut_off = is_cut_off});
}

std::vector<host_record> trouble_reports::ReachReceivers() const {
  std::vector<host_record> receivers = fleet_.NearbyHosts();
  for (const host_record& host : Receivers(kMaxCrossZoneLimitReceivers)) {
    if (std::ranges::find(receivers, host.id, &host_record::id) ==
        receivers.end()) {
      receivers.push_back(host);
    }
  }
  return receivers;
}

void trouble_reports::SendLimits() {
  endpoint_limits_message limits{
      .reports = shared_state_.selector.limits().TakeReports(
          loop_.Now(), kMaxReportedEndpoints)};
  std::erase_if(limits.reports, [this](const endpoint_limit_report& report) {
    return shared_state_.registry.Find(report.endpoint) == nullptr;
  });
  if (limits.reports.empty()) {
    return;
  }
  for (endpoint_limit_report& report : limits.reports) {
    report.started_ms =
        shared_state_.registry.Find(report.endpoint)->record.started_ms;
  }
  datagrams_.SendToAll(Receivers(kMaxCrossZoneLimitReceivers), limits);
}

void trouble_reports::SendTroubles() {
  endpoint_troubles troubles{
      .reports = shared_state_.selector.UnhealthyEndpoints(loop_.Now()),
      .departures = TakeDepartures()};
  if (troubles.reports.empty() && troubles.departures.empty()) {
    return;
  }
  if (troubles.reports.size() > kMaxReportedEndpoints) {
    troubles.reports.resize(kMaxReportedEndpoints);
  }
  datagrams_.SendToAll(Receivers(kMaxCrossZoneReceivers), troubles);
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

std::vector<host_record> trouble_reports::Receivers(
    std::size_t most_cross_zone) const {
  std::vector<host_record> receivers = fleet_.EntryHosts();
  const host_record& self = fleet_.self();
  const bool cross_zone = receivers.size() <= most_cross_zone;
  std::erase_if(receivers, [&](const host_record& host) {
    return host.id == self.id || !(cross_zone || host.zone == self.zone);
  });
  return receivers;
}

}  // namespace trefoilmill::entry
