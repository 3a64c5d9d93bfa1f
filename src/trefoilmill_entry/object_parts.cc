#include "trefoilmill_entry/object_parts.h"

#include <memory>
#include <utility>

#include "platform/documents.h"
#include "trefoilmill/wire/document_splitter.h"

namespace trefoilmill::entry {

void TakeApart(object_kind kind, stored_object& object) {
  if (kind != object_kind::kConfiguration || object.parts != nullptr) {
    return;
  }
  auto parts = platform::SplitConfiguration(object.content);
  if (parts.has_value()) {
    object.parts = std::make_shared<const part_set>(std::move(parts.value()));
    object.content.clear();
  }
}

std::string TextOf(const stored_object& object) {
  return object.parts == nullptr ? object.content : JoinDocument(*object.parts);
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
