#include "trefoilmilld/metrics_report.h"

#include <algorithm>
#include <map>

#include "trefoilmilld/admin_server.h"

namespace trefoilmill {
namespace {

void SetHosts(metrics& values, const membership& members) {
  std::map<std::string_view, double> by_state;
  for (const auto state :
       {member_state::kAlive, member_state::kSuspect, member_state::kLeaving,
        member_state::kReleased, member_state::kLeft, member_state::kDead}) {
    by_state[ToString(state)] = 0;
  }
  for (const auto& [id, known] : members.members()) {
    by_state[ToString(known.state)] += 1;
  }
  for (const auto& [state, count] : by_state) {
    values.Set(metric::kHosts, count, {state});
  }
}

void SetEndpoints(metrics& values, const admin_view& view) {
  double certain = 0;
  double uncertain = 0;
  double cold = 0;
  double in_flight = 0;
  double queued = 0;
  double connections = 0;
  for (const endpoint_load& load : view.owner.Loads()) {
    const auto standing = view.fleet.Standing(load.endpoint);
    certain += standing == ownership_standing::kCertain ? 1 : 0;
    uncertain += standing == ownership_standing::kUncertain ? 1 : 0;
    cold += load.cold ? 1 : 0;
    in_flight += load.in_flight;
    queued += load.queued;
    connections += view.owner.ConnectionsOf(load.endpoint);
  }
  values.Set(metric::kEndpointsOwned, certain, {"certain"});
  values.Set(metric::kEndpointsOwned, uncertain, {"uncertain"});
  values.Set(metric::kEndpointsCold, cold);
  values.Set(metric::kEndpointRequestsInFlight, in_flight);
  values.Set(metric::kEndpointQueueLength, queued);
  values.Set(metric::kOpenConnections, connections);
}

void SetDocuments(metrics& values, const admin_view& view) {
  for (const auto& id :
       {kDeploymentDocument, kZonesDocument, kCatalogDocument}) {
    if (const document_status* status = view.documents.StatusOf(id)) {
      values.Set(metric::kDocumentRevision,
                 static_cast<double>(status->in_force.value()), {id.value()});
    }
  }
  const documents_in_force& documents = view.documents.in_force();
  if (documents.config == nullptr) {
    return;
  }
  for (const zone_id& zone : documents.config->zones) {
    values.Set(metric::kZoneOut, documents.zones.out.contains(zone) ? 1 : 0,
               {zone.value()});
  }
}

double Rise(std::uint64_t before, std::uint64_t now) {
  return static_cast<double>(now - before);
}

}  // namespace

std::string metrics_report::Text(const admin_view& view) {
  metrics& values = view.trace.values();
  SetHosts(values, view.fleet.members());
  SetEndpoints(values, view);
  SetDocuments(values, view);
  const bool ready =
      view.entry.ready() && view.documents.in_force().catalog != nullptr;
  values.Set(metric::kReady, ready ? 1 : 0);
  values.Set(metric::kLeaving,
             view.lifecycle.phase() == lifecycle_phase::kServing ? 0 : 1);
  values.Set(metric::kQueriesInProgress,
             static_cast<double>(view.entry.in_progress()));
  CountEntry(view);
  CountPeers(view);
  return values.Serialize();
}

void metrics_report::CountEntry(const admin_view& view) {
  metrics& values = view.trace.values();
  const entry_counters& now = view.entry.context().counters;
  values.Increment(metric::kAttempts, {"first"},
                   Rise(entry_.first_attempts, now.first_attempts));
  values.Increment(metric::kAttempts, {"retry"},
                   Rise(entry_.retries, now.retries));
  values.Increment(metric::kAttempts, {"hedge"},
                   Rise(entry_.hedges, now.hedges));
  values.Increment(metric::kHedgesStarted, {},
                   Rise(entry_.hedges_started, now.hedges_started));
  entry_ = now;
}

void metrics_report::CountPeers(const admin_view& view) {
  metrics& values = view.trace.values();
  const peer_mesh_counters& now = view.fleet.mesh().counters();
  const auto count = [&values](std::string_view use, const peer_traffic& before,
                               const peer_traffic& after) {
    values.Increment(metric::kPeerBytes, {use, "sent"},
                     Rise(before.bytes_sent, after.bytes_sent));
    values.Increment(metric::kPeerBytes, {use, "received"},
                     Rise(before.bytes_received, after.bytes_received));
    values.Increment(metric::kPeerMessages, {use, "sent"},
                     Rise(before.messages_sent, after.messages_sent));
    values.Increment(metric::kPeerMessages, {use, "received"},
                     Rise(before.messages_received, after.messages_received));
  };
  count("control", peers_.control, now.control);
  count("query", peers_.query, now.query);
  peers_ = now;
}

}  // namespace trefoilmill
