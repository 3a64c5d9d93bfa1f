#include "libtmstandin/record_log.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace trefoilmill {

namespace {

constexpr std::uint64_t kDefaultLimit = 10000;

std::string Dump(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void record_log::Append(nlohmann::json record, std::uint64_t wall_us) {
  record["seq"] = lines_.size() + 1;
  record["wall_us"] = wall_us;
  ++counts_[record.value("event", "")];
  lines_.push_back(Dump(record));
}

http_response record_log::Records(const http_request& request) const {
  const std::uint64_t after = QueryNumber(request, "after", 0);
  const std::uint64_t limit = QueryNumber(request, "limit", kDefaultLimit);
  const std::size_t first = std::min<std::size_t>(after, lines_.size());
  const std::size_t last =
      first + std::min<std::size_t>(limit, lines_.size() - first);
  std::string body = R"({"records":[)";
  for (std::size_t i = first; i < last; ++i) {
    if (i != first) {
      body += ',';
    }
    body += lines_[i];
  }
  body += R"(],"next":)" + std::to_string(last) + "}";
  return {.body = std::move(body)};
}

http_response record_log::Summary(nlohmann::json extra) const {
  extra["events"] = counts_;
  return JsonReply(200, extra);
}

std::uint64_t record_log::CountOf(const std::string& event) const {
  const auto found = counts_.find(event);
  return found == counts_.end() ? 0 : found->second;
}

http_response JsonReply(int status, const nlohmann::json& body) {
  return {.status = status, .body = Dump(body)};
}

http_response ErrorReply(int status, const std::string& detail) {
  return JsonReply(status, {{"error", detail}});
}

std::uint64_t QueryNumber(const http_request& request,
                          const std::string& name,
                          std::uint64_t fallback) {
  const auto found = request.query.find(name);
  if (found == request.query.end()) {
    return fallback;
  }
  const std::string& text = found->second;
  std::uint64_t number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace trefoilmill
