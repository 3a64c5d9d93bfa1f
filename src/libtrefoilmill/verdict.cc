#include "trefoilmill/verdict.h"

#include <algorithm>
#include <array>

namespace trefoilmill {
namespace {

template <class value>
struct named {
  value code;
  std::string_view name;
};

constexpr std::array kVerdictNames = {
    named<verdict>{verdict::kNotRun, "not_run"},
    named<verdict>{verdict::kMayHaveRun, "may_have_run"},
    named<verdict>{verdict::kRan, "ran"},
};

constexpr std::array kReasonNames = {
    named<reason_code>{reason_code::kNone, "none"},
    named<reason_code>{reason_code::kBadRequest, "bad_request"},
    named<reason_code>{reason_code::kUnknownService, "unknown_service"},
    named<reason_code>{reason_code::kDeadlineExceeded, "deadline_exceeded"},
    named<reason_code>{reason_code::kDeadlineUnmeetable, "deadline_unmeetable"},
    named<reason_code>{reason_code::kOverloaded, "overloaded"},
    named<reason_code>{reason_code::kShed, "shed"},
    named<reason_code>{reason_code::kDraining, "draining"},
    named<reason_code>{reason_code::kZoneOut, "zone_out"},
    named<reason_code>{reason_code::kNotOwner, "not_owner"},
    named<reason_code>{reason_code::kWrongInstance, "wrong_instance"},
    named<reason_code>{reason_code::kVersionGone, "version_gone"},
    named<reason_code>{reason_code::kWrongVersion, "wrong_version"},
    named<reason_code>{reason_code::kColdLimit, "cold_limit"},
    named<reason_code>{reason_code::kConnectionRefused, "connection_refused"},
    named<reason_code>{reason_code::kConnectionReset, "connection_reset"},
    named<reason_code>{reason_code::kMalformedReply, "malformed_reply"},
    named<reason_code>{reason_code::kEndpointError, "endpoint_error"},
    named<reason_code>{reason_code::kHostLost, "host_lost"},
    named<reason_code>{reason_code::kCancelled, "cancelled"},
    named<reason_code>{reason_code::kNoReplica, "no_replica"},
    named<reason_code>{reason_code::kNoSnapshot, "no_snapshot"},
    named<reason_code>{reason_code::kCoverageTooLow, "coverage_too_low"},
    named<reason_code>{reason_code::kKeyInUse, "key_in_use"},
    named<reason_code>{reason_code::kStoreUnavailable, "store_unavailable"},
    named<reason_code>{reason_code::kNotReady, "not_ready"},
    named<reason_code>{reason_code::kShuttingDown, "shutting_down"},
    named<reason_code>{reason_code::kQuarantined, "quarantined"},
    named<reason_code>{reason_code::kUnauthorized, "unauthorized"},
    named<reason_code>{reason_code::kQuotaExceeded, "quota_exceeded"},
};

template <class value, std::size_t count>
std::string_view NameOf(const std::array<named<value>, count>& names,
                        value code) {
  const auto* found = std::ranges::find(names, code, &named<value>::code);
  return found == names.end() ? std::string_view("unknown") : found->name;
}

template <class value, std::size_t count>
std::optional<value> CodeOf(const std::array<named<value>, count>& names,
                            std::string_view text) {
  const auto* found = std::ranges::find(names, text, &named<value>::name);
  if (found == names.end()) {
    return std::nullopt;
  }
  return found->code;
}

}  // namespace

std::string_view ToString(verdict v) {
  return NameOf(kVerdictNames, v);
}

std::optional<verdict> ParseVerdict(std::string_view text) {
  return CodeOf(kVerdictNames, text);
}

std::string_view ToString(reason_code code) {
  return NameOf(kReasonNames, code);
}

std::optional<reason_code> ParseReasonCode(std::string_view text) {
  return CodeOf(kReasonNames, text);
}

verdict Combine(verdict a, verdict b) {
  return std::max(a, b);
}

}  // namespace trefoilmill
