/// The stored claim of an idempotency key, as JSON.
#ifndef TREFOILMILL_WIRE_CLAIM_CODEC_H_
#define TREFOILMILL_WIRE_CLAIM_CODEC_H_

#include <string>

#include "trefoilmill/idempotency_claim.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

std::string WriteClaimRecord(const claim_record& record);

/// Fails with kBadRequest on anything that WriteClaimRecord() cannot have
/// written.
result<claim_record> ParseClaimRecord(const std::string& text);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_CLAIM_CODEC_H_
