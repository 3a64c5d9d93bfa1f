/// Forms in which a time line is shown.
#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "time_text.h"
#include "trefoilmill/wire/timeline_codec.h"
#include "wire_json.h"

namespace trefoilmill {
namespace {

std::string Padded(std::string text, std::size_t width) {
  text.resize(std::max(text.size(), width), ' ');
  return text;
}

void AppendField(std::string& line,
                 const std::string& name,
                 const std::string& value) {
  if (!value.empty()) {
    line += " " + name + "=" + value;
  }
}

std::string AttemptText(const timeline_event& event) {
  return event.attempt == attempt_id() ? ""
                                       : std::to_string(event.attempt.value());
}

std::string TextLine(const timeline_event& event,
                     std::size_t process_width,
                     std::size_t kind_width) {
  std::string line = TimeText(event.at.wall_us) + "  " +
                     Padded(event.process.value(), process_width) + "  " +
                     Padded(event.kind, kind_width);
  AppendField(line, "request", event.request.value());
  AppendField(line, "attempt", AttemptText(event));
  AppendField(line, "endpoint", event.endpoint.value());
  AppendField(line, "zone", event.zone.value());
  if (event.length > duration::zero()) {
    std::array<char, 32> length{};
    std::snprintf(length.data(), length.size(), "%.3fms",
                  ToMilliseconds(event.length));
    AppendField(line, "length", length.data());
  }
  if (!event.detail.empty()) {
    line += "  " + event.detail;
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

std::size_t Widest(const std::vector<timeline_event>& events,
                   std::size_t (*width)(const timeline_event&)) {
  std::size_t widest = 0;
  for (const timeline_event& event : events) {
    widest = std::max(widest, width(event));
  }
  return widest;
}

std::string AsText(const std::vector<timeline_event>& events) {
  const auto process_width = Widest(events, [](const timeline_event& event) {
    return event.process.value().size();
  });
  const auto kind_width = Widest(
      events, [](const timeline_event& event) { return event.kind.size(); });
  std::string text;
  for (const timeline_event& event : events) {
    text += TextLine(event, process_width, kind_width);
  }
  return text;
}

std::string AsJsonLines(const std::vector<timeline_event>& events) {
  std::string text;
  for (const timeline_event& event : events) {
    text += WriteTimelineEvent(event) + "\n";
  }
  return text;
}

/// Arguments that the viewer shows beside an event.
json TraceArguments(const timeline_event& event) {
  json arguments = json::object();
  const auto set = [&arguments](const char* key, const std::string& text) {
    if (!text.empty()) {
      arguments[key] = text;
    }
  };
  set("request", event.request.value());
  set("attempt", AttemptText(event));
  set("endpoint", event.endpoint.value());
  set("zone", event.zone.value());
  set("detail", event.detail);
  return arguments;
}

/// A complete event ("X") if it has a length, else an instant ("i"). The
/// recorded time is the end of an event with a length.
json TraceEvent(const timeline_event& event, int process) {
  const bool spans = event.length > duration::zero();
  const auto length = static_cast<std::uint64_t>(event.length.count());
  json out = {{"name", event.kind},     {"cat", "trefoilmill"},
              {"pid", process},         {"tid", 1},
              {"ts", event.at.wall_us}, {"args", TraceArguments(event)}};
  if (spans) {
    out["ph"] = "X";
    out["ts"] = event.at.wall_us - std::min(length, event.at.wall_us);
    out["dur"] = length;
  } else {
    out["ph"] = "i";
    out["s"] = "t";
  }
  return out;
}

std::string AsChromeTrace(const std::vector<timeline_event>& events) {
  std::map<host_id, int> processes;
  json list = json::array();
  for (const timeline_event& event : events) {
    const int next = static_cast<int>(processes.size()) + 1;
    const auto [found, is_new] = processes.emplace(event.process, next);
    if (is_new) {
      list.push_back({{"name", "process_name"},
                      {"ph", "M"},
                      {"pid", next},
                      {"args", {{"name", event.process.value()}}}});
    }
    list.push_back(TraceEvent(event, found->second));
  }
  return Dump({{"traceEvents", std::move(list)}, {"displayTimeUnit", "ms"}}) +
         "\n";
}

}  // namespace

std::string FormatTimeline(const std::vector<timeline_event>& events,
                           timeline_format format) {
  switch (format) {
    case timeline_format::kText:
      return AsText(events);
    case timeline_format::kJsonLines:
      return AsJsonLines(events);
    case timeline_format::kChromeTrace:
      return AsChromeTrace(events);
  }
  return "";
}

}  // namespace trefoilmill
