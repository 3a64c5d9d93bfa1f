#include "object_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace trefoilmill {
namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxCallerLength = 128;
constexpr integer_range kPorts = {1, 65535};

bool IsLowerOrDigit(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool IsNameCharacter(char c) {
  return IsLowerOrDigit(c) || c == '-' || c == '_';
}

bool IsRequestIdCharacter(char c) {
  return IsNameCharacter(c) || c == '.' || (c >= 'A' && c <= 'Z');
}

bool IsPrintable(char c) {
  return c >= ' ' && c <= '~';
}

bool IsIpNumber(const std::string& text) {
  in_addr parsed{};
  return inet_pton(AF_INET, text.c_str(), &parsed) == 1 &&
         text.find('\0') == std::string::npos;
}

bool HasLength(const std::string& text, std::size_t most) {
  return !text.empty() && text.size() <= most;
}

std::string Shown(double number) {
  std::ostringstream out;
  out << number;
  return out.str();
}

}  // namespace

bool Obeys(const std::string& text, text_rule rule) {
  switch (rule) {
    case text_rule::kAny:
      return true;
    case text_rule::kName:
      return HasLength(text, kMaxNameLength) && text.front() != '-' &&
             std::ranges::all_of(text, IsNameCharacter);
    case text_rule::kRequestId:
      return HasLength(text, kMaxNameLength) &&
             std::ranges::all_of(text, IsRequestIdCharacter);
    case text_rule::kCallerName:
      return HasLength(text, kMaxCallerLength) &&
             std::ranges::all_of(text, IsPrintable);
    case text_rule::kIpNumber:
      return IsIpNumber(text);
  }
  return false;
}

std::string Describe(text_rule rule) {
  switch (rule) {
    case text_rule::kAny:
      return "a string";
    case text_rule::kName:
      return "a string of 1 to 64 of a-z, 0-9, \"-\" and \"_\", not starting "
             "with \"-\"";
    case text_rule::kRequestId:
      return "a string of 1 to 64 of A-Z, a-z, 0-9, \"_\", \".\" and \"-\"";
    case text_rule::kCallerName:
      return "a string of 1 to 128 printable ASCII characters";
    case text_rule::kIpNumber:
      return "an IP number such as \"127.0.0.1\"";
  }
  return "";
}

std::string TypeName(const json& value) {
  switch (value.type()) {
    case json::value_t::null:
      return "null";
    case json::value_t::object:
      return "an object";
    case json::value_t::array:
      return "a list";
    case json::value_t::string:
      return "a string";
    case json::value_t::boolean:
      return "a boolean";
    default:
      return "a number";
  }
}

object_reader::object_reader(const json& value,
                             std::string path,
                             diagnostics& errors)
    : value_(value), path_(std::move(path)), errors_(errors) {
  if (!value_.is_object()) {
    errors_.Add(path_, "must be an object, not " + TypeName(value_));
  }
}

std::string object_reader::PathOf(const std::string& key) const {
  return MemberPath(path_, key);
}

void object_reader::AddError(const std::string& key, std::string message) {
  errors_.Add(PathOf(key), std::move(message));
}

const json* object_reader::Member(const std::string& key, presence need) {
  known_.push_back(key);
  if (!value_.is_object()) {
    return nullptr;
  }
  const auto found = value_.find(key);
  if (found != value_.end()) {
    return &*found;
  }
  if (need == presence::kRequired) {
    AddError(key, "is required");
  }
  return nullptr;
}

void object_reader::Text(const std::string& key,
                         text_rule rule,
                         presence need,
                         std::string& out) {
  const json* member = Member(key, need);
  if (member == nullptr) {
    return;
  }
  if (!member->is_string()) {
    AddError(key, "must be " + Describe(rule) + ", not " + TypeName(*member));
    return;
  }
  const auto& text = member->get_ref<const std::string&>();
  if (!Obeys(text, rule)) {
    AddError(key, "must be " + Describe(rule));
    return;
  }
  out = text;
}

void object_reader::Flag(const std::string& key, presence need, bool& out) {
  const json* member = Member(key, need);
  if (member == nullptr) {
    return;
  }
  if (!member->is_boolean()) {
    AddError(key, "must be true or false, not " + TypeName(*member));
    return;
  }
  out = member->get<bool>();
}

void object_reader::Number(const std::string& key,
                           number_range range,
                           presence need,
                           double& out) {
  const json* member = Member(key, need);
  if (member == nullptr) {
    return;
  }
  const double read =
      member->is_number() ? member->get<double>() : std::nan("");
  if (!(read >= range.low && read <= range.high)) {
    AddError(key, "must be a number from " + Shown(range.low) + " to " +
                      Shown(range.high));
    return;
  }
  out = read;
}

void object_reader::Milliseconds(const std::string& key,
                                 time_range range,
                                 presence need,
                                 duration& out) {
  const json* member = Member(key, need);
  if (member == nullptr) {
    return;
  }
  const double read =
      member->is_number() ? member->get<double>() : std::nan("");
  const double low = ToMilliseconds(range.low);
  const double high = ToMilliseconds(range.high);
  if (!(read >= low && read <= high)) {
    AddError(key, "must be a number of milliseconds from " + Shown(low) +
                      " to " + Shown(high));
    return;
  }
  out = std::chrono::round<duration>(
      std::chrono::duration<double, std::milli>(read));
}

void object_reader::Address(const std::string& key,
                            presence need,
                            socket_address& out) {
  const json* member = Member(key, need);
  if (member != nullptr) {
    out = ReadAddress(*member, PathOf(key), errors_);
  }
}

void object_reader::Addresses(const std::string& key,
                              presence need,
                              std::vector<socket_address>& out) {
  const json* member = Member(key, need);
  if (member == nullptr) {
    return;
  }
  if (!member->is_array()) {
    AddError(key, "must be a list of addresses, not " + TypeName(*member));
    return;
  }
  for (std::size_t i = 0; i < member->size(); ++i) {
    out.push_back(ReadAddress(
        (*member)[i], PathOf(key) + "[" + std::to_string(i) + "]", errors_));
  }
}

void object_reader::Finish() {
  if (!value_.is_object()) {
    return;
  }
  for (const auto& [key, member] : value_.items()) {
    if (std::ranges::find(known_, key) == known_.end()) {
      AddError(key, "unknown key; nearest is \"" + Nearest(key, known_) +
                        "\"; allowed here: " + Join(known_));
    }
  }
}

bool object_reader::ReadInteger(const std::string& key,
                                integer_range range,
                                presence need,
                                std::int64_t& out) {
  const json* member = Member(key, need);
  if (member == nullptr) {
    return false;
  }
  const bool fits = member->is_number_integer() &&
                    !(member->is_number_unsigned() &&
                      member->get<std::uint64_t>() >
                          static_cast<std::uint64_t>(
                              std::numeric_limits<std::int64_t>::max())) &&
                    member->get<std::int64_t>() >= range.low &&
                    member->get<std::int64_t>() <= range.high;
  if (!fits) {
    AddError(key, "must be a whole number from " + std::to_string(range.low) +
                      " to " + std::to_string(range.high));
    return false;
  }
  out = member->get<std::int64_t>();
  return true;
}

int object_reader::ReadChoice(const std::string& key,
                              const std::vector<std::string>& names,
                              presence need) {
  const json* member = Member(key, need);
  if (member == nullptr) {
    return -1;
  }
  if (member->is_string()) {
    const auto found =
        std::ranges::find(names, member->get_ref<const std::string&>());
    if (found != names.end()) {
      return static_cast<int>(found - names.begin());
    }
  }
  AddError(key, "must be one of: " + Join(names));
  return -1;
}

socket_address ReadAddress(const json& value,
                           const std::string& path,
                           diagnostics& errors) {
  socket_address address;
  object_reader reader(value, path, errors);
  reader.Text("ip", text_rule::kIpNumber, presence::kRequired, address.ip);
  reader.Integer("port", kPorts, presence::kRequired, address.port);
  reader.Finish();
  return address;
}

}  // namespace trefoilmill
