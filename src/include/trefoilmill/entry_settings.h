/// Settings of one entry process, read from JSON with comments.
#ifndef TREFOILMILL_ENTRY_SETTINGS_H_
#define TREFOILMILL_ENTRY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/process/extra_send_budget.h"
#include "trefoilmill/process/rollout_trial.h"
#include "trefoilmill/settings.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

struct entry_settings {
  host_id host;
  zone_id zone;
  /// Where callers send requests.
  socket_address callers;
  /// Where the platform asks whether this host is ready.
  socket_address readiness;
  /// Where callers ask which addresses to use.
  socket_address directory;
  /// Other hosts: datagrams and copies of what is in force, one port number
  /// for both, the same on all hosts.
  socket_address peers;
  /// The platform's object store.
  socket_address store;
  /// IP numbers of hosts to ask for the fleet while the store is away.
  std::vector<std::string> seed_ips;
  /// Also serves the metrics there; port 0 serves none.
  std::uint16_t metrics_port = 0;
  /// Processor time that this host may use, in cores.
  double processor_share = 1;
  /// How many times as fast as a usual core that runs.
  double processor_speed = 1;
  /// Memory that the process may use, in bytes.
  std::size_t memory_bytes = 256UL << 20U;
  /// Descriptors that the process may have open; a lower limit of the operating
  /// system goes before it.
  std::size_t max_descriptors = 4096;
  /// From the request to stop until the process is ended by force.
  duration grace = std::chrono::seconds(6);
  /// An endpoint that leaves gets nothing after this long.
  duration drain = std::chrono::seconds(3);
  extra_send_limit extra_sends;
  /// Limit on requests to versions on trial; roll-outs are served if it is set.
  exposure_limit rollout_exposure;
  log_level log = log_level::kInfo;
  friend bool operator==(const entry_settings&,
                         const entry_settings&) = default;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_ENTRY_SETTINGS_H_
