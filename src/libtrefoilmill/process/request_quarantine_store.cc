/// Which records of the quarantine belong into the platform's store.
#include <algorithm>
#include <utility>

#include "../rendezvous.h"
#include "trefoilmill/process/request_quarantine.h"

namespace trefoilmill {

std::vector<request_fingerprint> request_quarantine::Unstored(
    time_point now,
    std::optional<store_era> era) const {
  std::vector<request_fingerprint> unstored;
  for (const auto& [request, r] : records_) {
    const bool is_stored = r.stored_in.has_value() && r.stored_in >= era;
    if (r.IsQuarantined(now) && !is_stored) {
      unstored.push_back(request);
    }
  }
  return unstored;
}

std::optional<quarantine_report> request_quarantine::ReportOf(
    time_point now,
    request_fingerprint request) const {
  const auto found = records_.find(request);
  if (found == records_.end()) {
    return std::nullopt;
  }
  return MakeReport(now, request, found->second);
}

std::vector<request_fingerprint> request_quarantine::TakeClearedStored() {
  return std::exchange(cleared_stored_, {});
}

std::size_t StoreRank(request_fingerprint request,
                      const host_id& self,
                      const std::vector<host_id>& others) {
  const auto score = [request](const host_id& host) {
    return RendezvousScore(request.value(), HashName(host.value()));
  };
  return static_cast<std::size_t>(std::ranges::count_if(
      others,
      [&](const host_id& other) { return score(other) > score(self); }));
}

}  // namespace trefoilmill
