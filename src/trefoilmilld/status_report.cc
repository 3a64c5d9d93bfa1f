#include "trefoilmilld/status_report.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string>

#include "trefoilmilld/admin_server.h"

namespace trefoilmill {
namespace {

std::string NameOf(ownership_standing standing) {
  switch (standing) {
    case ownership_standing::kNotOwner:
      return "not_owner";
    case ownership_standing::kUncertain:
      return "uncertain";
    case ownership_standing::kCertain:
      return "certain";
  }
  return "unknown";
}

std::vector<document_report> DocumentReports(const document_task& documents) {
  std::vector<document_report> reports;
  for (const auto& id :
       {kDeploymentDocument, kZonesDocument, kCatalogDocument}) {
    const document_status* status = documents.StatusOf(id);
    if (status != nullptr) {
      reports.push_back({.id = id,
                         .in_force = status->in_force,
                         .rejected = status->rejected,
                         .rejection = status->rejection,
                         .watcher = status->watcher,
                         .store_failures = status->store_failures});
    }
  }
  return reports;
}

std::vector<host_report> HostReports(const membership& members) {
  std::vector<host_report> reports;
  std::ranges::transform(members.members(), std::back_inserter(reports),
                         [](const auto& entry) {
                           const member& known = entry.second;
                           return host_report{.host = known.host,
                                              .state = known.state,
                                              .life = known.life,
                                              .documents = known.documents};
                         });
  return reports;
}

/// Endpoints with a port here report their own load; others what was heard.
std::optional<endpoint_load> LoadOf(
    const admin_view& view,
    const std::map<endpoint_id, endpoint_load>& own,
    const endpoint_id& endpoint) {
  if (const auto found = own.find(endpoint); found != own.end()) {
    return found->second;
  }
  const endpoint_state* seen = view.entry.context().endpoints.Find(endpoint);
  return seen == nullptr ? std::nullopt : seen->load;
}

std::vector<endpoint_report> EndpointReports(const admin_view& view) {
  std::vector<endpoint_report> reports;
  const auto& config = view.documents.in_force().config;
  if (config == nullptr) {
    return reports;
  }
  std::map<endpoint_id, endpoint_load> own;
  for (const auto& load : view.owner.Loads()) {
    own.emplace(load.endpoint, load);
  }
  for (const auto& [id, service] : config->services) {
    for (const auto& endpoint : service.endpoints) {
      reports.push_back(
          {.id = endpoint.id,
           .service = id,
           .zone = endpoint.zone,
           .owner = view.fleet.OwnerOf(endpoint.id).value_or(host_id()),
           .standing = NameOf(view.fleet.Standing(endpoint.id)),
           .load = LoadOf(view, own, endpoint.id),
           .connections = view.owner.ConnectionsOf(endpoint.id)});
    }
  }
  return reports;
}

std::vector<snapshot_version> Snapshots(const documents_in_force& documents) {
  std::vector<snapshot_version> versions;
  if (documents.catalog != nullptr) {
    std::ranges::transform(documents.catalog->versions,
                           std::back_inserter(versions),
                           &snapshot_layout::version);
  }
  return versions;
}

std::vector<std::string> Problems(const admin_view& view) {
  std::vector<std::string> problems;
  const documents_in_force& documents = view.documents.in_force();
  if (documents.config == nullptr) {
    problems.emplace_back("no deployment is in force");
  }
  if (documents.catalog == nullptr) {
    problems.emplace_back("no catalog is in force");
  }
  for (const auto& error : documents.deployment_errors) {
    problems.push_back("deployment: " + ToString(error));
  }
  for (const auto& report : DocumentReports(view.documents)) {
    if (report.rejected.has_value()) {
      problems.push_back(report.id.value() + " revision " +
                         std::to_string(report.rejected->value()) +
                         " was refused: " + report.rejection);
    }
    if (report.store_failures > 0) {
      problems.push_back("the store does not answer for " + report.id.value());
    }
  }
  if (!view.fleet.has_majority()) {
    problems.emplace_back("fewer than half of the hosts are heard");
  }
  return problems;
}

}  // namespace

status_report MakeStatusReport(const admin_view& view) {
  const documents_in_force& documents = view.documents.in_force();
  return {.host = view.fleet.self(),
          .zone = view.fleet.zone(),
          .organisation = view.fleet.organisation(),
          .ready = view.entry.ready() && documents.catalog != nullptr,
          .leaving = view.lifecycle.phase() != lifecycle_phase::kServing,
          .documents = DocumentReports(view.documents),
          .hosts = HostReports(view.fleet.members()),
          .endpoints = EndpointReports(view),
          .zones = documents.zones,
          .snapshots = Snapshots(documents),
          .problems = Problems(view)};
}

}  // namespace trefoilmill
