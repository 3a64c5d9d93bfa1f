/// One log record as a line of JSON.
#ifndef TREFOILMILL_WIRE_LOG_CODEC_H_
#define TREFOILMILL_WIRE_LOG_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/settings.h"
#include "trefoilmill/verdict.h"

namespace trefoilmill {

/// A number or text in a record.
using log_value = std::variant<std::int64_t, double, std::string>;

/// What a record is about. Empty fields are left out.
struct log_fields {
  request_id request;
  attempt_id attempt;
  endpoint_id endpoint;
  /// Another host.
  host_id peer;
  zone_id zone;
  document_id document;
  revision at;
  reason_code reason = reason_code::kNone;
  /// Left out unless there is a reason.
  verdict outcome = verdict::kNotRun;
  std::string detail;
  /// What decided, by name, in this order.
  std::vector<std::pair<std::string_view, log_value>> inputs;
};

struct log_record {
  /// Microseconds since 1970.
  std::uint64_t wall_us = 0;
  log_level level = log_level::kInfo;
  /// The process that logs.
  host_id host;
  /// A fixed sentence, the same for every event of its kind.
  std::string message;
  log_fields fields;
};

/// One line without its end.
std::string WriteLogRecord(const log_record& record);

/// A line as people and tools look for it.
struct read_log_line {
  /// As written: sorts by time.
  std::string time;
  host_id host;
  std::string message;
  request_id request;
  endpoint_id endpoint;
  /// The other members as "name=value", in the order of their names.
  std::string details;
  /// The line itself.
  std::string text;
};

/// nullopt if it is not a line that WriteLogRecord() writes.
std::optional<read_log_line> ReadLogLine(const std::string& line);

}  // namespace trefoilmill

#endif  // TREFOILMILL_WIRE_LOG_CODEC_H_
