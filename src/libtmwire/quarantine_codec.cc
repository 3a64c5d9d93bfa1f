#include "trefoilmill/wire/quarantine_codec.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "wire_json.h"

namespace trefoilmill {
namespace {

constexpr std::uint64_t kMicrosPerMilli = 1000;
/// More than any record has.
constexpr std::size_t kMaxStrikes = 16;

/// nullopt if the text is not a strike.
std::optional<strike_report> ReadStrike(const json& item,
                                        std::uint64_t now_ms) {
  const auto source = FindText(item, "source");
  const auto at_ms = FindUnsigned(item, "at_ms");
  if (!source.has_value() || !at_ms.has_value()) {
    return std::nullopt;
  }
  const auto hash = ParseFingerprint(*source);
  if (!hash.has_value()) {
    return std::nullopt;
  }
  const std::uint64_t age_ms = now_ms - std::min(*at_ms, now_ms);
  return strike_report{
      .source = hash->value(),
      .age = std::chrono::milliseconds(static_cast<std::int64_t>(age_ms))};
}

}  // namespace

std::string WriteQuarantineRecord(const quarantine_report& report,
                                  std::uint64_t now_us) {
  json strikes = json::array();
  for (const strike_report& strike : report.strikes) {
    const auto age_us = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(strike.age)
            .count());
    strikes.push_back(
        {{"source", ToString(request_fingerprint(strike.source))},
         {"at_ms", (now_us - std::min(age_us, now_us)) / kMicrosPerMilli}});
  }
  return Dump(json{{"strikes", std::move(strikes)}});
}

result<quarantine_report> ReadQuarantineRecord(const std::string& text,
                                               std::uint64_t now_us) {
  const json value = ParseStrictJson(text);
  const json* strikes = FindMember(value, "strikes");
  if (strikes == nullptr || !strikes->is_array() ||
      strikes->size() > kMaxStrikes) {
    return Malformed(reason_code::kBadRequest, "no list of strikes");
  }
  quarantine_report report;
  for (const json& item : *strikes) {
    const auto strike = ReadStrike(item, now_us / kMicrosPerMilli);
    if (!strike.has_value()) {
      return Malformed(reason_code::kBadRequest, "not a strike");
    }
    report.strikes.push_back(*strike);
  }
  return report;
}

}  // namespace trefoilmill
