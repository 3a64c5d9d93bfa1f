#include "trefoilmill/process/entry_hosts.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>
#include <set>

namespace trefoilmill {
namespace {

/// A host with at least this fraction of the strongest host's capacity is
/// always advertised.
constexpr double kMinRelativeCapacity = 0.5;
/// Minimum number of advertised hosts, so that some of them may fail.
constexpr std::size_t kMinHosts = 4;
/// Minimum fraction of the total capacity of all hosts that the advertised ones
/// have together.
constexpr double kMinCapacityFraction = 0.15;
/// By when a host that has started knows which others are alive.
constexpr duration kSettlingTime = std::chrono::seconds(2);

/// Processor capacity in millicores. A host whose capacity is unknown counts as
/// a weak one.
int CapacityOf(const host_record& host) {
  return std::max(1, host.millicores);
}

int TotalCapacity(const std::vector<host_record>& hosts) {
  return std::transform_reduce(hosts.begin(), hosts.end(), 0, std::plus<>(),
                               CapacityOf);
}

}  // namespace

std::vector<host_record> SelectAdvertisedHosts(
    std::vector<host_record> serving) {
  if (serving.empty()) {
    return serving;
  }
  std::ranges::sort(serving, {}, &host_record::id);
  std::ranges::stable_sort(serving, std::greater<>(), CapacityOf);
  const double max_capacity = CapacityOf(serving.front());
  const double min_capacity = kMinCapacityFraction * TotalCapacity(serving);
  std::size_t advertised = 0;
  double capacity = 0;
  for (const host_record& host : serving) {
    const bool enough = advertised >= kMinHosts && capacity >= min_capacity;
    if (enough && CapacityOf(host) < kMinRelativeCapacity * max_capacity) {
      break;
    }
    capacity += CapacityOf(host);
    ++advertised;
  }
  serving.resize(advertised);
  return serving;
}

bool IsAdvertised(const host_id& host,
                  const std::vector<host_record>& advertised) {
  return advertised.empty() ||
         std::ranges::find(advertised, host, &host_record::id) !=
             advertised.end();
}

bool LeavesConnectionsToOthers(duration running_for,
                               const host_id& self,
                               bool hosts_are_listed,
                               const std::vector<host_record>& known) {
  if (running_for >= kSettlingTime) {
    return false;
  }
  return !hosts_are_listed || !IsAdvertised(self, SelectAdvertisedHosts(known));
}

bool IsFirstOfZone(const host_record& self,
                   const std::vector<host_record>& advertised) {
  bool contains_self = false;
  for (const host_record& host : advertised) {
    if (host.zone == self.zone && host.id < self.id) {
      return false;
    }
    contains_self = contains_self || host.id == self.id;
  }
  return contains_self;
}

std::vector<host_id> SelectSenders(const std::vector<host_record>& advertised,
                                   const std::vector<host_record>& known) {
  std::set<host_id> senders;
  for (const auto& hosts : {advertised, SelectAdvertisedHosts(known)}) {
    std::ranges::transform(hosts, std::inserter(senders, senders.end()),
                           &host_record::id);
  }
  return {senders.begin(), senders.end()};
}

sending_hosts CountSendingHosts(const host_id& self,
                                const std::vector<host_record>& advertised,
                                const std::vector<host_record>& known) {
  const std::size_t if_all_alive = SelectAdvertisedHosts(known).size();
  const std::size_t counted =
      std::min(known.size(), std::max(advertised.size(), if_all_alive));
  return {.advertised = counted,
          .standby = known.size() - counted,
          .is_advertised = IsAdvertised(self, advertised)};
}

}  // namespace trefoilmill
