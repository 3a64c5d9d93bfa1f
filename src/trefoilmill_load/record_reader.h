/// Reads the stand-in endpoints' records while a run goes on.
#ifndef TREFOILMILL_LOAD_RECORD_READER_H_
#define TREFOILMILL_LOAD_RECORD_READER_H_

#include <cstdint>
#include <vector>

#include "observations.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

class record_reader {
 public:
  record_reader(event_loop& loop, std::vector<socket_address> controls);

  /// Asks each control address for what is new, unless it is still asked.
  void Poll();
  /// Nothing was new at any address since the last Poll().
  bool caught_up() const;
  /// Calls that failed; the judgement lacks what they would have shown.
  int failed_calls() const { return failed_calls_; }
  const std::vector<endpoint_record>& records() const { return records_; }

 private:
  struct source {
    socket_address control;
    std::uint64_t next = 0;
    bool asking = false;
    bool more = true;
  };

  void Ask(source& from);
  void Take(source& from, const http_result& exchange);

  http_client client_;
  std::vector<source> sources_;
  std::vector<endpoint_record> records_;
  int failed_calls_ = 0;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_LOAD_RECORD_READER_H_
