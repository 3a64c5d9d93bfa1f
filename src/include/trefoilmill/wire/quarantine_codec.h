/// Records of requests in quarantine as they are kept in the platform's store,
/// in JSON: `{"strikes": [{"source": "00c0ffee00c0ffee", "at_ms":
/// 1790000000000}]}`.
#ifndef TREFOILMILL_WIRE_QUARANTINE_CODEC_H_
#define TREFOILMILL_WIRE_QUARANTINE_CODEC_H_

#include <cstdint>
#include <string>

#include "trefoilmill/process/request_quarantine.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// The record's strikes. `now_us` is the system clock in microseconds since
/// 1970, by which times last beyond the process.
std::string WriteQuarantineRecord(const quarantine_report& report,
                                  std::uint64_t now_us);

/// Fails with kBadRequest on a text that is not such a record. Strikes in the
/// future, as another host's clock may show, count as of now. The request's
/// fingerprint is the object's name and stays unset.
result<quarantine_report> ReadQuarantineRecord(const std::string& text,
                                               std::uint64_t now_us);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_QUARANTINE_CODEC_H_
