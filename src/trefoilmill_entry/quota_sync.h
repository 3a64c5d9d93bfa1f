/// Carries permits of organisations' quotas between hosts.
#ifndef TREFOILMILL_ENTRY_QUOTA_SYNC_H_
#define TREFOILMILL_ENTRY_QUOTA_SYNC_H_

#include <functional>
#include <memory>

#include "trefoilmill/messages.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/process/shared_request_state.h"
#include "trefoilmill/version/route_table.h"
#include "trefoilmill_entry/peer_datagrams.h"

namespace trefoilmill::entry {

/// Used on the event loop's thread only.
class quota_sync {
 public:
  /// The quotas are those of `shared_state`. `on_lent` is called when other
  /// hosts lent permits, or said that they have none.
  quota_sync(event_loop& loop,
             shared_request_state& shared_state,
             peer_datagrams& datagrams,
             std::function<void()> on_lent);

  /// Sets the configuration that states the quotas.
  void SetRouteTable(std::shared_ptr<const route_table> table);
  /// Asks other hosts for permits, if any are due to be asked for.
  void SendWants();
  /// Gives unused permits back. To be called several times a second.
  void RunHousekeeping();
  /// Another host asks for permits, or gives some back.
  void OnRequest(const host_id& from, const quota_request_message& message);
  /// Another host lends permits.
  void OnGrant(const host_id& from, const quota_grant_message& message);

 private:
  event_loop& loop_;
  shared_request_state& shared_state_;
  peer_datagrams& datagrams_;
  std::function<void()> on_lent_;
  std::shared_ptr<const route_table> table_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_QUOTA_SYNC_H_
