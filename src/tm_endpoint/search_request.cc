#include "tm_endpoint/search_request.h"

#include <nlohmann/json.hpp>

#include "libtmstandin/record_log.h"

namespace trefoilmill {

namespace {

constexpr double kRetryAfterMilliseconds = 20;

}  // namespace

std::optional<search_request> ParseSearchRequest(const std::string& body) {
  try {
    const auto value = nlohmann::json::parse(body);
    search_request made;
    made.attempt = value.at("attempt").get<std::string>();
    made.version = value.at("version").get<std::uint64_t>();
    made.shard.service = service_id(value.at("service").get<std::string>());
    made.shard.shard = shard_id(value.at("shard").get<std::uint32_t>());
    made.deadline = FromMilliseconds(value.at("deadline_ms").get<double>());
    made.idempotent = value.at("idempotent").get<bool>();
    made.body = value.at("body").get<std::string>();
    return made;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

http_response MakeAnswer(const endpoint_settings& endpoint,
                         const instance_id& instance,
                         const search_request& request,
                         std::uint64_t version) {
  const nlohmann::json payload = {
      {"endpoint", endpoint.id.value()},
      {"version", version},
      {"service", request.shard.service.value()},
      {"shard", request.shard.shard.value()},
  };
  return JsonReply(200, {
                            {"attempt", request.attempt},
                            {"version", version},
                            {"service", request.shard.service.value()},
                            {"shard", request.shard.shard.value()},
                            {"instance", instance.value()},
                            {"payload", payload.dump()},
                        });
}

http_response MakeRefusal(int status,
                          const std::string& reason,
                          const instance_id& instance,
                          const search_request& request) {
  nlohmann::json body = {
      {"attempt", request.attempt},
      {"instance", instance.value()},
      {"reason", reason},
  };
  if (status == 503) {
    body["retry_after_ms"] = kRetryAfterMilliseconds;
  }
  return JsonReply(status, body);
}

}  // namespace trefoilmill
