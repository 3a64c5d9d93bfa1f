#include "record_reader.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace trefoilmill {
namespace {

using nlohmann::json;

constexpr duration kCallTimeout = std::chrono::seconds(5);
/// Keeps a reply within the HTTP client's bound on bodies.
constexpr const char* kRecordsPerCall = "1500";

endpoint_record ParseRecord(const json& value) {
  endpoint_record record;
  record.at = value.at("wall_us").get<wall_us>();
  record.endpoint = endpoint_id(value.value("endpoint", ""));
  record.instance = instance_id(value.value("instance", ""));
  record.zone = zone_id(value.value("zone", ""));
  record.event = value.value("event", "");
  record.attempt = value.value("attempt", "");
  record.version = snapshot_version(value.value("version", std::uint64_t{0}));
  record.shard = {.service = service_id(value.value("service", "")),
                  .shard = shard_id(value.value("shard", std::uint32_t{0}))};
  record.idempotent = value.value("idempotent", true);
  record.body = value.value("body", "");
  return record;
}

}  // namespace

record_reader::record_reader(event_loop& loop,
                             std::vector<socket_address> controls)
    : client_(loop) {
  std::ranges::transform(
      controls, std::back_inserter(sources_),
      [](const socket_address& control) { return source{.control = control}; });
}

void record_reader::Poll() {
  for (source& from : sources_) {
    if (!from.asking) {
      Ask(from);
    }
  }
}

bool record_reader::caught_up() const {
  return std::ranges::none_of(
      sources_, [](const source& from) { return from.asking || from.more; });
}

void record_reader::Ask(source& from) {
  from.asking = true;
  from.more = true;
  http_request request;
  request.method = "GET";
  request.path = "/control/records";
  request.query["after"] = std::to_string(from.next);
  request.query["limit"] = kRecordsPerCall;
  client_.Send(
      from.control, request, kCallTimeout,
      [this, &from](const http_result& exchange) { Take(from, exchange); });
}

void record_reader::Take(source& from, const http_result& exchange) {
  from.asking = false;
  if (!exchange.response.has_value()) {
    ++failed_calls_;
    return;
  }
  const json body = json::parse(exchange.response->body, nullptr, false);
  if (!body.is_object() || !body.contains("next")) {
    ++failed_calls_;
    return;
  }
  std::ranges::transform(body.at("records"), std::back_inserter(records_),
                         ParseRecord);
  const auto next = body.at("next").get<std::uint64_t>();
  from.more = next != from.next;
  from.next = next;
  if (from.more) {
    Ask(from);
  }
}

}  // namespace trefoilmill
