#include "trefoilmill/wire/zones_codec.h"

#include <utility>

#include "object_reader.h"
#include "wire_json.h"

namespace trefoilmill {

result<zone_states> ParseZones(const std::string& text) {
  const json parsed = ParseStrictJson(text);
  if (parsed.is_discarded()) {
    return Malformed(reason_code::kBadRequest, "the zones are not JSON");
  }
  diagnostics errors({});
  object_reader reader(parsed, "", errors);
  zone_states states;
  const json* out = reader.Member("out", presence::kRequired);
  if (out != nullptr && !out->is_array()) {
    reader.AddError("out", "must be a list of zones");
  } else if (out != nullptr) {
    for (const json& zone : *out) {
      if (zone.is_string()) {
        states.out.emplace(zone.get<std::string>());
      } else {
        reader.AddError("out", "must hold names of zones only");
      }
    }
  }
  if (!errors.errors().empty()) {
    return AsFailure(errors);
  }
  return states;
}

std::string WriteZones(const zone_states& states) {
  json out = json::array();
  for (const zone_id& zone : states.out) {
    out.push_back(zone.value());
  }
  return Dump({{"out", std::move(out)}});
}

result<zone_change> ParseZoneChange(const std::string& text) {
  const json parsed = ParseStrictJson(text);
  if (parsed.is_discarded()) {
    return Malformed(reason_code::kBadRequest, "the body is not JSON");
  }
  diagnostics errors({});
  object_reader reader(parsed, "", errors);
  zone_change change;
  reader.Id("zone", text_rule::kName, presence::kRequired, change.zone);
  reader.Choice<bool>("state", {{"out", true}, {"in_service", false}},
                      presence::kRequired, change.out);
  reader.Finish();
  if (!errors.errors().empty()) {
    return AsFailure(errors);
  }
  return change;
}

std::string WriteZoneChange(const zone_change& change) {
  return Dump({{"zone", change.zone.value()},
               {"state", change.out ? "out" : "in_service"}});
}

}  // namespace trefoilmill
