/// Benchmark of one request through endpoint_scheduler (submit, send, reply),
/// by the number of queued requests.
#include <benchmark/benchmark.h>

#include <chrono>
#include <variant>

#include "trefoilmill/endpoint_scheduler.h"

namespace trefoilmill {
namespace {

using namespace std::chrono_literals;

/// Drives a scheduler: opens connections and answers health checks at once;
/// searches are answered by AnswerOne(), one at a time.
class benchmark_driver {
 public:
  explicit benchmark_driver(int slots)
      : scheduler_(endpoint_scheduler::Create({},
                                              {.slots = slots,
                                               .cold_slots = slots,
                                               .cold_connections = slots + 1},
                                              {.max_queue = 1 << 20})
                       .assume_value()) {
    Perform(scheduler_.SetStanding(now_, ownership_standing::kCertain));
  }

  /// Submits a task with a deadline that is never reached.
  void Submit() {
    shard_task task;
    task.attempt = attempt_id(++attempts_);
    task.deadline = now_ + 1h;
    Perform(scheduler_.Submit(now_, task));
  }

  /// Answers the search that was sent last.
  void AnswerOne() {
    now_ += 1us;
    endpoint_reply reply;
    reply.instance = instance_;
    Perform(scheduler_.Replied(now_, search_connection_, reply));
  }

 private:
  void Perform(const scheduler_actions& actions) {
    for (const scheduler_action& action : actions) {
      if (const auto* opening = std::get_if<open_connection>(&action)) {
        Perform(scheduler_.ConnectionOpened(now_, opening->connection));
      } else if (const auto* sent = std::get_if<send_request>(&action)) {
        search_connection_ = sent->connection;
      } else if (const auto* check = std::get_if<check_health>(&action)) {
        Perform(scheduler_.HealthReplied(now_, check->connection,
                                         health_report{.instance = instance_}));
      }
    }
  }

  const instance_id instance_{"i1"};
  time_point now_{1h};
  endpoint_scheduler scheduler_;
  std::uint64_t attempts_ = 0;
  /// Connection of the search that was sent last.
  connection_id search_connection_;
};

/// Argument: number of queued requests.
void SubmitAndReply(benchmark::State& state) {
  benchmark_driver driver(1);
  for (int i = 0; i <= state.range(0); ++i) {
    driver.Submit();
  }
  for (auto _ : state) {
    driver.Submit();
    driver.AnswerOne();
  }
}
BENCHMARK(SubmitAndReply)->Arg(0)->Arg(8)->Arg(64)->Arg(512)->Arg(4096);

}  // namespace
}  // namespace trefoilmill
