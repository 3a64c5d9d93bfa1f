#include "explanation.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <ranges>
#include <string_view>
#include <utility>

#include "trefoilmill/wire/log_messages.h"

namespace trefoilmill {
namespace {

/// A message that changes what a host believes, and of what.
struct belief_message {
  std::string_view message;
  std::string_view subject;
};

constexpr std::array kBeliefs = {
    belief_message{log_message::kProcessStarted, "process"},
    belief_message{log_message::kToldToStop, "process"},
    belief_message{log_message::kReady, "readiness"},
    belief_message{log_message::kNotReady, "readiness"},
    belief_message{log_message::kConfigurationInForce, "configuration"},
    belief_message{log_message::kConfigurationRefused, "configuration refused"},
    belief_message{log_message::kStoreReached, "store"},
    belief_message{log_message::kStoreLost, "store"},
    belief_message{log_message::kWatchingStore, "watching"},
    belief_message{log_message::kLeavingStore, "watching"},
    belief_message{log_message::kZoneOut, "zones"},
    belief_message{log_message::kNamedToCallers, "callers"},
    belief_message{log_message::kStandingBy, "callers"},
    belief_message{log_message::kEndpointAnnounced, "endpoint"},
    belief_message{log_message::kEndpointWithdrawn, "endpoint"},
};

const belief_message* BeliefOf(const read_log_line& line) {
  const auto found =
      std::ranges::find(kBeliefs, line.message, &belief_message::message);
  return found == kBeliefs.end() ? nullptr : &*found;
}

bool Names(const std::vector<read_log_line>& events,
           const endpoint_id& endpoint) {
  return endpoint == endpoint_id() ||
         std::ranges::find(events, endpoint, &read_log_line::endpoint) !=
             events.end();
}

/// The time of each host's last line about the request.
std::map<host_id, std::string> LastTimes(
    const std::vector<read_log_line>& events) {
  std::map<host_id, std::string> times;
  for (const read_log_line& event : events) {
    times[event.host] = event.time;
  }
  return times;
}

std::string LineOf(const read_log_line& line) {
  std::string text = line.time + "  " + line.host.value() + "  " + line.message;
  if (line.endpoint != endpoint_id()) {
    text += "  endpoint=" + line.endpoint.value();
  }
  if (!line.details.empty()) {
    text += "  " + line.details;
  }
  return text + "\n";
}

nlohmann::json JsonOf(const std::vector<read_log_line>& lines) {
  nlohmann::json list = nlohmann::json::array();
  for (const read_log_line& line : lines) {
    list.push_back(nlohmann::json::parse(line.text, nullptr, false));
  }
  return list;
}

}  // namespace

explanation Explain(std::vector<read_log_line> lines,
                    const request_id& request) {
  std::ranges::stable_sort(lines, {}, &read_log_line::time);
  explanation found;
  std::ranges::copy_if(
      lines, std::back_inserter(found.events),
      [&](const read_log_line& line) { return line.request == request; });
  const auto last_times = LastTimes(found.events);
  /// By host, subject and endpoint.
  std::map<std::tuple<host_id, std::string_view, endpoint_id>, read_log_line>
      latest;
  for (read_log_line& line : lines) {
    const belief_message* belief = BeliefOf(line);
    const auto last = last_times.find(line.host);
    if (belief == nullptr || last == last_times.end() ||
        line.time > last->second || !Names(found.events, line.endpoint)) {
      continue;
    }
    latest[{line.host, belief->subject, line.endpoint}] = std::move(line);
  }
  std::ranges::move(std::views::values(latest),
                    std::back_inserter(found.beliefs));
  std::ranges::stable_sort(found.beliefs, {}, &read_log_line::time);
  return found;
}

std::string ToText(const explanation& found) {
  std::string text = "what the hosts believed:\n";
  for (const read_log_line& line : found.beliefs) {
    text += LineOf(line);
  }
  text += "what happened to the request:\n";
  for (const read_log_line& line : found.events) {
    text += LineOf(line);
  }
  return text;
}

std::string ToJson(const explanation& found) {
  return nlohmann::json{{"beliefs", JsonOf(found.beliefs)},
                        {"events", JsonOf(found.events)}}
             .dump() +
         "\n";
}

}  // namespace trefoilmill
