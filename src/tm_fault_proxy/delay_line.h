/// One direction of a proxied connection: bytes and the end of the stream,
/// held back until their time has come. Keeps their order.
#ifndef TM_FAULT_PROXY_DELAY_LINE_H_
#define TM_FAULT_PROXY_DELAY_LINE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>

#include "proxy_config.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// What travels along a line.
enum class segment_kind {
  kBytes,
  kEnd,    ///< The sender closed its side.
  kReset,  ///< The sender reset the connection.
};

struct segment {
  segment_kind kind = segment_kind::kBytes;
  std::string bytes;
  time_point due;
};

class delay_line {
 public:
  /// Nothing leaves before `earliest`.
  explicit delay_line(time_point earliest) : last_due_(earliest) {}

  void Push(time_point now,
            segment_kind kind,
            std::string bytes,
            const listener_faults& faults,
            std::mt19937_64& random);
  /// The next segment, if its time has come.
  std::optional<segment> Pop(time_point now);
  /// When the next segment is due.
  std::optional<time_point> next_due() const;
  std::size_t size_bytes() const { return size_bytes_; }

 private:
  std::deque<segment> segments_;
  time_point last_due_;
  std::size_t size_bytes_ = 0;
};

}  // namespace trefoilmill

#endif  // TM_FAULT_PROXY_DELAY_LINE_H_
