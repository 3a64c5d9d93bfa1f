/// `status`: one host's view of everything.
#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>

#include "commands.h"

namespace trefoilmill {
namespace {

constexpr int kOk = 200;

/// Pads each column to its widest cell.
class text_table {
 public:
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

  void Print(std::ostream& out) const {
    std::map<std::size_t, std::size_t> widths;
    for (const auto& row : rows_) {
      for (std::size_t i = 0; i < row.size(); ++i) {
        widths[i] = std::max(widths[i], row[i].size());
      }
    }
    for (const auto& row : rows_) {
      out << " ";
      for (std::size_t i = 0; i < row.size(); ++i) {
        const bool last = i + 1 == row.size();
        out << " " << std::left
            << std::setw(last ? 0 : static_cast<int>(widths[i])) << row[i];
      }
      out << "\n";
    }
  }

 private:
  std::vector<std::vector<std::string>> rows_;
};

std::string RevisionOn(const host_report& host, const std::string& document) {
  const auto found = std::ranges::find(host.documents, document_id(document),
                                       &document_digest::id);
  return found == host.documents.end()
             ? "-"
             : std::to_string(found->in_force.value());
}

void PrintHosts(const status_report& status) {
  text_table table;
  table.Add(
      {"HOST", "ZONE", "STATE", "DEPLOYMENT", "ZONES", "CATALOG", "CALLERS"});
  for (const host_report& host : status.hosts) {
    table.Add({host.host.id.value(), host.host.zone.value(),
               std::string(ToString(host.state)),
               RevisionOn(host, "deployment"), RevisionOn(host, "zones"),
               RevisionOn(host, "catalog"), ToString(host.host.callers)});
  }
  table.Print(std::cout);
}

void PrintDocuments(const status_report& status) {
  text_table table;
  table.Add({"DOCUMENT", "REVISION", "STORE"});
  for (const document_report& document : status.documents) {
    const std::string store =
        document.store_failures == 0
            ? "reachable"
            : std::to_string(document.store_failures) + " failures in a row";
    table.Add({document.id.value(), std::to_string(document.in_force.value()),
               document.watcher ? store : "by gossip"});
  }
  table.Print(std::cout);
}

/// What all endpoints of one service add up to.
struct service_sum {
  int endpoints = 0;
  int known = 0;
  int cold = 0;
  int draining = 0;
  int in_flight = 0;
  int queued = 0;
};

void PrintServices(const status_report& status) {
  std::map<service_id, service_sum> services;
  for (const endpoint_report& endpoint : status.endpoints) {
    service_sum& sum = services[endpoint.service];
    ++sum.endpoints;
    if (endpoint.load.has_value()) {
      ++sum.known;
      sum.cold += endpoint.load->cold ? 1 : 0;
      sum.draining += endpoint.load->draining ? 1 : 0;
      sum.in_flight += endpoint.load->in_flight;
      sum.queued += endpoint.load->queued;
    }
  }
  text_table table;
  table.Add({"SERVICE", "ENDPOINTS", "HEARD OF", "COLD", "DRAINING",
             "IN FLIGHT", "QUEUED"});
  for (const auto& [id, sum] : services) {
    table.Add({id.value(), std::to_string(sum.endpoints),
               std::to_string(sum.known), std::to_string(sum.cold),
               std::to_string(sum.draining), std::to_string(sum.in_flight),
               std::to_string(sum.queued)});
  }
  table.Print(std::cout);
}

std::vector<std::string> EndpointRow(const endpoint_report& endpoint) {
  std::vector<std::string> row = {endpoint.id.value(), endpoint.zone.value(),
                                  endpoint.owner.value(), endpoint.standing};
  if (!endpoint.load.has_value()) {
    return row;
  }
  const endpoint_load& load = *endpoint.load;
  row.push_back(load.draining ? "draining" : (load.cold ? "cold" : "warm"));
  row.push_back(std::to_string(load.in_flight) + "/" +
                std::to_string(load.allowance));
  row.push_back(std::to_string(load.queued));
  row.push_back(std::to_string(endpoint.connections));
  return row;
}

void PrintEndpoints(const status_report& status) {
  text_table table;
  table.Add({"ENDPOINT", "ZONE", "OWNER", "STANDING", "STATE", "IN FLIGHT",
             "QUEUED", "CONNECTIONS"});
  for (const endpoint_report& endpoint : status.endpoints) {
    table.Add(EndpointRow(endpoint));
  }
  table.Print(std::cout);
}

void PrintHeadline(const status_report& status) {
  std::cout << status.organisation << ", as " << status.host << " ("
            << status.zone
            << ") sees it: " << (status.ready ? "ready" : "not ready")
            << (status.leaving ? ", leaving" : "");
  std::cout << "; zones out:";
  for (const zone_id& zone : status.zones.out) {
    std::cout << " " << zone;
  }
  std::cout << (status.zones.out.empty() ? " none" : "") << "; snapshots:";
  for (const snapshot_version version : status.snapshots) {
    std::cout << " " << version;
  }
  std::cout << (status.snapshots.empty() ? " none" : "") << "\n";
}

void Print(const status_report& status, bool endpoints) {
  PrintHeadline(status);
  PrintHosts(status);
  PrintDocuments(status);
  PrintServices(status);
  if (endpoints) {
    PrintEndpoints(status);
  }
  for (const std::string& problem : status.problems) {
    std::cout << "! " << problem << "\n";
  }
  std::cout << std::flush;
}

exit_code ReportOnce(const common_options& common,
                     daemon_api& api,
                     const status_options& options) {
  const call_outcome outcome = Get(common, api, "/v1/status");
  if (!outcome.response.has_value() || outcome.response->status != kOk) {
    return ReportFailure(outcome);
  }
  if (common.json) {
    std::cout << outcome.response->body << std::endl;
    return exit_code::kDone;
  }
  const auto status = ParseStatus(outcome.response->body);
  if (status.has_error()) {
    std::cerr << "the status could not be read\n";
    return exit_code::kRefused;
  }
  Print(status.value(), options.endpoints);
  return exit_code::kDone;
}

}  // namespace

exit_code Run(const common_options& common,
              daemon_api& api,
              const status_options& options) {
  exit_code last = ReportOnce(common, api, options);
  // A watch goes on while no daemon answers: that is what it watches for.
  for (int done = 1;
       options.watch && (options.repeat == 0 || done < options.repeat);
       ++done) {
    api.Sleep(options.interval);
    last = ReportOnce(common, api, options);
  }
  return last;
}

}  // namespace trefoilmill
