/// What each command was asked to do. One alternative per command.
#ifndef TREFOILMILL_TREFOILMILLCTL_OPTIONS_H_
#define TREFOILMILL_TREFOILMILLCTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"
#include "trefoilmill/timeline.h"
#include "trefoilmill/wire/timeline_codec.h"

namespace trefoilmill {

/// Options that every command has.
struct common_options {
  /// Operators' addresses of daemons; the first that answers is used.
  std::vector<socket_address> administration;
  /// Callers' addresses of daemons.
  std::vector<socket_address> callers;
  /// Output for programs.
  bool json = false;
  /// Time limit of one call.
  duration timeout = std::chrono::seconds(10);
};

struct validate_options {
  std::vector<std::string> files;
};

struct render_options {
  std::string file;
  /// Print a catalog with this version instead.
  std::optional<std::uint64_t> catalog;
};

struct apply_options {
  std::string file;
  /// The revision to replace; unset: what is in force when the command starts.
  std::optional<std::uint64_t> expected;
  bool dry_run = false;
  bool wait = false;
  duration wait_limit = std::chrono::seconds(30);
};

struct get_options {
  /// Print only the revision.
  bool revision_only = false;
  /// Print the deployment that template and parameters give.
  bool expanded = false;
};

struct diff_options {
  std::string file;
};

struct status_options {
  bool watch = false;
  duration interval = std::chrono::seconds(2);
  /// Stop after this many reports; 0 for no end.
  int repeat = 0;
  bool endpoints = false;
};

struct zone_options {
  std::string zone;
  bool out = false;
  bool wait = false;
  duration wait_limit = std::chrono::seconds(30);
};

struct entries_options {
  std::string caller;
};

struct query_options {
  /// Empty for all.
  std::vector<std::string> services;
  /// "-" reads standard input.
  std::string body;
  std::optional<double> deadline_ms;
  std::string policy;
  std::optional<double> min_coverage;
  /// Not empty: the query is not idempotent.
  std::string key;
  std::optional<int> priority;
  std::string caller;
  std::string request;
  /// Exit with kPartial unless the answer is whole.
  bool whole = false;
};

struct cancel_options {
  std::string request;
};

struct timeline_options {
  timeline_filter filter;
  /// Only events of the last so long.
  std::optional<duration> last;
  timeline_format format = timeline_format::kText;
  /// Empty for standard output.
  std::string out;
  /// Ask only the given addresses, not all hosts they know.
  bool only = false;
};

struct explain_options {
  request_id request;
  /// Log files; "-" reads standard input.
  std::vector<std::string> files = {"-"};
};

struct rollouts_options {
  /// Only this service's; empty for all.
  service_id service;
  /// Log files; "-" reads standard input.
  std::vector<std::string> files = {"-"};
};

using command = std::variant<validate_options,
                             render_options,
                             apply_options,
                             get_options,
                             diff_options,
                             status_options,
                             zone_options,
                             entries_options,
                             query_options,
                             cancel_options,
                             timeline_options,
                             explain_options,
                             rollouts_options>;

}  // namespace trefoilmill

#endif  // TREFOILMILL_TREFOILMILLCTL_OPTIONS_H_
