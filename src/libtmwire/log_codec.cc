#include "trefoilmill/wire/log_codec.h"

#include <array>
#include <nlohmann/json.hpp>
#include <ranges>

#include "time_text.h"
#include "trefoilmill/wire/settings_codec.h"
#include "wire_json.h"

namespace trefoilmill {
namespace {

/// Keeps the order in which members are set, for readers.
using ordered = nlohmann::ordered_json;

void SetText(ordered& out, const char* key, const std::string& text) {
  if (!text.empty()) {
    out[key] = text;
  }
}

/// Members that have a field of their own in read_log_line.
constexpr std::array<std::string_view, 6> kNamedMembers = {
    "time", "level", "host", "message", "request", "endpoint"};

std::string DetailsOf(const json& record) {
  std::string details;
  for (const auto& [name, value] : record.items()) {
    if (std::ranges::find(kNamedMembers, name) != kNamedMembers.end()) {
      continue;
    }
    details += details.empty() ? "" : " ";
    details += name + "=";
    details += value.is_string() ? value.get<std::string>() : value.dump();
  }
  return details;
}

}  // namespace

std::string WriteLogRecord(const log_record& record) {
  const log_fields& fields = record.fields;
  ordered out;
  out["time"] = TimeText(record.wall_us);
  out["level"] = ToString(record.level);
  out["host"] = record.host.value();
  out["message"] = record.message;
  SetText(out, "request", fields.request.value());
  if (fields.attempt != attempt_id()) {
    out["attempt"] = std::to_string(fields.attempt.value());
  }
  SetText(out, "endpoint", fields.endpoint.value());
  SetText(out, "peer", fields.peer.value());
  SetText(out, "zone", fields.zone.value());
  SetText(out, "document", fields.document.value());
  if (fields.at != revision()) {
    out["revision"] = fields.at.value();
    if (fields.at.era() != store_era()) {
      out["store_era"] = fields.at.era().value();
    }
  }
  if (fields.reason != reason_code::kNone) {
    out["reason"] = ToString(fields.reason);
    out["verdict"] = ToString(fields.outcome);
  }
  SetText(out, "detail", fields.detail);
  for (const auto& [name, value] : fields.inputs) {
    std::visit([&, key = std::string(name)](const auto& v) { out[key] = v; },
               value);
  }
  return out.dump(-1, ' ', /*ensure_ascii=*/false,
                  ordered::error_handler_t::replace);
}

std::optional<read_log_line> ReadLogLine(const std::string& line) {
  const json record = ParseStrictJson(line);
  const auto time = FindText(record, "time");
  const auto host = FindText(record, "host");
  const auto message = FindText(record, "message");
  if (!time.has_value() || !host.has_value() || !message.has_value()) {
    return std::nullopt;
  }
  const auto text = [&record](const char* name) {
    return FindText(record, name).value_or("");
  };
  return read_log_line{.time = *time,
                       .host = host_id(*host),
                       .message = *message,
                       .request = request_id(text("request")),
                       .endpoint = endpoint_id(text("endpoint")),
                       .details = DetailsOf(record),
                       .text = line};
}

}  // namespace trefoilmill
