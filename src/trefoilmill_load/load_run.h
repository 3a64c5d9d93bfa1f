/// One run: open-loop load by many callers, timed events, and the watch over
/// configuration and records. Ends with everything that was observed.
#ifndef TREFOILMILL_LOAD_LOAD_RUN_H_
#define TREFOILMILL_LOAD_LOAD_RUN_H_

#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "caller.h"
#include "load_config.h"
#include "observations.h"
#include "record_reader.h"

namespace trefoilmill {

class load_run {
 public:
  using on_progress = std::function<void(const std::string& line)>;

  load_run(event_loop& loop, load_config config, on_progress progress);

  /// Schedules everything; stops the loop when the run is over.
  void Start();

  const run_observations& observed() const { return observed_; }
  const load_config& config() const { return config_; }
  wall_us started() const { return started_; }
  int failed_calls() const { return failed_calls_ + reader_.failed_calls(); }

 private:
  /// Query arrivals are a Poisson process.
  void ScheduleNextQuery();
  void AskOne();
  void Done(query_row row);
  void Fire(const timed_event& event);
  void Fired(const timed_event& event, const http_result& exchange);
  void MarkEvent(const timed_event& event);
  void PollConfig();
  void TakeConfig(const socket_address& host, const http_result& exchange);
  void Report();
  void EndIfOver();
  duration Elapsed() const { return loop_.Now() - began_; }

  event_loop& loop_;
  load_config config_;
  on_progress progress_;
  std::mt19937_64 random_;
  http_client client_;
  record_reader reader_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::vector<timer> timers_;
  timer arrival_;
  timer ending_;
  time_point began_;
  wall_us started_ = 0;
  duration next_arrival_{};
  std::uint64_t asked_ = 0;
  std::uint64_t highest_revision_ = 0;
  int failed_calls_ = 0;
  run_observations observed_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_LOAD_LOAD_RUN_H_
