#include "trefoilmill/wire/log_codec.h"

#include <nlohmann/json.hpp>

#include "time_text.h"
#include "trefoilmill/wire/settings_codec.h"

namespace trefoilmill {
namespace {

/// Keeps the order in which members are set, for readers.
using ordered = nlohmann::ordered_json;

void SetText(ordered& out, const char* key, const std::string& text) {
  if (!text.empty()) {
    out[key] = text;
  }
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

}  // namespace trefoilmill
