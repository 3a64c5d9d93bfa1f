#include "trefoilmill/version/zones_out.h"

#include <utility>

namespace trefoilmill {

void zones_out::Replace(time_point now,
                        store_era era,
                        std::set<zone_id> listed) {
  if (era > era_) {
    for (const zone_id& zone : InEffect(now)) {
      retained_.try_emplace(zone, now + kRetention);
    }
    era_ = era;
  }
  // From here on the store's own deletions count.
  for (const zone_id& zone : listed) {
    retained_.erase(zone);
  }
  listed_ = std::move(listed);
}

std::set<zone_id> zones_out::InEffect(time_point now) const {
  std::set<zone_id> out = listed_;
  for (const auto& [zone, until] : retained_) {
    if (now < until) {
      out.insert(zone);
    }
  }
  return out;
}

}  // namespace trefoilmill
