#include "trefoilmill/wire/document_splitter.h"

#include <simdjson.h>

#include <map>
#include <memory>
#include <utility>

#include "wire_json.h"

namespace trefoilmill {
namespace {

namespace ondemand = simdjson::ondemand;

void InsertPart(part_set& out, std::string section, std::string_view text) {
  out.Insert(std::make_shared<const part>(std::move(section), revision(),
                                          std::string(text)));
}

simdjson::error_code SplitList(const std::string& name,
                               ondemand::array list,
                               part_set& out) {
  bool is_empty = true;
  for (auto element : list) {
    ondemand::value value;
    std::string_view text;
    if (const auto error = element.get(value)) {
      return error;
    }
    if (const auto error = simdjson::to_json_string(value).get(text)) {
      return error;
    }
    InsertPart(out, name + kElementSuffix, text);
    is_empty = false;
  }
  if (is_empty) {
    InsertPart(out, name, "[]");
  }
  return simdjson::SUCCESS;
}

simdjson::error_code SplitMember(ondemand::field member, part_set& out) {
  std::string_view key;
  if (const auto error = member.unescaped_key().get(key)) {
    return error;
  }
  const std::string name(key);
  ondemand::value value = member.value();
  ondemand::json_type type{};
  if (const auto error = value.type().get(type)) {
    return error;
  }
  if (type == ondemand::json_type::array) {
    ondemand::array list;
    if (const auto error = value.get_array().get(list)) {
      return error;
    }
    return SplitList(name, list, out);
  }
  std::string_view text;
  if (const auto error = simdjson::to_json_string(value).get(text)) {
    return error;
  }
  // A name with the suffix of lists would be taken for one of their elements.
  if (!name.ends_with(kElementSuffix)) {
    InsertPart(out, name, text);
  }
  return simdjson::SUCCESS;
}

simdjson::error_code Split(std::string_view text, part_set& out) {
  const simdjson::padded_string padded(text);
  ondemand::parser parser;
  ondemand::document document;
  if (const auto error = parser.iterate(padded).get(document)) {
    return error;
  }
  ondemand::object root;
  if (const auto error = document.get_object().get(root)) {
    return error;
  }
  for (auto member : root) {
    ondemand::field field;
    if (const auto error = std::move(member).get(field)) {
      return error;
    }
    if (const auto error = SplitMember(field, out)) {
      return error;
    }
  }
  const bool at_end =
      document.current_location().error() == simdjson::OUT_OF_BOUNDS;
  return at_end ? simdjson::SUCCESS : simdjson::TRAILING_CONTENT;
}

}  // namespace

result<part_set> SplitDocument(std::string_view text) {
  part_set parts;
  if (const auto error = Split(text, parts)) {
    return Malformed(reason_code::kBadRequest,
                     std::string("the document is not a valid JSON object: ") +
                         simdjson::error_message(error));
  }
  return parts;
}

std::string JoinDocument(const part_set& parts) {
  std::map<std::string, std::string> lists;
  std::string text = "{";
  const auto add_member = [&](const std::string& name, const std::string& value,
                              const char* closing) {
    text += (text.size() > 1 ? "," : "") + Dump(json(name)) + ":" + value;
    text += closing;
  };
  for (const shared_part& p : parts.Parts()) {
    if (!p->section().ends_with(kElementSuffix)) {
      add_member(p->section(), p->text(), "");
      continue;
    }
    std::string& list = lists[p->section()];
    list += (list.empty() ? "[" : ",") + p->text();
  }
  for (const auto& [section, list] : lists) {
    add_member(
        section.substr(0, section.size() - std::size(kElementSuffix) + 1), list,
        "]");
  }
  return text + "}";
}

}  // namespace trefoilmill
