#include "trefoilmill_entry/object_parts.h"

#include <memory>
#include <utility>

#include "platform/documents.h"
#include "trefoilmill/wire/document_splitter.h"

namespace trefoilmill::entry {

void SplitContent(object_kind kind, stored_object& object) {
  if (kind != object_kind::kConfiguration || object.parts != nullptr) {
    return;
  }
  auto parts = platform::SplitConfiguration(object.content);
  if (parts.has_value()) {
    object.parts = std::make_shared<const part_set>(std::move(parts.value()));
    object.content.clear();
  }
}

object_parts PartsOf(object_kind kind, const store_follower& follower) {
  object_parts whole;
  if (kind == object_kind::kConfiguration) {
    const auto found =
        follower.objects().find(platform::kConfigurationObjectName);
    if (found != follower.objects().end() && found->second.parts != nullptr) {
      whole.parts = *found->second.parts;
      whole.document = {.name = found->second.name, .at = found->second.at};
    }
    return whole;
  }
  for (const auto& [name, object] : follower.objects()) {
    whole.parts.Insert(
        std::make_shared<const part>(name, object.at, object.content));
  }
  return whole;
}

store_follower::copy CopyOf(const object_parts& whole, revision as_of) {
  store_follower::copy copy{.as_of = as_of, .objects = {}};
  if (whole.document.has_value()) {
    stored_object object{.name = whole.document->name,
                         .at = whole.document->at};
    object.parts = std::make_shared<const part_set>(whole.parts);
    copy.objects.push_back(std::move(object));
    return copy;
  }
  for (const shared_part& p : whole.parts.Parts()) {
    copy.objects.push_back(
        {.name = p->section(), .at = p->at(), .content = p->text()});
  }
  return copy;
}

store_follower::copy WithTexts(store_follower::copy copy) {
  for (stored_object& object : copy.objects) {
    if (object.parts != nullptr) {
      object.content = JoinDocument(*object.parts);
      object.parts = nullptr;
    }
  }
  return copy;
}

}  // namespace trefoilmill::entry
