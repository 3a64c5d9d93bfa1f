/// How a host writes its own record to the store, until the store confirms it.
#ifndef TREFOILMILL_VERSION_RECORD_WRITER_H_
#define TREFOILMILL_VERSION_RECORD_WRITER_H_

#include <optional>
#include <random>

#include "trefoilmill/time.h"

namespace trefoilmill {

/// Plans the calls that write one record. However long the store was away, the
/// record is there within the limit of one call, the shortest delay and two
/// replies of its return.
class record_writer {
 public:
  enum class call { kCreate, kReplace };
  /// How a call ended.
  enum class outcome {
    kStored,   ///< The store has the record.
    kExists,   ///< A create found a record, perhaps of an earlier process of
               ///< this host, or of a call whose reply was lost.
    kMissing,  ///< A replace found none.
    kNoReply,  ///< The store did not reply within the limit of the call.
    kFailed,   ///< Anything else: refused, rejected or cut off.
  };
  /// A call, and how long to wait before it.
  struct attempt {
    call next = call::kCreate;
    duration delay{};
  };

  /// `random` supplies the jitter of delays.
  explicit record_writer(std::mt19937_64 random) : random_(random) {}

  /// Begins to write the record, once more if it was written before.
  attempt Begin();
  /// The call ended. Returns the next one; nullopt once the store has the
  /// record.
  std::optional<attempt> OnEnded(outcome ended);
  /// Whether a call failed since Begin(), so that the record came late.
  bool is_late() const { return is_late_; }

 private:
  duration Jittered(duration length);
  duration NextBackoff();

  std::mt19937_64 random_;
  call last_ = call::kCreate;
  /// The last call followed at once from what the one before it found.
  bool was_immediate_ = false;
  int failures_ = 0;
  bool is_late_ = false;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_RECORD_WRITER_H_
