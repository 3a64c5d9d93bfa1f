/// Carries out what rollout_table decides between hosts and towards the store:
/// reports to the deciders, news of stages, and the writes of states.
#ifndef TREFOILMILL_ENTRY_ROLLOUT_SYNC_H_
#define TREFOILMILL_ENTRY_ROLLOUT_SYNC_H_

#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "trefoilmill/messages.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/process/shared_request_state.h"
#include "trefoilmill_entry/fleet_membership.h"
#include "trefoilmill_entry/peer_datagrams.h"
#include "trefoilmill_entry/store_sync.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// Used on the event loop's thread only.
class rollout_sync {
 public:
  /// The roll-outs are those of `shared_state`.
  rollout_sync(event_loop& loop,
               shared_request_state& shared_state,
               fleet_membership& fleet,
               peer_datagrams& datagrams,
               store_sync& store,
               telemetry& process_telemetry,
               std::mt19937_64 random);

  /// The stored orders have changed.
  void OnOrdersChanged();
  /// Another host reports what it has seen.
  void OnReports(const host_id& from, const rollout_report_message& message);
  /// Another host says which stages roll-outs have entered.
  void OnStages(const rollout_stage_message& message);
  /// Reviews all roll-outs, and tells other hosts and the store what is due. To
  /// be called several times a second.
  void RunHousekeeping();

 private:
  rollout_table::fleet KnownFleet() const;
  void Review();
  void SendReports();
  void SendNews();
  void WriteStates();
  /// Logs and counts the stages that have changed.
  void LogStages();

  event_loop& loop_;
  shared_request_state& shared_state_;
  fleet_membership& fleet_;
  peer_datagrams& datagrams_;
  store_sync& store_;
  telemetry& telemetry_;
  std::mt19937_64 random_;
  /// Distinguishes this process from earlier ones of the host.
  std::uint64_t process_;
  time_point reported_at_;
  std::map<service_id, rollout_stage> logged_stages_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_ROLLOUT_SYNC_H_
