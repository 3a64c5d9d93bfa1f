/// The owner role: takes sub-requests of entries, hands them to the endpoints
/// that this host owns, and sends the replies back in batches. Owns the
/// sockets towards endpoints. Lives as long as the process.
#ifndef TREFOILMILLD_OWNER_TASK_H_
#define TREFOILMILLD_OWNER_TASK_H_

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trefoilmill/endpoint_table.h"
#include "trefoilmill/messages.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/reply_batch.h"
#include "trefoilmill/service_latency_estimator.h"
#include "trefoilmill/settings.h"
#include "trefoilmilld/document_task.h"
#include "trefoilmilld/endpoint_port.h"
#include "trefoilmilld/fleet_task.h"
#include "trefoilmilld/telemetry.h"

namespace trefoilmill {

class owner_task {
 public:
  /// Carries a message to the entry role of `entry`, which may be this host.
  using deliver =
      std::function<void(const host_id& entry, peer_message message)>;

  /// `knowledge` is the entry role's table: what owners before this host said
  /// of an endpoint.
  owner_task(event_loop& loop,
             const daemon_settings& settings,
             const fleet_task& fleet,
             const endpoint_table& knowledge,
             telemetry& trace,
             deliver to_entry);

  /// @name Messages in
  /// @{
  void OnDocuments(const documents_in_force& documents);
  void OnViewChanged();
  void OnQuery(const host_id& entry, shard_query_message message);
  void OnCancel(const host_id& entry, const shard_cancel_message& message);
  /// The link to an entry is lost: nobody waits for its replies.
  void OnHostLost(const host_id& entry);
  /// The host stops: its endpoints get no new work from here.
  void Leave();
  /// @}

  /// Sub-requests that have not been answered.
  std::size_t in_progress() const { return origins_.size(); }
  /// What this host, as owner, knows of its endpoints.
  std::vector<endpoint_load> Loads() const;
  /// Connections of this host to the endpoint.
  int ConnectionsOf(const endpoint_id& endpoint) const;
  scheduler_counters Totals() const;

 private:
  /// One entry's query at this owner.
  struct batch_key {
    host_id entry;
    request_id request;
    friend auto operator<=>(const batch_key&, const batch_key&) = default;
  };
  struct batch_state {
    reply_batch replies;
    std::set<endpoint_id> endpoints;
    timer flush;
  };
  /// Where an attempt's reply goes.
  struct origin {
    batch_key batch;
    service_id service;
    endpoint_id endpoint;
    time_point arrived;
  };

  bool IsDirect() const;
  endpoint_scheduler_options Options() const;
  const endpoint_config* ConfigOf(const endpoint_id& endpoint) const;
  /// The endpoint's port, made if need be; nullptr if it is unknown.
  endpoint_port* PortFor(const endpoint_id& endpoint);
  void Reconcile(const endpoint_id& endpoint, endpoint_port& port);
  serving_state ServingOf(const endpoint_config& config) const;
  ownership_standing StandingOf(const endpoint_id& endpoint) const;
  void DropIdlePorts();
  void WarmOwnEndpoints();
  /// Usual latency of the endpoint's replicas; 0 when unknown.
  duration ReplicaLatency(const endpoint_config& config) const;

  time_point FlushTime(const shard_query_message& message) const;
  void Submit(const shard_query_message& message,
              const shard_request& shard,
              time_point deadline,
              const std::shared_ptr<const std::string>& body);
  void OnFinished(const finish_task& done);
  void OnHedgeStarted(const hedge_started& started);
  void SendReplies(const batch_key& key, std::vector<shard_reply> replies);
  void ArmFlush(const batch_key& key, batch_state& batch);

  event_loop& loop_;
  std::string local_ip_;
  const fleet_task& fleet_;
  const endpoint_table& knowledge_;
  telemetry& trace_;
  deliver to_entry_;
  endpoint_port_events port_events_;
  service_latency_estimator latencies_;
  std::shared_ptr<const deployment> deployment_;
  std::map<endpoint_id, endpoint_config> endpoints_;
  std::map<endpoint_id, std::unique_ptr<endpoint_port>> ports_;
  std::map<attempt_id, origin> origins_;
  std::map<batch_key, batch_state> batches_;
  bool leaving_ = false;
};

}  // namespace trefoilmill

#endif  // TREFOILMILLD_OWNER_TASK_H_
