/// What the simulation of hosts, endpoints and callers plays, and what it
/// shows.
#ifndef TREFOILMILL_REQUEST_ENDPOINT_SCENARIO_TEST_H_
#define TREFOILMILL_REQUEST_ENDPOINT_SCENARIO_TEST_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "trefoilmill/request/request_run.h"

namespace trefoilmill::simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What callers ask for; each kind has a route.
enum class request_kind {
  kSweep,   ///< All shards, of which `min_coverage` suffices.
  kWhole,   ///< All shards, none of which may be missing.
  kLookup,  ///< The first shard alone.
};

/// A sub-request arrived at an endpoint.
struct arrival {
  std::size_t host = 0;
  int shard = 0;
  int replica = 0;
  time_point at;
  /// Set if the endpoint refused it and asked for a pause.
  std::optional<duration> pause;
};

/// Who asks, and which host if not any.
struct asking_caller {
  organisation_id organisation;
  std::optional<std::size_t> host;
};

/// A host answered one attempt of a caller.
struct answered_attempt {
  std::size_t host = 0;
  organisation_id organisation;
  request_kind kind = request_kind::kSweep;
  /// Why the caller's first attempt was refused, if this is the second.
  std::optional<reason_code> refused_before;
  time_point asked;
  time_point answered;
  caller_answer answer;
};

/// What is simulated.
struct scenario {
  int hosts = 4;
  int shards = 20;
  int replicas = 3;
  int slots = 3;
  /// Requests that an endpoint queues; it refuses more.
  std::size_t queue = 18;
  int connections_per_host = 4;
  duration work = milliseconds(28);
  duration objective = milliseconds(200);
  duration timeout = milliseconds(2000);
  double min_coverage = 0.95;
  duration pause = milliseconds(250);
  duration pause_interval = seconds(6);
  /// Requests per second of all callers together.
  double rate = 60;
  duration length = seconds(10);
  unsigned seed = 1;
  /// How many times longer an endpoint works at a time.
  std::function<double(int shard, int replica, time_point now)> slowness =
      [](int, int, time_point) { return 1.0; };
  /// Factor of the rate at a time.
  std::function<double(time_point now)> load = [](time_point) { return 1.0; };
  /// Fractions of the requests; the others are sweeps.
  double whole_share = 0;
  double lookup_share = 0;
  /// Organisations that callers belong to, if any.
  std::vector<organisation> organisations;
  /// The next caller, by a number drawn from 0 to 1.
  std::function<asking_caller(double drawn, time_point now)> caller =
      [](double, time_point) { return asking_caller(); };
  /// The pause that an endpoint asks for at a time in place of taking a
  /// sub-request; nullopt if it takes it.
  std::function<std::optional<duration>(int shard, int replica, time_point now)>
      pushback = [](int, int, time_point) { return std::nullopt; };
  /// The request limit that an endpoint states in its responses at a time.
  std::function<
      std::optional<request_rate>(int shard, int replica, time_point now)>
      limit = [](int, int, time_point) { return std::nullopt; };
  /// When a host loses what it knows of limits, as in a restart.
  std::function<bool(std::size_t host, time_point now)> restarts =
      [](std::size_t, time_point) { return false; };
  /// Called when a caller asks a host that takes itself for cut off.
  std::function<void(time_point now)> on_cut_off = [](time_point) {};
  /// Called as things happen.
  std::function<void(const arrival&)> on_arrival = [](const arrival&) {};
  std::function<void(const answered_attempt&)> on_answer =
      [](const answered_attempt&) {};
};

/// What callers got, by the second in which they first asked.
struct second_result {
  int asked = 0;
  /// Answered within the objective from the caller's first attempt, or from the
  /// attempt that was let in after a refusal.
  int prompt = 0;
  int prompt_after_refusal = 0;
  /// Sum of the squares of the coverage of prompt answers.
  double coverage_squares = 0;
  int late = 0;
  int refused = 0;
  int failed = 0;
};

}  // namespace trefoilmill::simulation

#endif  // TREFOILMILL_REQUEST_ENDPOINT_SCENARIO_TEST_H_
