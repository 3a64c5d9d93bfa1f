/// Bookkeeping of one owner's connections to one endpoint. A connection that
/// was closed locally still counts against the limit for a grace period,
/// because the endpoint sees the close later.
#ifndef TREFOILMILL_CONNECTION_POOL_H_
#define TREFOILMILL_CONNECTION_POOL_H_

#include <functional>
#include <optional>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Current use of a connection.
enum class connection_use {
  kOpening,
  kIdle,
  kSearch,  ///< Carries a search.
  kCancel,  ///< Carries a cancellation.
  kHealth,  ///< Carries a health check.
};

/// State of one connection.
struct pooled_connection {
  connection_id id;
  connection_use used_for = connection_use::kOpening;
  /// The search or cancellation that it carries.
  attempt_id attempt;
  /// The endpoint instance (process) named in a reply on this connection; empty
  /// before. A connection never moves to another instance.
  instance_id instance;
  /// Deadline of the current exchange, after which it is abandoned even if no
  /// event is reported for it.
  time_point exchange_deadline;
  /// Whether a health check was sent on it.
  bool checked = false;
};

/// The open and recently closed connections to one endpoint. Does no I/O; no
/// operation fails with an error.
class connection_pool {
 public:
  /// Adds a connection in state kOpening.
  connection_id AddOpening();
  /// Returns nullptr if unknown. The pointer is valid until AddOpening(),
  /// OnClosedByEndpoint() or Close().
  pooled_connection* Find(connection_id id);
  /// Returns an idle connection that `predicate` accepts; nullptr if none.
  pooled_connection* FindIdle(
      const std::function<bool(const pooled_connection&)>& predicate);
  /// Number of connections, open or opening, that `predicate` accepts.
  int Count(
      const std::function<bool(const pooled_connection&)>& predicate) const;
  /// Number of connections in use `use`.
  int Count(connection_use use) const;
  /// Returns a connection whose exchange is past its deadline; nullptr if none.
  const pooled_connection* FindOverdue(time_point now) const;
  /// Earliest deadline of a current exchange; nullopt if there is none.
  std::optional<time_point> next_exchange_deadline() const;
  /// Returns a connection in state kOpening; id 0 if none.
  connection_id FindOpening() const;
  /// Number of open and opening connections.
  int size() const { return static_cast<int>(open_.size()); }
  /// size() plus the locally closed connections still in the grace period.
  int size_with_closing() const {
    return size() + static_cast<int>(grace_ends_.size());
  }
  /// Removes a connection that the endpoint closed; it stops counting at once.
  void OnClosedByEndpoint(connection_id id);
  /// Removes a connection that was closed locally. It counts in
  /// size_with_closing() until ExpireClosed() is called after the grace period.
  void Close(time_point now, connection_id id);
  /// Drops closed connections whose grace period ended by `now`.
  void ExpireClosed(time_point now);
  /// Earliest end of a grace period; nullopt if there is none.
  std::optional<time_point> next_close_expiry() const;

 private:
  std::uint64_t last_id_ = 0;
  std::vector<pooled_connection> open_;
  /// Ends of the grace periods of locally closed connections.
  std::vector<time_point> grace_ends_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_CONNECTION_POOL_H_
