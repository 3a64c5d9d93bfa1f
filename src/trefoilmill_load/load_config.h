/// Settings of one run of the load tool.
#ifndef TREFOILMILL_LOAD_LOAD_CONFIG_H_
#define TREFOILMILL_LOAD_LOAD_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "observations.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// An HTTP call that the tool makes at a given time of the run: a fault at a
/// stand-in or an act of an operator.
struct timed_event {
  /// Since the start of the load.
  duration at{};
  socket_address target;
  std::string method = "POST";
  std::string path;
  /// "$REVISION" in it is replaced by the highest revision seen.
  std::string body;
};

/// A planned stop that someone else carries out.
struct planned_stop {
  duration at{};
  socket_address host;
};

struct load_config {
  /// Addresses that callers know from the start.
  std::vector<socket_address> entries;
  /// Empty for all services.
  std::set<service_id> services;
  double rate_per_s = 10;
  duration length = std::chrono::seconds(10);
  /// Queries before this count for the judge but not for the figures.
  duration warmup{};
  std::uint64_t seed = 1;
  duration deadline = std::chrono::milliseconds(1000);
  std::optional<std::string> policy;
  std::optional<double> min_coverage;
  double non_idempotent_share = 0;
  int callers = 10;
  /// Of those, how many keep their first entry list for ever.
  int stale_callers = 0;
  /// Addresses that a caller tries for one query.
  int max_tries = 3;
  /// Non-idempotent queries whose outcome is unknown are sent again, to another
  /// host, with the same key.
  bool resubmit_unknown = false;
  std::vector<socket_address> endpoint_controls;
  std::optional<socket_address> store_control;
  /// Where the configuration in force is watched.
  std::vector<socket_address> administration;
  duration config_poll = std::chrono::milliseconds(500);
  /// One-way latency between callers and hosts that is put in outside.
  duration client_latency{};
  std::vector<timed_event> events;
  std::vector<planned_stop> leave_marks;
  shard_layouts layouts;
};

/// Reads JSON with comments; docs/PROTOCOLS.md has its fields. Fails with
/// kBadRequest.
result<load_config> ReadLoadConfig(std::string_view text);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LOAD_LOAD_CONFIG_H_
