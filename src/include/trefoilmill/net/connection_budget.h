/// What all connections of an event loop hold together, and its bounds. Servers
/// and clients enter each connection and report what it holds; connections are
/// closed once the sum exceeds a limit.
#ifndef TREFOILMILL_NET_CONNECTION_BUDGET_H_
#define TREFOILMILL_NET_CONNECTION_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "trefoilmill/connection/connection_eviction.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Used on the event loop's thread only. Without SetLimits() nothing is closed.
class connection_budget {
  struct state;

 public:
  /// One connection. Leaves the budget when it is destroyed.
  class entry {
   public:
    entry() = default;
    entry(entry&& other) noexcept;
    entry& operator=(entry&& other) noexcept;
    ~entry();

    /// The connection is in `phase` since `now`; nothing changes if it was.
    void SetPhase(time_point now, connection_phase phase);
    /// Memory that is held for the connection, in bytes, besides the fixed
    /// amount for each.
    void SetBytes(std::size_t bytes);
    /// The connection was chosen to be closed, and stays open in `phase`: it
    /// counts again.
    void KeepOpen(time_point now, connection_phase phase);
    connection_phase phase() const;
    /// When the phase began.
    time_point since() const;

   private:
    friend class connection_budget;
    entry(connection_budget* owner, state* held);
    void Leave();

    connection_budget* owner_ = nullptr;
    state* held_ = nullptr;
  };

  /// Connections that were closed at one time, and what all held before.
  struct closed_connections {
    std::size_t count = 0;
    std::size_t bytes = 0;
    std::size_t inbound = 0;
  };

  connection_budget() = default;
  connection_budget(const connection_budget&) = delete;
  connection_budget& operator=(const connection_budget&) = delete;

  void SetLimits(const connection_limits& limits) { limits_ = limits; }
  /// Sets the task to call after connections were closed for the budget.
  void OnClosed(std::function<void(const closed_connections&)> task);

  /// Enters a connection that a server accepted. `close` begins to close it; it
  /// is called once, or again after KeepOpen(), and must neither destroy an
  /// entry nor add one.
  entry AddInbound(time_point now, std::function<void()> close);
  /// Enters a connection that this process opened; without `close` it is never
  /// closed for the budget.
  entry AddOutbound(time_point now, std::function<void()> close);

  /// Whether a received request of `bytes` may be handed on.
  bool MayStartRequest(std::size_t bytes) const;
  /// The process has no descriptor left: closes some inbound connections.
  void FreeDescriptors();

  /// Memory that all hold, in bytes.
  std::size_t bytes() const { return bytes_; }
  std::size_t inbound() const { return inbound_; }

 private:
  struct state {
    connection_use use;
    std::function<void()> close;
    /// It is being closed and counts no more.
    bool closing = false;
  };

  entry Add(connection_use use, std::function<void()> close);
  void SetBytes(state& changed, std::size_t bytes);
  /// Adds a connection's share to the sums, or takes it away.
  void Count(const connection_use& use);
  void Discount(const connection_use& use);
  /// Within a limit, its next excess leads to a choice at once.
  void ForgetChoiceIfRelieved();
  /// Closes connections if a limit is exceeded.
  void Enforce();
  void Close(const connection_limits& limits);

  connection_limits limits_;
  std::map<connection_number, state> connections_;
  std::uint64_t last_number_ = 0;
  std::size_t bytes_ = 0;
  std::size_t inbound_ = 0;
  std::size_t in_progress_ = 0;
  std::size_t bytes_in_progress_ = 0;
  /// Connections are chosen again only when the sums have grown to these, so
  /// that little is done while those that hold too much cannot be closed.
  connection_limits next_choice_ = {.bytes = 0, .inbound = 0};
  std::function<void(const closed_connections&)> on_closed_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_NET_CONNECTION_BUDGET_H_
