#include "trefoilmill/replica_choice.h"

#include <algorithm>
#include <vector>

namespace trefoilmill {
namespace {

using candidate_list = std::vector<const endpoint_id*>;

bool Contains(std::span<const endpoint_id> endpoints,
              const endpoint_id& wanted) {
  return std::ranges::find(endpoints, wanted) != endpoints.end();
}

/// Samples two distinct candidates and returns the one with the lower score.
/// `candidates` must not be empty.
const endpoint_id* ChooseBetterOfTwo(time_point now,
                                     const endpoint_table& endpoints,
                                     const candidate_list& candidates,
                                     std::mt19937_64& random) {
  if (candidates.size() == 1)
    return candidates.front();
  const std::size_t first = random() % candidates.size();
  const std::size_t offset = 1 + random() % (candidates.size() - 1);
  const std::size_t second = (first + offset) % candidates.size();
  const double first_score = endpoints.Score(now, *candidates[first]);
  const double second_score = endpoints.Score(now, *candidates[second]);
  return second_score < first_score ? candidates[second] : candidates[first];
}

}  // namespace

std::optional<endpoint_id> ChooseReplica(time_point now,
                                         const endpoint_table& endpoints,
                                         std::span<const endpoint_id> replicas,
                                         std::span<const endpoint_id> tried,
                                         attempt_kind kind,
                                         std::mt19937_64& random) {
  candidate_list free_replicas;
  candidate_list last_resorts;
  for (const endpoint_id& replica : replicas) {
    if (Contains(tried, replica))
      continue;
    if (kind == attempt_kind::kHedge) {
      if (endpoints.HasFreeSlot(now, replica))
        free_replicas.push_back(&replica);
      continue;
    }
    const endpoint_eligibility use = endpoints.EligibilityOf(now, replica);
    if (use == endpoint_eligibility::kPreferred)
      free_replicas.push_back(&replica);
    if (use == endpoint_eligibility::kLastResort)
      last_resorts.push_back(&replica);
  }
  const candidate_list& candidates =
      free_replicas.empty() ? last_resorts : free_replicas;
  if (candidates.empty())
    return std::nullopt;
  return *ChooseBetterOfTwo(now, endpoints, candidates, random);
}

bool HasUsableReplica(time_point now,
                      const endpoint_table& endpoints,
                      std::span<const endpoint_id> replicas) {
  return std::ranges::any_of(replicas, [&](const endpoint_id& replica) {
    return endpoints.EligibilityOf(now, replica) !=
           endpoint_eligibility::kExcluded;
  });
}

}  // namespace trefoilmill
