/// Batches the replies of one query at one owner, to send the entry few
/// messages without delaying replies that it has to act on.
#ifndef TREFOILMILL_REPLY_BATCH_H_
#define TREFOILMILL_REPLY_BATCH_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "trefoilmill/messages.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Answers are buffered until the last outstanding sub-request ends or until
/// `flush_at`. From `flush_at` on, and whenever a sub-request ends without an
/// answer, all buffered replies are returned immediately. `shard_reply::held`
/// is set to the buffering time of each reply, so that the entry does not count
/// it as endpoint latency. No operation fails with an error.
class reply_batch {
 public:
  /// `outstanding` is the number of sub-requests submitted so far. Replies are
  /// no longer buffered from `flush_at` on.
  reply_batch(std::size_t outstanding, time_point flush_at);

  /// Adds `count` further sub-requests of the same query.
  void AddOutstanding(std::size_t count) { outstanding_ += count; }
  /// Adds the reply of a sub-request that ended. Returns the replies to send
  /// now, possibly none.
  std::vector<shard_reply> Add(time_point now, shard_reply reply);
  /// Returns the replies to send now: all buffered ones from `flush_at` on,
  /// none before.
  std::vector<shard_reply> Tick(time_point now);

  /// When to call Tick() next; nullopt if no reply is buffered.
  std::optional<time_point> next_tick_at() const;
  /// Whether every sub-request has ended and its reply was returned.
  bool complete() const { return outstanding_ == 0 && buffered_.empty(); }

 private:
  struct buffered_reply {
    /// When its sub-request ended.
    time_point buffered_at;
    shard_reply reply;
  };

  /// Returns and clears the buffered replies, with `held` set.
  std::vector<shard_reply> Flush(time_point now);

  std::size_t outstanding_;
  time_point flush_at_;
  std::vector<buffered_reply> buffered_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_REPLY_BATCH_H_
