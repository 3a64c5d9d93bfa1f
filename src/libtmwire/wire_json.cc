#include "wire_json.h"

#include <charconv>
#include <utility>

#include "object_reader.h"

namespace trefoilmill {
namespace {

constexpr double kMaxMilliseconds = 24.0 * 60 * 60 * 1000;

}  // namespace

const json* FindMember(const json& object, const std::string& key) {
  if (!object.is_object()) {
    return nullptr;
  }
  const auto found = object.find(key);
  return found == object.end() ? nullptr : &*found;
}

std::optional<std::string> FindText(const json& object,
                                    const std::string& key) {
  const json* member = FindMember(object, key);
  if (member == nullptr || !member->is_string()) {
    return std::nullopt;
  }
  return member->get<std::string>();
}

std::optional<std::uint64_t> FindUnsigned(const json& object,
                                          const std::string& key) {
  const json* member = FindMember(object, key);
  if (member == nullptr || !member->is_number_unsigned()) {
    return std::nullopt;
  }
  return member->get<std::uint64_t>();
}

std::optional<duration> FindMilliseconds(const json& object,
                                         const std::string& key) {
  const json* member = FindMember(object, key);
  if (member == nullptr || !member->is_number()) {
    return std::nullopt;
  }
  const auto read = member->get<double>();
  if (!(read >= 0 && read <= kMaxMilliseconds)) {
    return std::nullopt;
  }
  return std::chrono::round<duration>(
      std::chrono::duration<double, std::milli>(read));
}

std::optional<std::uint64_t> ParseDecimal(const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  if (read.ec != std::errc() || read.ptr != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<socket_address> ParseSocketAddress(const std::string& text) {
  constexpr std::uint64_t kLastPort = 65535;
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const auto port = ParseDecimal(text.substr(colon + 1));
  std::string ip = text.substr(0, colon);
  if (!port.has_value() || *port == 0 || *port > kLastPort ||
      !Obeys(ip, text_rule::kIpNumber)) {
    return std::nullopt;
  }
  return socket_address{.ip = std::move(ip),
                        .port = static_cast<std::uint16_t>(*port)};
}

failure Malformed(reason_code reason, std::string detail) {
  return {.outcome = verdict::kNotRun,
          .reason = reason,
          .detail = std::move(detail),
          .retry_after = std::nullopt};
}

failure AsFailure(const diagnostics& errors) {
  std::vector<std::string> sentences;
  for (const config_error& error : errors.errors()) {
    sentences.push_back(error.key.empty() ? error.message
                                          : error.key + " " + error.message);
  }
  std::string detail;
  for (const std::string& sentence : sentences) {
    detail += (detail.empty() ? "" : "; ") + sentence;
  }
  return Malformed(reason_code::kBadRequest, std::move(detail));
}

json AddressJson(const socket_address& address) {
  return {{"ip", address.ip}, {"port", address.port}};
}

}  // namespace trefoilmill
