#include "located_json.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace trefoilmill {
namespace {

/// Where the parser has read to.
struct read_position {
  int line = 1;
  /// The last character was a line's end, which may be one past a number.
  bool at_line_end = false;

  int value_line() const { return at_line_end ? line - 1 : line; }
};

/// Reads characters and counts lines on the way.
class counting_iterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  counting_iterator(const char* at, read_position* position)
      : at_(at), position_(position) {}

  reference operator*() const { return *at_; }

  counting_iterator& operator++() {
    position_->at_line_end = *at_ == '\n';
    position_->line += position_->at_line_end ? 1 : 0;
    ++at_;
    return *this;
  }

  friend bool operator==(const counting_iterator& a,
                         const counting_iterator& b) {
    return a.at_ == b.at_;
  }

 private:
  const char* at_;
  read_position* position_;
};

/// Drops the library's prefix from its message.
std::string SyntaxMessage(const std::string& what) {
  const std::string mark = ": ";
  const auto found = what.find(mark);
  return found == std::string::npos ? what : what.substr(found + mark.size());
}

/// Builds the value and the map of places from the parser's events.
class locating_handler : public nlohmann::json_sax<json> {
 public:
  locating_handler(std::string file, const read_position& position)
      : file_(std::move(file)), position_(position) {}

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
  bool binary(binary_t& /*value*/) override { return false; }
  bool start_object(std::size_t /*size*/) override {
    return Open(json::object());
  }
  bool start_array(std::size_t /*size*/) override {
    return Open(json::array());
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }

  bool key(string_t& name) override {
    frame& object = open_.back();
    object.key = name;
    if (object.container->contains(name)) {
      AddError(MemberPath(object.path, name), "key occurs twice");
    }
    return true;
  }

  bool parse_error(std::size_t /*position*/,
                   const std::string& /*last_token*/,
                   const json::exception& error) override {
    const std::string path = open_.empty() ? "" : open_.back().path;
    AddError(path, SyntaxMessage(error.what()));
    return false;
  }

  located_json Take() {
    if (!result_.errors.empty()) {
      result_.value = nullptr;
    }
    return std::move(result_);
  }

 private:
  struct frame {
    json* container;
    std::string path;
    std::string key;
  };

  void AddError(const std::string& path, std::string message) {
    result_.errors.push_back({.file = file_,
                              .line = position_.value_line(),
                              .key = path,
                              .message = std::move(message)});
  }

  std::string NextPath() const {
    if (open_.empty()) {
      return "";
    }
    const frame& top = open_.back();
    return top.container->is_array()
               ? ElementPath(top.path, top.container->size())
               : MemberPath(top.path, top.key);
  }

  json* Store(json value) {
    if (open_.empty()) {
      result_.value = std::move(value);
      return &result_.value;
    }
    json& container = *open_.back().container;
    if (container.is_array()) {
      container.push_back(std::move(value));
      return &container.back();
    }
    json& slot = container[open_.back().key];
    slot = std::move(value);
    return &slot;
  }

  bool Place(json value) {
    result_.places[NextPath()] = {.file = file_,
                                  .line = position_.value_line()};
    Store(std::move(value));
    return true;
  }

  bool Open(json value) {
    const std::string path = NextPath();
    if (open_.size() >= kMaxNesting) {
      AddError(path, "nested deeper than " + std::to_string(kMaxNesting));
      return false;
    }
    result_.places[path] = {.file = file_, .line = position_.value_line()};
    json* container = Store(std::move(value));
    open_.push_back({.container = container, .path = path, .key = ""});
    return true;
  }

  bool Close() {
    open_.pop_back();
    return true;
  }

  std::string file_;
  const read_position& position_;
  located_json result_;
  std::vector<frame> open_;
};

/// Deepest nesting of brackets outside strings; exact for well-formed texts.
std::size_t NestingOf(const std::string& text) {
  std::size_t depth = 0;
  std::size_t deepest = 0;
  bool in_string = false;
  bool escaped = false;
  for (const char c : text) {
    if (in_string) {
      in_string = c != '"' || escaped;
      escaped = c == '\\' && !escaped;
    } else if (c == '"') {
      in_string = true;
      escaped = false;
    } else if (c == '[' || c == '{') {
      deepest = std::max(deepest, ++depth);
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return deepest;
}

}  // namespace

located_json ParseLocatedJson(const std::string& text,
                              const std::string& file) {
  read_position position;
  locating_handler handler(file, position);
  const char* begin = text.data();
  const char* end = begin + text.size();
  json::sax_parse(counting_iterator(begin, &position),
                  counting_iterator(end, &position), &handler,
                  json::input_format_t::json, /*strict=*/true,
                  /*ignore_comments=*/true);
  return handler.Take();
}

std::string MemberPath(const std::string& path, const std::string& key) {
  return path.empty() ? key : path + "." + key;
}

std::string ElementPath(const std::string& path, std::size_t index) {
  return path + "[" + std::to_string(index) + "]";
}

json ParseStrictJson(const std::string& text) {
  if (NestingOf(text) > kMaxNesting) {
    // Braces would make a list of one element.
    return json(json::value_t::discarded);
  }
  return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

std::string Dump(const json& value, int indent) {
  return value.dump(indent, ' ', /*ensure_ascii=*/false,
                    json::error_handler_t::replace);
}

}  // namespace trefoilmill
