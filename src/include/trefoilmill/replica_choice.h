/// Selects the replica that receives a shard's sub-request.
#ifndef TREFOILMILL_REPLICA_CHOICE_H_
#define TREFOILMILL_REPLICA_CHOICE_H_

#include <optional>
#include <random>
#include <span>

#include "trefoilmill/endpoint_table.h"
#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"

namespace trefoilmill {

/// Why a sub-request is sent.
enum class attempt_kind {
  kFirstAttempt,
  kRetry,
  kHedge,  ///< Sent only to a warm replica with a free slot.
};

/// Selects a replica by power of two random choices: samples two of the free
/// replicas and returns the one with the lower score. If no replica is free and
/// `kind` is not kHedge, samples the last-resort replicas instead. Excludes
/// barred replicas and those in `tried`; returns nullopt if none remains.
std::optional<endpoint_id> ChooseReplica(time_point now,
                                         const endpoint_table& endpoints,
                                         std::span<const endpoint_id> replicas,
                                         std::span<const endpoint_id> tried,
                                         attempt_kind kind,
                                         std::mt19937_64& random);

/// Whether at least one replica is not barred.
bool HasUsableReplica(time_point now,
                      const endpoint_table& endpoints,
                      std::span<const endpoint_id> replicas);

}  // namespace trefoilmill

#endif  // TREFOILMILL_REPLICA_CHOICE_H_
