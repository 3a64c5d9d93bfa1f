#include "trefoilmill/wire/timeline_codec.h"

#include <utility>

#include "wire_json.h"

namespace trefoilmill {
namespace {

/// Empty fields are left out.
void SetText(json& out, const std::string& key, const std::string& text) {
  if (!text.empty()) {
    out[key] = text;
  }
}

json EventJson(const timeline_event& event) {
  json out = {{"wall_us", event.at.wall_us},
              {"logical", event.at.logical},
              {"process", event.process.value()},
              {"kind", event.kind}};
  SetText(out, "request", event.request.value());
  SetText(out, "endpoint", event.endpoint.value());
  SetText(out, "zone", event.zone.value());
  SetText(out, "detail", event.detail);
  if (event.attempt != attempt_id()) {
    out["attempt"] = std::to_string(event.attempt.value());
  }
  if (event.length > duration::zero()) {
    out["length_ms"] = ToMilliseconds(event.length);
  }
  return out;
}

std::optional<timeline_event> ParseEvent(const json& value) {
  const auto wall_us = FindUnsigned(value, "wall_us");
  const auto kind = FindText(value, "kind");
  const auto process = FindText(value, "process");
  if (!wall_us || !kind || !process) {
    return std::nullopt;
  }
  const auto logical = FindUnsigned(value, "logical").value_or(0);
  const auto text = [&value](const char* key) {
    return FindText(value, key).value_or("");
  };
  return timeline_event{
      .at = {.wall_us = *wall_us,
             .logical = static_cast<std::uint32_t>(logical)},
      .process = host_id(*process),
      .kind = *kind,
      .request = request_id(text("request")),
      .attempt = attempt_id(ParseDecimal(text("attempt")).value_or(0)),
      .endpoint = endpoint_id(text("endpoint")),
      .zone = zone_id(text("zone")),
      .length = FindMilliseconds(value, "length_ms").value_or(duration::zero()),
      .detail = text("detail")};
}

}  // namespace

std::string WriteTimeline(const std::vector<timeline_event>& events) {
  json list = json::array();
  for (const timeline_event& event : events) {
    list.push_back(EventJson(event));
  }
  return Dump({{"events", std::move(list)}});
}

std::string WriteTimelineEvent(const timeline_event& event) {
  return Dump(EventJson(event));
}

result<std::vector<timeline_event>> ParseTimeline(const std::string& text) {
  const json reply = ParseStrictJson(text);
  const json* list =
      reply.is_discarded() ? nullptr : FindMember(reply, "events");
  if (list == nullptr || !list->is_array()) {
    return Malformed(reason_code::kMalformedReply, "no list of events");
  }
  std::vector<timeline_event> events;
  for (const json& entry : *list) {
    auto event = ParseEvent(entry);
    if (!event.has_value()) {
      return Malformed(reason_code::kMalformedReply,
                       "an event lacks its time, kind or process");
    }
    events.push_back(*std::move(event));
  }
  return events;
}

result<timeline_filter> ParseTimelineFilter(
    const std::map<std::string, std::string>& parameters) {
  timeline_filter filter;
  for (const auto& [key, text] : parameters) {
    const auto number = ParseDecimal(text);
    const bool is_number = key == "from_us" || key == "to_us" || key == "limit";
    if (is_number && !number.has_value()) {
      return Malformed(reason_code::kBadRequest,
                       key + " must be a whole number");
    }
    if (key == "request") {
      filter.request = request_id(text);
    } else if (key == "endpoint") {
      filter.endpoint = endpoint_id(text);
    } else if (key == "zone") {
      filter.zone = zone_id(text);
    } else if (key == "from_us") {
      filter.from_wall_us = number;
    } else if (key == "to_us") {
      filter.to_wall_us = number;
    } else if (key == "limit") {
      filter.limit = static_cast<std::size_t>(*number);
    } else {
      return Malformed(reason_code::kBadRequest,
                       "unknown parameter \"" + key +
                           "\"; allowed: request, "
                           "endpoint, zone, from_us, to_us, limit");
    }
  }
  return filter;
}

}  // namespace trefoilmill
