/// What store_sync keeps of each kind of object that it follows.
#ifndef TREFOILMILL_ENTRY_STORE_SYNC_IMPL_H_
#define TREFOILMILL_ENTRY_STORE_SYNC_IMPL_H_

#include <cstdint>

#include "trefoilmill_entry/store_sync.h"

namespace trefoilmill::entry {

/// One kind of object and its local copy.
struct store_sync::followed_kind {
  object_kind kind;
  store_follower follower;
  timer wake_timer;
  /// Number of the latest call; replies to earlier ones are void.
  std::uint64_t call_number = 0;
  /// The latest call.
  http_client::request_handle call = 0;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_STORE_SYNC_IMPL_H_
