/// Which connections a process closes when all of them together hold more than
/// it may use. What one connection may hold is bounded by itself; this bounds
/// the sum, so that many clients which keep to no limit do not use up the
/// memory or the descriptors that ordinary callers need.
#ifndef TREFOILMILL_CONNECTION_CONNECTION_EVICTION_H_
#define TREFOILMILL_CONNECTION_CONNECTION_EVICTION_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Identifies a connection within its process.
using connection_number =
    strong_id<struct connection_number_tag, std::uint64_t>;

/// What happens on a connection.
enum class connection_phase {
  kUnused,      ///< Accepted; nothing has been received yet.
  kReceiving,   ///< Part of a message has been received.
  kInProgress,  ///< A whole request has been received, and has no answer yet.
  kSending,     ///< The peer has not taken all of an answer yet.
  kIdle,        ///< Has served, and waits for the next message.
};

/// What one connection holds.
struct connection_use {
  connection_number number;
  connection_phase phase = connection_phase::kUnused;
  /// Memory held, in bytes: what was received and not yet dealt with, what was
  /// not yet sent, and what the connection itself takes.
  std::size_t bytes = 0;
  /// When the phase began.
  time_point since;
  /// Accepted by a server of this process.
  bool is_inbound = true;
  /// Whether it may be closed at all. Exchanges with the store and with other
  /// hosts that this process began are never closed for the sake of others.
  bool may_be_closed = true;
};

/// What all connections together may hold.
struct connection_limits {
  /// Memory, in bytes.
  std::size_t bytes = SIZE_MAX;
  /// Connections that servers of this process have accepted.
  std::size_t inbound = SIZE_MAX;
  friend bool operator==(const connection_limits&,
                         const connection_limits&) = default;
};

/// The limits for a process that may use so much memory (bytes) and so many
/// descriptors. A quarter of the memory is for connections, the rest for what
/// the process knows, for its code and for the overhead of allocation. Half of
/// the descriptors that are not needed for files is for accepted connections,
/// the other half for those to endpoints, hosts and the store.
connection_limits LimitsFor(std::size_t memory_bytes, std::size_t descriptors);

/// Chooses connections to close so that the others are within seven eighths of
/// each limit that is exceeded; none if no limit is. With a request in progress
/// none is closed: its caller waits for an answer that an endpoint may have.
///
/// To free memory, in this order: the largest among those that receive more
/// than an ordinary request; the largest among those whose peer does not take
/// its answer; the longest among those that receive less, or nothing. Of those
/// that this process opened only such are closed whose answer is large.
///
/// To free descriptors, the longest of each kind, in this order: those that
/// never sent a whole request and those that receive one; idle ones that have
/// served; those that send. An ordinary caller sends its request as soon as it
/// is connected, so that it is through before its connection is the oldest.
std::vector<connection_number> ChooseConnectionsToClose(
    std::vector<connection_use> uses,
    const connection_limits& limits);

/// Whether a request of `bytes` that has been received may be handed on while
/// `in_progress` others hold `bytes_in_progress`. They may hold half of the
/// limit; beyond it only requests that are smaller than the mean go on, as
/// ordinary ones are beside large ones, and up to three quarters of the limit.
bool MayStartRequest(std::size_t bytes,
                     std::size_t in_progress,
                     std::size_t bytes_in_progress,
                     const connection_limits& limits);

}  // namespace trefoilmill

#endif  // TREFOILMILL_CONNECTION_CONNECTION_EVICTION_H_
