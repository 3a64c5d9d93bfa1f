/// Pools of connections to endpoints, one per endpoint. Each pool keeps an idle
/// connection ready, so that a request does not wait for a new one, and stays
/// within this host's share of the connections that the endpoint accepts.
#ifndef TREFOILMILL_ENTRY_CONNECTION_POOLS_H_
#define TREFOILMILL_ENTRY_CONNECTION_POOLS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/process/endpoint_selector.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// Used on the event loop's thread only.
class connection_pools {
 public:
  /// Connects from `local_ip`, or from any address if it is empty. Reports the
  /// number of idle connections of each endpoint to `endpoint_placement`.
  /// `on_idle` is called when a connection to the endpoint has opened or has
  /// ended an exchange, except by Abort().
  connection_pools(event_loop& loop,
                   std::string local_ip,
                   endpoint_selector& endpoint_placement,
                   telemetry& process_telemetry,
                   std::function<void(const endpoint_id&)> on_idle);
  ~connection_pools();

  /// Creates the endpoint's pool and, unless this host is on standby, opens
  /// its first connection. `connection_limit` bounds the connections that are
  /// open at the same time.
  void Add(const endpoint_id& id,
           const socket_address& address,
           int connection_limit);
  /// Changes the limit; MaintainConnections() closes idle connections above
  /// it. Does nothing if the endpoint has no pool.
  void SetConnectionLimit(const endpoint_id& id, int connection_limit);
  /// On standby, connections are opened only by RequestConnection() and are
  /// closed soon after their last use.
  void SetStandby(bool standby);
  /// Opens a connection for a waiting request, unless one is idle or being
  /// opened, the limit is reached or the endpoint just closed one unused.
  void RequestConnection(const endpoint_id& id);
  /// A request that asks an endpoint whether it is up.
  struct probe {
    http_request request;
    /// Called once if it was sent.
    http_connection::result_callback done;
  };
  /// Finds out whether the endpoint is up: sends `asked`, if it is set, on an
  /// idle connection, or else opens one and sends it there, although the
  /// endpoint may have closed others unused. Returns false if the limit of
  /// connections is reached.
  bool CheckEndpoint(const endpoint_id& id, std::optional<probe> asked);
  /// The endpoint is leaving: closes its idle connections, and keeps none open
  /// from now on. RequestConnection() still opens one.
  void Retire(const endpoint_id& id);
  /// Closes idle connections immediately and busy ones after their reply.
  void Remove(const endpoint_id& id);

  /// Sends a request on an idle connection; returns false if there is none.
  /// If it returns true, `done` is called exactly once, after Send() returned.
  bool Send(const endpoint_id& id,
            attempt_id attempt,
            const http_request& request,
            duration timeout,
            http_connection::result_callback done);
  /// Closes the connection that carries the attempt, so that the endpoint can
  /// stop working on it. Calls the attempt's `done` with kReset.
  void Abort(attempt_id attempt);

  /// Closes connections that the endpoint is about to close, and opens missing
  /// ones. To be called several times a second.
  void MaintainConnections();

  /// Connections of all pools, including those being opened.
  std::size_t open_connections() const;

 private:
  struct connection;
  struct pool;

  void Open(pool& p);
  void OnConnected(pool& p, connection& c, bool connected);
  void OnReply(pool& p, connection& c, http_result exchange);
  /// The connection is closed: by the endpoint, or by this host for want of a
  /// reply.
  void OnClosed(pool& p, const connection& c, bool by_endpoint);
  /// Sends the pool's probe, if it has one, on an idle connection.
  void SendProbe(pool& p, connection& c);
  /// Closes the connection and removes it from the pool.
  void Close(pool& p, const connection& c);
  /// Closes those idle connections for which `closes` returns true.
  void CloseIdle(pool& p, const std::function<bool(const connection&)>& closes);
  /// Reports the number of idle connections to the placement.
  void ReportIdleCount(pool& p);
  /// Opens a connection if none is idle, unless this host is on standby or the
  /// endpoint is leaving.
  void EnsureIdleConnection(pool& p);
  void OpenIfAllowed(pool& p);

  event_loop& loop_;
  std::string local_ip_;
  endpoint_selector& placement_;
  telemetry& telemetry_;
  std::function<void(const endpoint_id&)> on_idle_;
  bool standby_ = false;
  std::map<endpoint_id, std::unique_ptr<pool>> pools_;
  /// Pools of removed endpoints that still have requests in flight.
  std::vector<std::unique_ptr<pool>> removed_pools_;
  std::map<attempt_id, connection*> connections_by_attempt_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_CONNECTION_POOLS_H_
