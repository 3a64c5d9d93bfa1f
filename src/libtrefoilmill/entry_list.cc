#include "trefoilmill/entry_list.h"

#include <algorithm>
#include <ranges>

#include "rendezvous.h"

namespace trefoilmill {
namespace {

/// Sorts hosts by descending rendezvous weight for `caller`; ties are broken by
/// host id.
std::vector<host_record> RankForCaller(std::vector<host_record> hosts,
                                       const caller_id& caller) {
  const std::uint64_t key = HashName(caller.value());
  const auto rank = [key](const host_record& host) {
    return std::pair(RendezvousScore(key, HashName(host.id.value())), host.id);
  };
  std::ranges::sort(hosts, std::greater<>(), rank);
  return hosts;
}

/// Moves the highest-ranked host of each zone to the front, so that a caller
/// still has a working address after the loss of one zone.
void MoveBestOfEachZoneToFront(std::vector<host_record>& ranked) {
  std::set<zone_id> seen_zones;
  std::ranges::stable_partition(ranked, [&seen_zones](const host_record& host) {
    return seen_zones.insert(host.zone).second;
  });
}

std::vector<host_record> ExcludeZones(const std::vector<host_record>& hosts,
                                      const std::set<zone_id>& zones_out) {
  std::vector<host_record> remaining;
  std::ranges::copy_if(hosts, std::back_inserter(remaining),
                       [&zones_out](const host_record& host) {
                         return !zones_out.contains(host.zone);
                       });
  return remaining;
}

}  // namespace

entry_list BuildEntryList(const std::vector<host_record>& live,
                          const std::vector<host_record>& leaving,
                          const std::set<zone_id>& zones_out,
                          const caller_id& caller,
                          const entries_config& config) {
  std::vector<host_record> candidates = ExcludeZones(live, zones_out);
  if (candidates.empty()) {
    candidates = live;
  }
  if (candidates.empty()) {
    candidates = leaving;
  }
  std::vector<host_record> ranked =
      RankForCaller(std::move(candidates), caller);
  MoveBestOfEachZoneToFront(ranked);
  const auto count = static_cast<std::size_t>(std::max(1, config.count));
  if (ranked.size() > count) {
    ranked.erase(ranked.begin() + static_cast<std::ptrdiff_t>(count),
                 ranked.end());
  }
  return {.hosts = std::move(ranked), .ttl = config.ttl};
}

}  // namespace trefoilmill
