/// Callers' requests in progress: carries out what request_run decides.
#ifndef TREFOILMILL_ENTRY_REQUEST_HANDLER_H_
#define TREFOILMILL_ENTRY_REQUEST_HANDLER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/process/traffic.h"
#include "trefoilmill/request/request_run.h"
#include "trefoilmill/version/route_table.h"
#include "trefoilmill_entry/connection_pools.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

class request_task {
 public:
  request_task(event_loop& loop,
               traffic& shared,
               endpoint_links& links,
               telemetry& trace,
               std::mt19937_64 random);
  ~request_task();

  /// Requests from now on use this version; earlier ones keep theirs.
  void SetTable(std::shared_ptr<const route_table> table);
  /// How late the loop runs: a measure of this host's own load.
  void SetLoopDelay(duration delay) { loop_delay_ = delay; }

  /// Handles a caller's request.
  void Handle(http_request request, const http_responder& responder);
  /// A connection to the endpoint became idle.
  void OnFree(const endpoint_id& id);

  /// Requests that have no answer yet.
  std::size_t unanswered() const { return unanswered_; }

 private:
  struct live;
  using run_number = std::uint64_t;
  struct waiter {
    run_number run = 0;
    std::size_t shard = 0;
  };

  std::vector<service_id> DrawServices(const route& r);
  void Refuse(const http_responder& responder,
              const request_id& id,
              reason_code reason,
              duration retry_after);
  void Apply(run_number number, request_run::actions actions);
  void Do(run_number number, live& r, const request_run::send& action);
  void Do(run_number number,
          live& r,
          const request_run::await_capacity& action);
  void Do(run_number number, live& r, request_run::finish& action);
  void Do(run_number number, live& r, const request_run::wake& action);
  void OnAttemptEnd(run_number number, attempt_id attempt, http_exchange ended);
  void OnCallerGone(run_number number);
  void AbandonAll(run_number number);
  void EraseIfOver(run_number number);
  void Report(const live& r, const caller_answer& answer);

  event_loop& loop_;
  traffic& shared_;
  endpoint_links& links_;
  telemetry& trace_;
  std::mt19937_64 random_;
  std::shared_ptr<const route_table> table_;
  duration loop_delay_{};
  run_number last_run_ = 0;
  std::size_t unanswered_ = 0;
  std::unordered_map<run_number, std::unique_ptr<live>> runs_;
  /// By priority, most urgent first, then in order of arrival.
  std::map<service_id, std::map<int, std::deque<waiter>>> waiting_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_REQUEST_HANDLER_H_
