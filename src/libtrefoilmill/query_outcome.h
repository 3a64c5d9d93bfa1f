/// Builds the final result of a query: an answer that reports its coverage, or
/// a refusal that says whether the query may have run.
#ifndef TREFOILMILL_QUERY_OUTCOME_H_
#define TREFOILMILL_QUERY_OUTCOME_H_

#include <optional>
#include <vector>

#include "query_shards.h"
#include "trefoilmill/caller_query.h"
#include "trefoilmill/endpoint_table.h"
#include "trefoilmill/time.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// Whether the query may have run on a shard. Counts outstanding attempts as
/// kMayHaveRun.
verdict VerdictOf(const shard_progress& shard);

/// Whether the query may have run on any shard of the plan.
verdict VerdictOf(const query_shards& shards);

/// The answer from the shards answered so far. Moves the payloads out of
/// `shards`. `prior_verdict` is the combined verdict of abandoned plans;
/// `elapsed` is the time since the query arrived. `query.request` must be set.
query_answer MakeAnswer(const caller_query& query,
                        query_shards& shards,
                        verdict prior_verdict,
                        duration elapsed);

/// The refusal of a query whose answered shards do not reach its minimum
/// coverage. The reason is kCoverageTooLow if any shard answered, otherwise the
/// most frequent reason among the shards. `prior_verdict` is the combined
/// verdict of abandoned plans.
failure MakeRefusal(const caller_query& query,
                    const query_shards& shards,
                    verdict prior_verdict);

/// Services with a shard that lacked capacity: it was refused for overload or
/// missed the deadline, or it has an attempt outstanding at an endpoint with
/// queued requests.
std::vector<service_id> FindOverloadedServices(time_point now,
                                               const query_shards& shards,
                                               const endpoint_table& endpoints);

}  // namespace trefoilmill

#endif  // TREFOILMILL_QUERY_OUTCOME_H_
