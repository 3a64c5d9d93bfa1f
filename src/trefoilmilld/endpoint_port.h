/// One endpoint's scheduler with its sockets: carries out what the scheduler
/// decides and reports what happened. Lives while this host has work or a
/// claim on the endpoint.
#ifndef TREFOILMILLD_ENDPOINT_PORT_H_
#define TREFOILMILLD_ENDPOINT_PORT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "trefoilmill/endpoint_scheduler.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/net/metrics.h"

namespace trefoilmill {

/// What a port tells the owner role.
struct endpoint_port_events {
  std::function<void(const finish_task&)> finished;
  std::function<void(const hedge_started&)> hedge_started;
};

class endpoint_port {
 public:
  /// `events` must outlive the port.
  endpoint_port(event_loop& loop,
                endpoint_scheduler scheduler,
                std::string local_ip,
                const endpoint_port_events& events,
                metrics& values);
  ~endpoint_port();

  void Submit(shard_task task);
  void Cancel(attempt_id attempt, cancel_scope scope);
  void SetStanding(ownership_standing standing);
  void SetServingState(serving_state serving);
  void SetLimits(const endpoint_limits& limits,
                 const endpoint_scheduler_options& options);
  void SeedAllowance(const instance_id& instance, int allowance);
  void SetReplicaLatency(duration latency);

  const endpoint_scheduler& scheduler() const { return scheduler_; }

 private:
  void Perform(const scheduler_actions& actions);
  void Do(const open_connection& action);
  void Do(const close_connection& action);
  void Do(const send_request& action);
  void Do(const send_cancel& action);
  void Do(const check_health& action);
  void Do(const finish_task& action);
  void Do(const hedge_started& action);
  void Do(const wake_at& action);

  /// nullptr once the connection was given up.
  http_connection* Find(connection_id connection);
  /// Destroys the connection from the loop, as its callback may be running.
  void Discard(connection_id connection);
  void OnOpened(connection_id connection, bool connected);
  void OnClosed(connection_id connection);
  void OnSearchReply(connection_id connection,
                     const shard_task& asked,
                     const http_result& exchange);

  event_loop& loop_;
  endpoint_scheduler scheduler_;
  std::string local_ip_;
  const endpoint_port_events& events_;
  metrics& values_;
  std::map<connection_id, std::unique_ptr<http_connection>> connections_;
  timer wake_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILLD_ENDPOINT_PORT_H_
