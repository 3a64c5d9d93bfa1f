/// The operators' JSON interface, for the daemon's side and the command line's.
#ifndef TREFOILMILL_WIRE_ADMIN_CODEC_H_
#define TREFOILMILL_WIRE_ADMIN_CODEC_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/messages.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// The body of `POST /v1/config`.
struct config_request {
  /// The deployment as one line of JSON.
  std::string document;
  /// The revision that it is meant to replace; unset: whatever is in force.
  std::optional<revision> expected;
  /// Check only; change nothing.
  bool dry_run = false;
};

/// Fails with kBadRequest; the deployment itself is not checked here.
result<config_request> ParseConfigRequest(const std::string& body);
std::string WriteConfigRequest(const config_request& request);

/// The deployment in force: the reply of `GET /v1/config`.
struct config_reply {
  revision at;
  /// The deployment as one line of JSON.
  std::string document;
};

/// Fails with kMalformedReply.
result<config_reply> ParseConfigReply(const std::string& body);
std::string WriteConfigReply(const config_reply& reply);

/// The reply `200` of `POST /v1/config`: `{"revision": n}`.
std::string WriteRevision(revision at);
/// Fails with kMalformedReply.
result<revision> ParseRevision(const std::string& body);

/// The reply `409` of `POST /v1/config`: someone else changed it first. Shows
/// both sides.
struct config_conflict {
  std::optional<revision> expected;
  /// What is in force, and its revision.
  config_reply theirs;
  /// What was to replace it.
  std::string yours;
};

std::string WriteConflict(const config_conflict& conflict);
/// Fails with kMalformedReply.
result<config_conflict> ParseConflict(const std::string& body);

/// One document on one host.
struct document_report {
  document_id id;
  revision in_force;
  /// The newest revision that was refused, and why.
  std::optional<revision> rejected;
  std::string rejection;
  bool watcher = false;
  int store_failures = 0;
};

/// One host, as another one sees it.
struct host_report {
  host_record host;
  member_state state = member_state::kAlive;
  incarnation life;
  /// What it has in force, by its own report.
  std::vector<document_digest> documents;
};

/// One endpoint, as one host sees it.
struct endpoint_report {
  endpoint_id id;
  service_id service;
  zone_id zone;
  host_id owner;
  /// "certain", "uncertain" or "not_owner", for the reporting host.
  std::string standing;
  /// Set if the reporting host owns it, or heard of it from its owner.
  std::optional<endpoint_load> load;
  int connections = 0;
};

/// The reply of `GET /v1/status`: one host's view of everything.
struct status_report {
  host_id host;
  zone_id zone;
  organisation_id organisation;
  bool ready = false;
  bool leaving = false;
  std::vector<document_report> documents;
  std::vector<host_report> hosts;
  std::vector<endpoint_report> endpoints;
  zone_states zones;
  /// Index versions that may be queried.
  std::vector<snapshot_version> snapshots;
  /// What an operator should look at, one sentence each.
  std::vector<std::string> problems;
};

std::string WriteStatus(const status_report& status);
/// Fails with kMalformedReply.
result<status_report> ParseStatus(const std::string& body);

/// The reply of `GET /v1/health`.
struct health_status {
  bool ready = false;
  bool leaving = false;
};

std::string WriteHealth(const health_status& health);

/// `{"error": {...}}` without a request id, for any refused call.
std::string WriteError(const failure& error);
/// Reads the error of a refusal; nullopt for a body of another form.
std::optional<failure> ParseError(const std::string& body);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_ADMIN_CODEC_H_
