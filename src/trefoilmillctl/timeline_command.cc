/// `timeline`: the events of all processes in one order.
#include <algorithm>
#include <fstream>
#include <iostream>
#include <utility>

#include "commands.h"

namespace trefoilmill {
namespace {

constexpr int kOk = 200;

/// The given addresses, and those of every host that one of them knows.
std::vector<socket_address> AllAddresses(const common_options& common,
                                         daemon_api& api) {
  std::vector<socket_address> addresses = common.administration;
  const call_outcome outcome = Get(common, api, "/v1/status");
  const auto status = outcome.response.has_value()
                          ? ParseStatus(outcome.response->body)
                          : result<status_report>(failure());
  if (status.has_value()) {
    for (const host_report& host : status.value().hosts) {
      addresses.push_back(host.host.administration);
    }
  }
  std::ranges::sort(addresses);
  const auto repeated = std::ranges::unique(addresses);
  addresses.erase(repeated.begin(), repeated.end());
  return addresses;
}

http_request MakeRequest(const timeline_filter& filter) {
  http_request request;
  request.method = "GET";
  request.path = "/v1/timeline";
  const auto set = [&request](const char* key, const auto& wanted) {
    if (wanted.has_value()) {
      request.query[key] = wanted->value();
    }
  };
  set("request", filter.request);
  set("endpoint", filter.endpoint);
  set("zone", filter.zone);
  if (filter.from_wall_us.has_value()) {
    request.query["from_us"] = std::to_string(*filter.from_wall_us);
  }
  if (filter.to_wall_us.has_value()) {
    request.query["to_us"] = std::to_string(*filter.to_wall_us);
  }
  request.query["limit"] = std::to_string(filter.limit);
  return request;
}

bool Write(const std::string& text, const std::string& file) {
  if (file.empty()) {
    std::cout << text;
    return true;
  }
  std::ofstream out(file, std::ios::trunc);
  out << text << std::flush;
  return out.good();
}

}  // namespace

exit_code Run(const common_options& common,
              daemon_api& api,
              const timeline_options& options) {
  timeline_filter filter = options.filter;
  if (options.last.has_value()) {
    filter.from_wall_us = api.SystemTimeMicros() -
                          static_cast<std::uint64_t>(options.last->count());
  }
  const auto addresses =
      options.only ? common.administration : AllAddresses(common, api);
  const http_request request = MakeRequest(filter);
  std::vector<std::vector<timeline_event>> parts;
  for (const socket_address& address : addresses) {
    const call_outcome outcome =
        api.Call({address}, request, common.timeout, repetition::kSafe);
    if (!outcome.response.has_value() || outcome.response->status != kOk) {
      ReportFailure(outcome);
      continue;
    }
    auto events = ParseTimeline(outcome.response->body);
    if (events.has_value()) {
      parts.push_back(std::move(events).value());
    }
  }
  if (parts.empty()) {
    return exit_code::kUnreachable;
  }
  const timeline_format format =
      common.json && options.format == timeline_format::kText
          ? timeline_format::kJsonLines
          : options.format;
  const auto merged = MergeTimelines(std::move(parts));
  if (!Write(FormatTimeline(merged, format), options.out)) {
    std::cerr << "cannot write " << options.out << "\n";
    return exit_code::kUsage;
  }
  return exit_code::kDone;
}

}  // namespace trefoilmill
