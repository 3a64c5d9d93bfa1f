#include "trefoilmill/wire/hand_over_codec.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "wire_json.h"

namespace trefoilmill {
namespace {

/// nullopt if the value is not the endpoints of one service.
std::optional<service_attempts> ReadServiceAttempts(const json& item) {
  if (!item.is_array() || item.size() != 2 || !item[0].is_string() ||
      !item[1].is_array() || item[1].empty()) {
    return std::nullopt;
  }
  service_attempts sent{.service = service_id(item[0].get<std::string>())};
  for (const json& endpoint : item[1]) {
    if (!endpoint.is_string()) {
      return std::nullopt;
    }
    sent.endpoints.emplace_back(endpoint.get<std::string>());
  }
  return sent;
}

}  // namespace

std::string EncodeHandOver(const handed_over_request& handed_over) {
  json sent_to = json::array();
  for (const service_attempts& sent : handed_over.attempts) {
    json endpoints = json::array();
    std::ranges::transform(sent.endpoints, std::back_inserter(endpoints),
                           &endpoint_id::value);
    sent_to.push_back({sent.service.value(), std::move(endpoints)});
  }
  // A header takes neither control characters nor bytes beyond ASCII.
  constexpr bool kAsciiOnly = true;
  return json{{"request", handed_over.id.value()},
              {"sent_to", std::move(sent_to)}}
      .dump(-1, ' ', kAsciiOnly, json::error_handler_t::replace);
}

result<handed_over_request> DecodeHandOver(std::string_view text) {
  const json value = ParseStrictJson(std::string(text));
  const auto id = FindText(value, "request");
  const json* sent_to = FindMember(value, "sent_to");
  if (!id.has_value() || sent_to == nullptr || !sent_to->is_array() ||
      sent_to->empty()) {
    return Malformed(reason_code::kBadRequest, "not a request handed over");
  }
  handed_over_request handed_over{.id = request_id(*id)};
  for (const json& item : *sent_to) {
    auto sent = ReadServiceAttempts(item);
    if (!sent.has_value()) {
      return Malformed(reason_code::kBadRequest, "not endpoints of a service");
    }
    handed_over.attempts.push_back(std::move(*sent));
  }
  return handed_over;
}

}  // namespace trefoilmill
