/// What fleets with fatal requests consist of.
#ifndef TREFOILMILL_LIBTREFOILMILL_REQUEST_FATAL_REQUESTS_MODEL_TEST_H_
#define TREFOILMILL_LIBTREFOILMILL_REQUEST_FATAL_REQUESTS_MODEL_TEST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "trefoilmill/process/news_pacing.h"
#include "trefoilmill/request/request_run.h"

namespace trefoilmill {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class down_form { kReset, kSilent };

struct fleet_scenario {
  std::size_t hosts = 9;
  std::size_t shards = 5;
  std::size_t replicas = 3;
  down_form form = down_form::kSilent;
  std::size_t fatal_requests = 1;
  duration fatal_interval = milliseconds(400);
  /// Other requests a second, of all callers.
  int others_per_second = 40;
  duration length = seconds(26);
  /// All endpoints end at once at this time, and none under a request.
  std::optional<duration> all_end_at;
  unsigned seed = 1;
};

inline constexpr duration kOneWay = milliseconds(1);
inline constexpr duration kWork = milliseconds(20);

/// What is to happen, in order of time.
class event_queue {
 public:
  time_point now() const { return now_; }
  void At(time_point at, std::function<void()> run) {
    events_.push({.at = at, .order = ++order_, .run = std::move(run)});
  }
  void RunUntil(time_point end) {
    while (!events_.empty() && events_.top().at < end) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
  }

 private:
  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  time_point now_{seconds(100)};
};

/// A sub-request in progress at an endpoint.
struct job {
  std::size_t host;
  std::uint64_t request;
  attempt_id attempt;
};

/// An endpoint; each of its instances has a life.
struct endpoint_model {
  std::size_t number = 0;
  std::size_t shard = 0;
  std::uint64_t life = 1;
  bool down = false;
  std::vector<job> jobs;
};

/// A request that a host works on.
struct active_request {
  std::unique_ptr<request_run> run;
  request_identity identity;
  std::optional<std::size_t> fatal;
  time_point asked;
  bool is_retry = false;
  std::uint64_t wakes = 0;
};

struct host {
  explicit host(shared_request_state&& state) : shared(std::move(state)) {}
  shared_request_state shared;
  std::map<std::uint64_t, active_request> requests;
  bool checking = false;
  news_pacing pacing;
};

inline service_id Service(std::size_t shard) {
  return service_id("s" + std::to_string(shard));
}
inline endpoint_id IdOf(const endpoint_model& e) {
  return endpoint_id("e" + std::to_string(e.number) + "-life-" +
                     std::to_string(e.life));
}
inline std::size_t NumberOf(const endpoint_id& id) {
  return std::stoul(id.value().substr(1));
}

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTREFOILMILL_REQUEST_FATAL_REQUESTS_MODEL_TEST_H_
