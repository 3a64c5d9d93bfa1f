/// The entry process: connects its components and controls it from start to
/// stop.
#ifndef TREFOILMILL_ENTRY_ENTRY_PROCESS_H_
#define TREFOILMILL_ENTRY_ENTRY_PROCESS_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "trefoilmill/entry_settings.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/process/sending_hosts.h"
#include "trefoilmill/process/shared_request_state.h"
#include "trefoilmill/version/configuration_loader.h"
#include "trefoilmill/version/route_table.h"
#include "trefoilmill/version/zones_out.h"
#include "trefoilmill_entry/connection_pools.h"
#include "trefoilmill_entry/crash_checker.h"
#include "trefoilmill_entry/peer_gossip.h"
#include "trefoilmill_entry/planned_stop.h"
#include "trefoilmill_entry/reach_prober.h"
#include "trefoilmill_entry/request_handler.h"
#include "trefoilmill_entry/store_sync.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// Serves callers while the event loop runs. SIGTERM and SIGINT begin a
/// graceful shutdown that ends the loop; SIGHUP reloads part of the settings.
class entry_process {
 public:
  /// Starts all components. `settings_file` is the path that SIGHUP reads
  /// again. Fails if the log cannot be opened, a port cannot be bound or the
  /// membership settings are rejected.
  static result<std::unique_ptr<entry_process>> Create(
      event_loop& loop,
      const entry_settings& settings,
      std::string settings_file);
  ~entry_process();

 private:
  entry_process(event_loop& loop,
                const entry_settings& settings,
                std::string settings_file);

  /// The server closes idle connections after this multiple of the time that
  /// callers may leave them idle.
  static constexpr int kIdleTimeoutFactor = 2;
  /// Callers' time for a request's head is longer than the one that is declared
  /// to them, as it may pass while this process is not scheduled.
  static constexpr int kHeaderTimeoutFactor = 2;

  result<void> Listen();
  result<void> ListenForMetrics();
  /// All objects of a kind were replaced.
  void OnObjectsReplaced(object_kind kind);
  /// One object was written or deleted.
  void OnObjectChanged(object_kind kind, const object_event& event);
  /// Begins to load the configuration that the store or a peer shows.
  void UpdateConfiguration();
  /// Loads some parts of the configuration, and plans the rest for a later turn
  /// of the loop, so that a large one delays nothing else.
  void LoadConfiguration();
  void OnLoadStep(const configuration_loader::in_progress& step);
  void OnLoadStep(const configuration_loader::loaded& step);
  void OnLoadStep(const configuration_loader::refused& step);
  /// The store shows an older version than the one in force, as after a
  /// restoration.
  void OnLoadStep(const configuration_loader::outdated& step);
  /// Bounds what all connections together may hold, and logs the bounds.
  void LimitConnections();
  /// All servers of the process.
  std::vector<http_server*> Servers() const;
  /// Puts new limits of callers' connections and requests in force.
  void ApplyCallerLimits(const caller_limits& limits);
  void UpdateZonesOut();
  /// Passes changes of the zones in effect on to the selector.
  void ApplyZonesOut();
  void UpdateHosts();
  void UpdateEndpoints();
  void UpdateEndpoint(const stored_object& object);
  /// Decodes an endpoint's record, unless it was decoded at this revision
  /// before: a fetched copy holds mostly records that this host has.
  result<endpoint_record> DecodeEndpoint(const stored_object& object);
  /// Logs an endpoint that is new or has changed.
  void LogAnnounced(const endpoint_record& record, revision at);
  /// An endpoint's own reply said that it is leaving.
  void OnEndpointLeaving(const endpoint_id& id);
  /// Another host was told that an endpoint is leaving.
  void OnPeerDeparture(const host_id& from,
                       const endpoint_departure& departure);
  /// Creates, replaces and removes connection pools after changes of endpoints.
  void ApplyEndpointChanges(const endpoint_registry::changes& changes);
  void RetireDrainingPools();
  /// Updates the entry hosts and this host's shares if hosts have changed. A
  /// large fleet reports changes in bursts, which are applied together.
  void ApplyHostChanges();
  /// Updates the hosts among which shares are divided.
  void UpdateEntryHosts();
  /// Counts the hosts that share the limits with this one.
  void CountHosts();
  /// Updates this host's share of each endpoint's connections.
  void UpdateConnectionLimits();
  /// Connections that this host may keep to an endpoint; 0 while there is no
  /// configuration.
  int ConnectionLimit(const endpoint_record& record) const;
  bool is_ready() const;
  void ReportReadiness();
  void OnDirectoryRequest(const http_request& request,
                          const http_responder& responder);
  void OnReadinessRequest(const http_request& request,
                          const http_responder& responder);
  void RunHousekeeping();
  /// Probes endpoints if necessary, and acts on a change of whether this host
  /// reaches them.
  void UpdateReach(time_point now);
  void ReloadSettings();
  /// Announces that this host leaves, and begins the planned stop.
  void BeginShutdown();
  void StopProcess();

  event_loop& loop_;
  entry_settings settings_;
  std::string settings_file_;
  telemetry telemetry_;
  shared_request_state shared_state_;
  configuration_loader configuration_;
  timer load_timer_;
  std::shared_ptr<const route_table> route_table_;
  /// The hosts named to callers, and those that are not because they do not
  /// reach the endpoints, when this host's shares were last computed.
  std::vector<host_record> entry_hosts_;
  sending_hosts sending_hosts_;
  zones_out zones_out_;
  /// The zones that the selector leaves out.
  std::set<zone_id> zones_out_in_effect_;
  /// Hosts may have changed since the last ApplyHostChanges().
  bool hosts_changed_ = false;
  bool endpoints_known_ = false;
  struct decoded_endpoint {
    revision at;
    endpoint_record record;
  };
  /// The last readable entries, by name.
  std::map<std::string, decoded_endpoint> decoded_endpoints_;
  /// The store's list of hosts is known.
  bool hosts_listed_ = false;
  time_point started_at_;
  bool was_ready_ = false;
  bool was_cut_off_ = false;
  time_point last_housekeeping_;
  int housekeeping_runs_ = 0;
  std::unique_ptr<connection_pools> pools_;
  std::unique_ptr<request_handler> requests_;
  std::unique_ptr<reach_prober> prober_;
  std::unique_ptr<crash_checker> crash_checker_;
  std::unique_ptr<store_sync> store_;
  std::unique_ptr<peer_gossip> peers_;
  std::unique_ptr<http_server> caller_server_;
  std::unique_ptr<http_server> readiness_server_;
  std::unique_ptr<http_server> directory_server_;
  std::unique_ptr<http_server> metrics_server_;
  std::unique_ptr<planned_stop> stop_;
  timer housekeeping_timer_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_ENTRY_PROCESS_H_
