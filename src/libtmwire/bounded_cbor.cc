#include "bounded_cbor.h"

#include <utility>
#include <vector>

namespace trefoilmill {
namespace {

using nlohmann::json;

/// Builds the value from the reader's events, and stops it where it gets too
/// deep.
class bounded_builder : public nlohmann::json_sax<json> {
 public:
  bool null() override { return Place(nullptr); }
  bool boolean(bool value) override { return Place(value); }
  bool number_integer(number_integer_t value) override { return Place(value); }
  bool number_unsigned(number_unsigned_t value) override {
    return Place(value);
  }
  bool number_float(number_float_t value, const string_t& /*text*/) override {
    return Place(value);
  }
  bool string(string_t& value) override { return Place(std::move(value)); }
  bool binary(binary_t& value) override {
    return Place(json::binary(std::move(value)));
  }
  bool start_object(std::size_t /*size*/) override {
    return Open(json::object());
  }
  bool start_array(std::size_t /*size*/) override {
    return Open(json::array());
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }
  bool key(string_t& name) override {
    key_ = std::move(name);
    return true;
  }
  bool parse_error(std::size_t /*position*/,
                   const std::string& /*last_token*/,
                   const json::exception& /*error*/) override {
    return false;
  }

  json Take() { return std::move(result_); }

 private:
  json* Store(json value) {
    if (open_.empty()) {
      result_ = std::move(value);
      return &result_;
    }
    json& container = *open_.back();
    if (container.is_array()) {
      container.push_back(std::move(value));
      return &container.back();
    }
    json& slot = container[key_];
    slot = std::move(value);
    return &slot;
  }

  bool Place(json value) {
    Store(std::move(value));
    return true;
  }

  bool Open(json value) {
    if (open_.size() >= kMaxCborNesting) {
      return false;
    }
    open_.push_back(Store(std::move(value)));
    return true;
  }

  bool Close() {
    open_.pop_back();
    return true;
  }

  json result_;
  std::vector<json*> open_;
  std::string key_;
};

}  // namespace

json ParseBoundedCbor(std::string_view bytes) {
  bounded_builder builder;
  const bool read =
      json::sax_parse(bytes, &builder, json::input_format_t::cbor);
  // Braces would make a list of one element.
  return read ? builder.Take() : json(json::value_t::discarded);
}

json RevisionJson(const revision& at) {
  if (at.era() == store_era()) {
    return at.value();
  }
  return json::array({at.era().value(), at.value()});
}

bool ReadRevision(const json& value, revision& out) {
  if (value.is_number_unsigned()) {
    out = revision(value.get<std::uint64_t>());
    return true;
  }
  if (!value.is_array() || value.size() != 2 ||
      !value[0].is_number_unsigned() || !value[1].is_number_unsigned()) {
    return false;
  }
  out = revision(store_era(value[0].get<std::uint64_t>()),
                 value[1].get<std::uint64_t>());
  return true;
}

}  // namespace trefoilmill
