/// One `trefoilmilld` process: its tasks and how they talk.
#ifndef TREFOILMILLD_DAEMON_H_
#define TREFOILMILLD_DAEMON_H_

#include <memory>

#include "trefoilmill/host_lifecycle.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/settings.h"
#include "trefoilmill/verdict.h"
#include "trefoilmilld/admin_server.h"
#include "trefoilmilld/callers_server.h"
#include "trefoilmilld/claim_task.h"
#include "trefoilmilld/document_task.h"
#include "trefoilmilld/document_writer.h"
#include "trefoilmilld/entry_task.h"
#include "trefoilmilld/fleet_task.h"
#include "trefoilmilld/owner_task.h"
#include "trefoilmilld/store_client.h"
#include "trefoilmilld/telemetry.h"

namespace trefoilmill {

class daemon_process {
 public:
  /// Listens on all addresses; fails if one cannot be had.
  static result<std::unique_ptr<daemon_process>> Create(
      event_loop& loop,
      const daemon_settings& settings);
  ~daemon_process();

 private:
  daemon_process(event_loop& loop,
                 const daemon_settings& settings,
                 std::unique_ptr<telemetry> trace);

  result<void> Listen(const daemon_settings& settings);
  fleet_events FleetEvents();
  void MakeTasks(const daemon_settings& settings);

  /// @name Messages between tasks
  /// @{
  void OnPeerMessage(const host_id& from, peer_message message);
  void OnAdopted(const document_id& id);
  void OnViewChanged();
  bool ToOwner(const host_id& owner, peer_message message);
  void ToEntry(const host_id& entry, peer_message message);
  /// @}

  void Perform(const host_lifecycle::actions& actions);
  void Do(const host_lifecycle::start_leaving& action);
  void Do(const host_lifecycle::release_endpoints& action);
  void Do(const host_lifecycle::start_draining& action);
  void Do(const host_lifecycle::stop& action);
  void Do(const host_lifecycle::wake& action);
  void CountInProgress();

  event_loop& loop_;
  std::unique_ptr<telemetry> trace_;
  store_client store_;
  std::unique_ptr<fleet_task> fleet_;
  std::unique_ptr<document_task> documents_;
  std::unique_ptr<claim_task> claims_;
  std::unique_ptr<entry_task> entry_;
  std::unique_ptr<owner_task> owner_;
  std::unique_ptr<document_writer> writer_;
  std::unique_ptr<callers_server> callers_;
  std::unique_ptr<admin_server> admin_;
  host_lifecycle lifecycle_;
  timer lifecycle_wake_;
  timer progress_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILLD_DAEMON_H_
