/// Asks endpoints for a sign of life, by their health check, while this host
/// has no response from any.
#ifndef TREFOILMILL_ENTRY_REACH_PROBER_H_
#define TREFOILMILL_ENTRY_REACH_PROBER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/process/shared_request_state.h"
#include "trefoilmill/version/route_table.h"

namespace trefoilmill::entry {

/// Each probe uses a new connection: one that is open may go on although no new
/// one can be opened, or hang although new ones can. Used on the event loop's
/// thread only.
class reach_prober {
 public:
  /// Connects from `local_ip`; results go to the selector of `shared_state`.
  reach_prober(event_loop& loop,
               std::string local_ip,
               shared_request_state& shared_state,
               std::mt19937_64 random);
  ~reach_prober();

  /// Sends probes if they are due. To be called several times a second.
  void Run(time_point now, const route_table& table);

 private:
  using probe_number = std::uint64_t;

  void Probe(const endpoint_record& endpoint, const std::string& health_path);
  void OnConnected(probe_number number,
                   const endpoint_id& id,
                   const std::string& health_path);
  void OnConnectFailed(probe_number number,
                       const endpoint_id& id,
                       time_point began);
  void End(probe_number number);

  event_loop& loop_;
  std::string local_ip_;
  shared_request_state& shared_state_;
  std::mt19937_64 random_;
  probe_number last_number_ = 0;
  std::map<probe_number, std::unique_ptr<http_connection>> probes_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_REACH_PROBER_H_
