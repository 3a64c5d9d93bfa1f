/// Finds out whether endpoints have ended whose connections broke with requests
/// in flight, and holds that against the requests.
#ifndef TREFOILMILL_ENTRY_CRASH_CHECKER_H_
#define TREFOILMILL_ENTRY_CRASH_CHECKER_H_

#include <functional>
#include <random>
#include <string>

#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/process/shared_request_state.h"
#include "trefoilmill_entry/connection_pools.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// Carries out what endpoint_crashes asks for. Used on the event loop's thread
/// only.
class crash_checker {
 public:
  /// `health_path_of` returns the path at which endpoints of a service answer
  /// whether they are up, or an empty one. `on_recorded` is called after
  /// requests were found to have been in flight at an endpoint that has ended.
  crash_checker(event_loop& loop,
                shared_request_state& shared_state,
                connection_pools& pools,
                telemetry& process_telemetry,
                std::function<std::string(const service_id&)> health_path_of,
                std::function<void()> on_recorded,
                std::mt19937_64 random);

  /// A reply was lost: checks the endpoint until it is known whether it has
  /// ended, for some seconds at most.
  void OnReplyLost();
  /// Endpoints were added, replaced or removed, which may show that others have
  /// ended. To be called before one that was replaced is heard of.
  void OnEndpointsChanged();

 private:
  void Check();
  /// Returns whether the endpoint could be asked.
  bool CheckEndpoint(const endpoint_id& id);
  /// Notices whose instance the registry knows to be gone.
  void FindGoneInstances();
  /// Asks an endpoint that has lost no reply, to see whether any is reached.
  void CheckAnyEndpoint();
  void Record(const crash_suspect& suspect);

  event_loop& loop_;
  shared_request_state& shared_state_;
  connection_pools& pools_;
  telemetry& telemetry_;
  std::function<std::string(const service_id&)> health_path_of_;
  std::function<void()> on_recorded_;
  std::mt19937_64 random_;
  bool checking_ = false;
  timer check_timer_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_CRASH_CHECKER_H_
