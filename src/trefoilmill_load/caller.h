/// One caller: asks which addresses to use, keeps the list for its time to
/// live, connects there itself, and tries another address only if nothing
/// ran.
#ifndef TREFOILMILL_LOAD_CALLER_H_
#define TREFOILMILL_LOAD_CALLER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "load_config.h"
#include "observations.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"

namespace trefoilmill {

class caller {
 public:
  using on_done = std::function<void(query_row)>;

  /// `config` must outlive it. A stale one never refreshes its list.
  caller(event_loop& loop,
         const load_config& config,
         std::string name,
         bool stale);

  /// Sends the query now; `done` is called once, later.
  void Ask(query_row row, on_done done);

 private:
  struct pending {
    query_row row;
    on_done done;
    time_point deadline;
    timer retry;
  };

  void Refresh();
  void Fetch(std::size_t candidate);
  void TakeList(const http_result& exchange, std::size_t candidate);
  void SendTry(std::uint64_t number);
  void TryEnded(std::uint64_t number, const http_result& exchange);
  bool MayTryAgain(const pending& query) const;
  void Finish(std::uint64_t number);

  event_loop& loop_;
  const load_config& config_;
  std::string name_;
  bool stale_;
  http_client client_;
  std::vector<socket_address> list_;
  time_point refresh_at_;
  bool refreshing_ = false;
  std::vector<socket_address> candidates_;
  std::vector<std::uint64_t> waiting_;
  std::map<std::uint64_t, pending> pending_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_LOAD_CALLER_H_
