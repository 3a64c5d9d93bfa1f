/// A conditional write of a stored document on behalf of an operator. If the
/// reply to the write is lost, its result is read back; the write is never
/// repeated.
#ifndef TREFOILMILL_DOCUMENT_WRITE_H_
#define TREFOILMILL_DOCUMENT_WRITE_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// One write, as a state machine without I/O or timers. The caller performs the
/// returned actions in order and bounds the time of each call to the store.
class document_write {
 public:
  /// @name Actions
  /// @{
  /// Writes `body`, on condition that the object is at `expected` or, if unset,
  /// does not exist. The caller answers with PutReply().
  struct store_put {
    std::optional<revision> expected;
    std::string body;
  };
  /// Reads the object. The caller answers with GetReply().
  struct store_get {};
  /// The document was stored at this revision. Final.
  struct accepted {
    revision at;
  };
  /// The object was not at the expected revision. Final.
  struct conflict {
    /// The stored revision; unset if there is no object.
    std::optional<revision> at;
    /// The stored body.
    std::string stored_body;
  };
  /// The store did not confirm the write. Final.
  struct unavailable {
    /// kMayHaveRun if the document may have been stored, otherwise kNotRun.
    verdict outcome = verdict::kNotRun;
  };
  using action =
      std::variant<store_put, store_get, accepted, conflict, unavailable>;
  using actions = std::vector<action>;
  /// @}

  /// @name Replies of the store
  /// @{
  /// The document was written at this revision.
  struct put_written {
    revision at;
  };
  /// The write's condition did not hold.
  struct put_conflict {};
  /// The call failed or its reply was lost: the write may have taken effect.
  struct put_unknown {};
  using put_reply = std::variant<put_written, put_conflict, put_unknown>;
  /// The object exists.
  struct get_found {
    revision at;
    std::string body;
  };
  /// The object does not exist.
  struct get_absent {};
  /// The call failed.
  struct get_failed {};
  using get_reply = std::variant<get_found, get_absent, get_failed>;
  /// @}

  /// Writes `body` over revision `expected`, or creates the document if unset.
  document_write(std::optional<revision> expected, std::string body);

  /// @name Events
  /// @{
  /// Starts the write. Call once.
  actions Start();
  /// The reply to the store_put.
  actions PutReply(const put_reply& reply);
  /// The reply to a store_get.
  actions GetReply(const get_reply& reply);
  /// @}

 private:
  /// Whether the stored object has this write's body at a later revision than
  /// the expected one.
  bool IsOwnWrite(const get_found& found) const;

  std::optional<revision> expected_;
  std::string body_;
  /// The reply to the write was lost.
  bool result_unknown_ = false;
  int failed_reads_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_DOCUMENT_WRITE_H_
