/// The other daemons: links to them, who is alive, who owns which endpoint.
/// Owns the peers' socket. Lives as long as the process.
#ifndef TREFOILMILLD_FLEET_TASK_H_
#define TREFOILMILLD_FLEET_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "trefoilmill/deployment.h"
#include "trefoilmill/membership.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/peer_mesh.h"
#include "trefoilmill/ownership.h"
#include "trefoilmill/settings.h"
#include "trefoilmilld/store_client.h"
#include "trefoilmilld/telemetry.h"

namespace trefoilmill {

/// What the fleet tells the rest of the daemon.
struct fleet_events {
  /// A message that is not about membership.
  std::function<void(const host_id& from, peer_message message)> received;
  /// What a peer has in force.
  std::function<void(const host_id& from,
                     const std::vector<document_digest>& digests)>
      digests;
  /// The link is gone, with all that was on it.
  std::function<void(const host_id& host)> lost;
  /// Live hosts, owners or standings may have changed.
  std::function<void()> view_changed;
};

class fleet_task {
 public:
  static result<std::unique_ptr<fleet_task>> Create(
      event_loop& loop,
      const daemon_settings& settings,
      store_client& store,
      telemetry& trace,
      fleet_events events);

  /// @name Messages in
  /// @{
  void SetDeployment(std::shared_ptr<const deployment> config);
  void SetZones(const zone_states& zones);
  void SetDocuments(std::vector<document_digest> digests);
  /// The host takes no new work from now on.
  void Leave();
  /// Nothing of this host is in flight at any endpoint, for good.
  void Release();
  /// The host stops and has nothing in flight.
  void Stop();
  /// @}

  /// False if there is no link to `host`.
  bool Send(const host_id& host, const peer_message& message);

  /// @name View
  /// @{
  const host_id& self() const { return self_.id; }
  const zone_id& zone() const { return self_.zone; }
  const organisation_id& organisation() const { return organisation_; }
  /// Whether probes reach more than half of the voters.
  bool has_majority() const { return tracker_.HasMajority(); }
  std::optional<host_id> OwnerOf(const endpoint_id& endpoint) const;
  std::vector<endpoint_id> OwnEndpoints() const;
  ownership_standing Standing(const endpoint_id& endpoint) const;
  const membership& members() const { return members_; }
  const ownership_map& owners() const { return map_; }
  const peer_mesh& mesh() const { return *mesh_; }
  const std::set<zone_id>& zones_out() const { return zones_.out; }
  /// Live hosts, fewest one; the divisor of static shares.
  int HostCount() const;
  /// @}

 private:
  fleet_task(event_loop& loop,
             const daemon_settings& settings,
             store_client& store,
             telemetry& trace,
             fleet_events events,
             membership members);

  void Perform(const membership::actions& actions);
  void Do(const membership::send& action);
  void Do(const membership::connect& action);
  void Do(const membership::member_changed& action);
  void Do(const membership::declared_dead& action);
  void Do(const membership::wake& action);

  void OnLinked(const host_id& host, const hello_message& hello);
  void OnLost(const host_id& host);
  void OnMessage(const host_id& host, peer_message message);
  void PollHosts();
  /// Asks the seeds while nobody else is known.
  void AskSeeds();
  /// The platform's list, with what hosts say of themselves: one that announced
  /// its leave has no vote any more.
  std::vector<host_record> Voters() const;
  void Heartbeat();
  void RebuildMap();
  void TellReleased(const membership::member_changed& change);
  ownership_timing Timing() const;

  event_loop& loop_;
  host_record self_;
  organisation_id organisation_;
  store_client& store_;
  telemetry& trace_;
  fleet_events events_;
  membership members_;
  membership_config membership_config_;
  duration max_deadline_;
  std::vector<socket_address> seeds_;
  ownership_tracker tracker_;
  ownership_map map_;
  std::shared_ptr<const deployment> deployment_;
  zone_states zones_;
  std::unique_ptr<peer_mesh> mesh_;
  timer wake_;
  timer heartbeat_;
  /// When the next heartbeat should run.
  std::optional<time_point> heartbeat_due_;
  timer poll_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILLD_FLEET_TASK_H_
