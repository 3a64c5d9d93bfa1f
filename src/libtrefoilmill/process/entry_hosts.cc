#include "trefoilmill/process/entry_hosts.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace trefoilmill {
namespace {

/// A host is named beside the strongest one if it has this part of its
/// strength.
constexpr double kStrongShare = 0.5;
/// Hosts that are named at least, so that the loss of some is borne.
constexpr std::size_t kLeastHosts = 4;
/// Part of the strength of all hosts that the named ones have at least.
constexpr double kLeastStrength = 0.15;

/// A host that does not tell its strength counts as a weak one.
int StrengthOf(const host_record& host) {
  return std::max(1, host.millicores);
}

int TotalStrength(const std::vector<host_record>& hosts) {
  return std::transform_reduce(hosts.begin(), hosts.end(), 0, std::plus<>(),
                               StrengthOf);
}

}  // namespace

std::vector<host_record> ChooseEntryHosts(std::vector<host_record> serving) {
  if (serving.empty()) {
    return serving;
  }
  std::ranges::sort(serving, {}, &host_record::id);
  std::ranges::stable_sort(serving, std::greater<>(), StrengthOf);
  const double strongest = StrengthOf(serving.front());
  const double wanted = kLeastStrength * TotalStrength(serving);
  std::size_t named = 0;
  double strength = 0;
  for (const host_record& host : serving) {
    const bool enough = named >= kLeastHosts && strength >= wanted;
    if (enough && StrengthOf(host) < kStrongShare * strongest) {
      break;
    }
    strength += StrengthOf(host);
    ++named;
  }
  serving.resize(named);
  return serving;
}

bool IsNamed(const host_id& host, const std::vector<host_record>& named) {
  return named.empty() ||
         std::ranges::find(named, host, &host_record::id) != named.end();
}

sending_hosts CountSendingHosts(const host_id& self,
                                const std::vector<host_record>& named,
                                const std::vector<host_record>& known) {
  const std::size_t if_all_lived = ChooseEntryHosts(known).size();
  const std::size_t counted =
      std::min(known.size(), std::max(named.size(), if_all_lived));
  return {.named = counted,
          .standing_by = known.size() - counted,
          .is_named = IsNamed(self, named)};
}

}  // namespace trefoilmill
