/// Settings of the fault proxy: its listeners and the faults that each puts
/// into the connections through it.
#ifndef TM_FAULT_PROXY_PROXY_CONFIG_H_
#define TM_FAULT_PROXY_PROXY_CONFIG_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// In which direction bytes are held back.
enum class stall_direction { kNone, kToUpstream, kToClient, kBoth };

/// What happens to the connections through one listener. All may change while
/// connections are open.
struct listener_faults {
  /// One-way delay.
  duration delay{};
  /// Up to this much is added to each chunk's delay, evenly distributed.
  duration jitter{};
  /// Share of received chunks on which both ends are reset.
  double reset_share = 0;
  /// Bytes and ends of stream are kept until the stall is over; the other end
  /// stays half-open if its peer goes away meanwhile.
  stall_direction stall = stall_direction::kNone;
  /// New connections are refused; open ones stay.
  bool refuse = false;
  /// Per connection and direction; 0 is unlimited.
  std::int64_t bytes_per_s = 0;
};

struct listener_config {
  std::string name;
  socket_address listen;
  socket_address upstream;
  listener_faults faults;
};

struct proxy_config {
  socket_address control;
  std::vector<listener_config> listeners;
  /// Seeds jitter and resets.
  std::uint64_t seed = 1;
};

/// Reads the settings file. Fails with kBadRequest.
result<proxy_config> ReadProxyConfig(const nlohmann::json& settings);

/// Applies the fault fields of `change` to `faults`. Fails with kBadRequest on
/// a field of the wrong type or an unknown one.
result<void> ApplyFaults(const nlohmann::json& change, listener_faults& faults);

}  // namespace trefoilmill

#endif  // TM_FAULT_PROXY_PROXY_CONFIG_H_
