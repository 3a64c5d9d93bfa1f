/// The entry process: wires its parts together and sees it from start to stop.
#ifndef TREFOILMILL_ENTRY_ENTRY_PROCESS_H_
#define TREFOILMILL_ENTRY_ENTRY_PROCESS_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "trefoilmill/entry_settings.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/process/sending_hosts.h"
#include "trefoilmill/process/traffic.h"
#include "trefoilmill/version/route_table.h"
#include "trefoilmill_entry/connection_pools.h"
#include "trefoilmill_entry/peer_gossip.h"
#include "trefoilmill_entry/request_handler.h"
#include "trefoilmill_entry/store_sync.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

class entry_process {
 public:
  /// `settings_file` is read again on SIGHUP.
  static result<std::unique_ptr<entry_process>> Create(
      event_loop& loop,
      const entry_settings& settings,
      std::string settings_file);
  ~entry_process();

 private:
  entry_process(event_loop& loop,
                const entry_settings& settings,
                std::string settings_file);

  /// Connections stay open this many times as long as callers may leave them
  /// idle.
  static constexpr int kIdleFactor = 2;

  result<void> Listen();
  result<void> ListenForMetrics();
  void OnReplaced(object_kind kind);
  void OnChanged(object_kind kind, const object_event& event);
  void AdoptConfiguration();
  void AdoptZones();
  void AdoptHosts();
  void AdoptEndpoints();
  void PutEndpoint(const stored_object& object);
  void Apply(const endpoint_registry::changes& changes);
  /// Hosts came or went: who serves callers, and this host's shares.
  void OnHostsChanged();
  /// Whether callers are now told of other hosts than before.
  bool RefreshEntryHosts();
  void ShareOut();
  int MostConnections(const endpoint_record& record) const;
  bool is_ready() const;
  void ReportReady();
  void OnDirectoryRequest(const http_request& request,
                          const http_responder& responder);
  void OnReadinessRequest(const http_request& request,
                          const http_responder& responder);
  void Tick();
  void Reload();
  void Leave();
  void StopTaking();
  void EndIfQuiet();
  void End();

  event_loop& loop_;
  entry_settings settings_;
  std::string settings_file_;
  telemetry trace_;
  traffic shared_;
  std::shared_ptr<const route_table> table_;
  /// The hosts that callers were told of when this host's shares were worked
  /// out.
  std::vector<host_record> entry_hosts_;
  sending_hosts sharers_;
  bool endpoints_known_ = false;
  bool was_ready_ = false;
  bool leaving_ = false;
  time_point end_by_;
  time_point last_tick_;
  int ticks_ = 0;
  std::unique_ptr<endpoint_links> links_;
  std::unique_ptr<request_task> requests_;
  std::unique_ptr<store_task> store_;
  std::unique_ptr<peer_task> peers_;
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> readiness_;
  std::unique_ptr<http_server> directory_;
  std::unique_ptr<http_server> metrics_;
  timer tick_;
  timer stop_taking_;
  timer end_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_ENTRY_PROCESS_H_
