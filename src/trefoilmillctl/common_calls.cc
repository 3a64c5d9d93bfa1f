/// Calls that several commands make.
#include <algorithm>
#include <iostream>

#include "commands.h"

namespace trefoilmill {
namespace {

constexpr int kNotFound = 404;
constexpr duration kPollInterval = std::chrono::milliseconds(200);

/// Hosts that a change must reach, and those that it has.
struct spread {
  std::size_t reached = 0;
  std::size_t total = 0;
};

bool HasInForce(const host_report& host,
                const document_id& document,
                revision at) {
  return std::ranges::any_of(host.documents, [&](const document_digest& one) {
    return one.id == document && one.in_force >= at;
  });
}

/// Whether the host has no deployment in force. One may be stored all the same:
/// a change that expects none then conflicts.
bool SaysNone(const http_response& response) {
  const auto error = ParseError(response.body);
  return response.status == kNotFound ||
         (error.has_value() && error->reason == reason_code::kNotReady);
}

bool IsLive(const host_report& host) {
  return host.state == member_state::kAlive ||
         host.state == member_state::kSuspect;
}

spread CountInForce(const status_report& status,
                    const document_id& document,
                    revision at) {
  spread count;
  for (const host_report& host : status.hosts) {
    count.total += IsLive(host) ? 1 : 0;
    count.reached += IsLive(host) && HasInForce(host, document, at) ? 1 : 0;
  }
  return count;
}

}  // namespace

call_outcome Get(const common_options& common,
                 daemon_api& api,
                 const std::string& path) {
  http_request request;
  request.method = "GET";
  request.path = path;
  return api.Call(common.administration, request, common.timeout,
                  repetition::kSafe);
}

exit_code ReportFailure(const call_outcome& outcome) {
  if (outcome.failed.has_value()) {
    std::cerr << "no daemon answered: " << outcome.failed->detail << "\n";
    return exit_code::kUnreachable;
  }
  const auto error = ParseError(outcome.response->body);
  if (!error.has_value()) {
    std::cerr << ToString(outcome.address) << " answered with status "
              << outcome.response->status << "\n";
    return exit_code::kRefused;
  }
  std::cerr << "refused by " << ToString(outcome.address) << ": "
            << ToString(error->reason) << " (" << ToString(error->outcome)
            << "): " << error->detail << "\n";
  return exit_code::kRefused;
}

present_config ReadConfig(const common_options& common, daemon_api& api) {
  present_config present;
  const call_outcome outcome = Get(common, api, "/v1/config");
  if (outcome.response.has_value() && SaysNone(*outcome.response)) {
    present.absent = true;
    return present;
  }
  if (!outcome.response.has_value() || outcome.response->status != 200) {
    present.failed = ReportFailure(outcome);
    return present;
  }
  const auto reply = ParseConfigReply(outcome.response->body);
  if (reply.has_error()) {
    std::cerr << "the reply could not be read: " << reply.error().detail
              << "\n";
    present.failed = exit_code::kRefused;
    return present;
  }
  present.reply = reply.value();
  return present;
}

exit_code WaitInForce(const common_options& common,
                      daemon_api& api,
                      const document_id& document,
                      revision at,
                      duration limit) {
  const std::uint64_t end =
      api.SystemTimeMicros() + static_cast<std::uint64_t>(limit.count());
  spread count;
  std::string detail = "no status";
  while (true) {
    const call_outcome outcome = Get(common, api, "/v1/status");
    const auto status = outcome.response.has_value()
                            ? ParseStatus(outcome.response->body)
                            : result<status_report>(failure());
    if (status.has_value()) {
      count = CountInForce(status.value(), document, at);
      detail = std::to_string(count.reached) + " of " +
               std::to_string(count.total) + " hosts";
    }
    const bool done = count.total > 0 && count.reached == count.total;
    if (done || api.SystemTimeMicros() >= end) {
      std::cerr << document << " revision " << at.value() << " is in force on "
                << detail << "\n";
      return done ? exit_code::kDone : exit_code::kNotYet;
    }
    api.Sleep(kPollInterval);
  }
}

}  // namespace trefoilmill
