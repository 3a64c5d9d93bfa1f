/// One process's own settings, read from a file in JSON with comments. What
/// all hosts share is in deployment.h.
#ifndef TREFOILMILL_SETTINGS_H_
#define TREFOILMILL_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// How much is logged.
enum class log_level { kDebug, kInfo, kWarning, kError };

/// Settings of one `trefoilmilld`.
struct daemon_settings {
  organisation_id organisation;
  host_id host;
  zone_id zone;
  /// Where callers connect.
  socket_address callers;
  /// Where operators connect; also serves /metrics.
  socket_address administration;
  /// Where other daemons connect.
  socket_address peers;
  /// Where callers and other daemons are told to connect; differs from
  /// `callers` and `peers` only where something relays connections.
  std::optional<socket_address> advertised_callers;
  std::optional<socket_address> advertised_peers;
  /// The platform's object store and host list.
  socket_address store;
  /// Daemons to ask for the fleet where the store gives no host list; may be
  /// empty and need not all live.
  std::vector<socket_address> seed_peers;
  /// Time limit of one call to the store.
  duration store_timeout = std::chrono::milliseconds(2000);
  log_level log = log_level::kInfo;
  /// File for logs; empty for standard error.
  std::string log_file;
  /// Events kept in memory for the time line.
  int timeline_capacity = 20000;
  /// Seeds every random choice; 0 takes a seed from the system.
  std::uint64_t seed = 0;
  friend bool operator==(const daemon_settings&,
                         const daemon_settings&) = default;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_SETTINGS_H_
