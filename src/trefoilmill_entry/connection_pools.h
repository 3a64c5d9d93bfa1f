/// Connections to endpoints: keeps some open and idle, so that a request never
/// waits for one to be made, and stays within this host's share of what each
/// endpoint accepts.
#ifndef TREFOILMILL_ENTRY_CONNECTION_POOLS_H_
#define TREFOILMILL_ENTRY_CONNECTION_POOLS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/process/placement.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

class endpoint_links {
 public:
  /// `on_free` is called when a connection to the endpoint became idle.
  endpoint_links(event_loop& loop,
                 std::string local_ip,
                 placement& places,
                 telemetry& trace,
                 std::function<void(const endpoint_id&)> on_free);
  ~endpoint_links();

  /// Opens a first connection. `most`: connections at the same time.
  void Add(const endpoint_id& id, const socket_address& address, int most);
  void SetMost(const endpoint_id& id, int most);
  /// While it stands by, connections are opened when they are asked for and
  /// closed soon after their last use.
  void SetStandby(bool standby);
  /// A request waits for a connection to the endpoint.
  void OpenFor(const endpoint_id& id);
  /// Closes idle connections at once, others with their reply.
  void Remove(const endpoint_id& id);

  /// Hands a request to an idle connection; false if there is none. `done` is
  /// called exactly once, unless the connection is cut off by Abandon().
  bool Send(const endpoint_id& id,
            attempt_id attempt,
            const http_request& request,
            duration timeout,
            http_connection::on_reply done);
  /// Closes the connection that carries the attempt: the endpoint need not
  /// finish it. Its `done` gets kReset.
  void Abandon(attempt_id attempt);

  /// Closes connections that the endpoint is about to close, and opens missing
  /// ones. Call it a few times a second.
  void Tick();

  std::size_t open_connections() const;

 private:
  struct link;
  struct pool;

  void Open(pool& p);
  void OnConnected(pool& p, link& l, bool connected);
  void OnReply(pool& p, link& l, http_exchange exchange);
  void OnClosedByPeer(pool& p, const link& l);
  void Drop(pool& p, const link& l);
  void Publish(pool& p);
  void EnsureSpare(pool& p);
  void OpenIfAllowed(pool& p);

  event_loop& loop_;
  std::string local_ip_;
  placement& places_;
  telemetry& trace_;
  std::function<void(const endpoint_id&)> on_free_;
  bool standby_ = false;
  std::map<endpoint_id, std::unique_ptr<pool>> pools_;
  /// Pools of endpoints that are gone, with requests still in flight.
  std::vector<std::unique_ptr<pool>> retiring_;
  std::map<attempt_id, link*> carrying_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_CONNECTION_POOLS_H_
