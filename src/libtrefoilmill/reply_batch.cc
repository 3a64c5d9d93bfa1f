#include "trefoilmill/reply_batch.h"

#include <utility>

namespace trefoilmill {

reply_batch::reply_batch(std::size_t outstanding, time_point flush_at)
    : outstanding_(outstanding), flush_at_(flush_at) {}

std::vector<shard_reply> reply_batch::Add(time_point now, shard_reply reply) {
  const bool answered = reply.payload.has_value();
  buffered_.push_back({.buffered_at = now, .reply = std::move(reply)});
  if (outstanding_ > 0) {
    --outstanding_;
  }
  if (outstanding_ == 0 || !answered || now >= flush_at_) {
    return Flush(now);
  }
  return {};
}

std::vector<shard_reply> reply_batch::Tick(time_point now) {
  if (now < flush_at_) {
    return {};
  }
  return Flush(now);
}

std::optional<time_point> reply_batch::next_tick_at() const {
  if (buffered_.empty()) {
    return std::nullopt;
  }
  return flush_at_;
}

std::vector<shard_reply> reply_batch::Flush(time_point now) {
  std::vector<shard_reply> replies;
  for (buffered_reply& buffered : buffered_) {
    buffered.reply.held = now - buffered.buffered_at;
    replies.push_back(std::move(buffered.reply));
  }
  buffered_.clear();
  return replies;
}

}  // namespace trefoilmill
