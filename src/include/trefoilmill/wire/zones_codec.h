/// The document "zones" `{"out": ["perth"]}` and operators' changes to it.
#ifndef TREFOILMILL_WIRE_ZONES_CODEC_H_
#define TREFOILMILL_WIRE_ZONES_CODEC_H_

#include <string>

#include "trefoilmill/deployment.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// Reads the document; fails with kBadRequest on a malformed text.
result<zone_states> ParseZones(const std::string& text);

std::string WriteZones(const zone_states& states);

/// An operator's wish about one zone.
struct zone_change {
  zone_id zone;
  /// True: take it out; false: back in service.
  bool out = false;
};

/// Reads `{"zone": "perth", "state": "out"|"in_service"}`; fails with
/// kBadRequest.
result<zone_change> ParseZoneChange(const std::string& text);

std::string WriteZoneChange(const zone_change& change);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_ZONES_CODEC_H_
