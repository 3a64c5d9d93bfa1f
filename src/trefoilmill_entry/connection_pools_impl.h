/// What connection_pools keeps of each endpoint.
#ifndef TREFOILMILL_ENTRY_CONNECTION_POOLS_IMPL_H_
#define TREFOILMILL_ENTRY_CONNECTION_POOLS_IMPL_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "trefoilmill_entry/connection_pools.h"

namespace trefoilmill::entry {

/// Assumed until a reply of the endpoint states its idle timeout.
inline constexpr duration kDefaultIdleTimeout = std::chrono::seconds(30);

/// One connection of a pool; carries one request at a time.
struct connection_pools::connection {
  std::unique_ptr<http_connection> http;
  bool connecting = true;
  time_point connect_began;
  bool busy = false;
  /// Whether a reply has arrived on it.
  bool has_replied = false;
  time_point idle_since;
  /// The ID of the request in progress; unset for a probe.
  std::optional<std::string> request_id;
  /// A probe was sent on it. A late second response to that has no ID, so that
  /// it could not be told from the one to a later probe.
  bool has_carried_probe = false;
  attempt_id attempt;
  http_connection::result_callback done;
};

/// The connections to one endpoint.
struct connection_pools::pool {
  endpoint_id id;
  socket_address address;
  int connection_limit = 1;
  bool removed = false;
  /// The endpoint is leaving.
  bool retired = false;
  /// How long the endpoint keeps an idle connection open.
  duration idle_timeout = kDefaultIdleTimeout;
  /// Sent on the next connection that opens.
  std::optional<connection_pools::probe> probe;
  /// No connection is opened before this time.
  time_point reopen_at;
  duration reopen_delay{};
  std::vector<std::unique_ptr<connection>> connections;

  auto FindIdle() {
    return std::ranges::find_if(connections, [](const auto& c) {
      return !c->connecting && !c->busy && c->http->connected();
    });
  }
  bool IsConnecting() const {
    return std::ranges::any_of(connections,
                               [](const auto& c) { return c->connecting; });
  }
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_CONNECTION_POOLS_IMPL_H_
