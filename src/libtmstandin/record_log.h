/// What a stand-in saw, in order, for tests to judge by.
#ifndef TREFOILMILL_LIBTMSTANDIN_RECORD_LOG_H_
#define TREFOILMILL_LIBTMSTANDIN_RECORD_LOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "trefoilmill/net/http.h"

namespace trefoilmill {

/// Keeps records in memory, numbered from 1.
class record_log {
 public:
  /// Appends `record`, an object; adds `seq` and `wall_us`, and counts it by
  /// its `event`.
  void Append(nlohmann::json record, std::uint64_t wall_us);

  /// Answers `GET /control/records?after=N&limit=M`: records above N.
  http_response Records(const http_request& request) const;
  /// Answers `GET /control/summary` with the counts and what `extra` holds.
  http_response Summary(nlohmann::json extra) const;

  std::size_t size() const { return lines_.size(); }
  std::uint64_t CountOf(const std::string& event) const;

 private:
  std::vector<std::string> lines_;
  std::map<std::string, std::uint64_t> counts_;
};

/// A JSON reply; text that is not UTF-8 is replaced.
http_response JsonReply(int status, const nlohmann::json& body);
/// `{"error": detail}` with a 4xx status.
http_response ErrorReply(int status, const std::string& detail);
/// A whole number from the query string, or `fallback`.
std::uint64_t QueryNumber(const http_request& request,
                          const std::string& name,
                          std::uint64_t fallback);

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTMSTANDIN_RECORD_LOG_H_
