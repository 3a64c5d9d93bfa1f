/// Operators' changes of stored documents: carries out document_write.
#ifndef TREFOILMILLD_DOCUMENT_WRITER_H_
#define TREFOILMILLD_DOCUMENT_WRITER_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "trefoilmill/document_write.h"
#include "trefoilmill/ids.h"
#include "trefoilmilld/document_task.h"
#include "trefoilmilld/store_client.h"

namespace trefoilmill {

using write_end = std::variant<document_write::accepted,
                               document_write::conflict,
                               document_write::unavailable>;

class document_writer {
 public:
  using on_end = std::function<void(const write_end&)>;

  document_writer(store_client& store, document_task& documents);

  /// Writes `body` over `expected` (unset: only where there is none). An
  /// accepted change is put in force here at once and spreads from here.
  void Write(const document_id& id,
             std::optional<revision> expected,
             const std::string& body,
             on_end done);

 private:
  struct write_state;
  void Perform(const std::shared_ptr<write_state>& state,
               const document_write::actions& actions);
  void Do(const std::shared_ptr<write_state>& state,
          const document_write::store_put& action);
  void Do(const std::shared_ptr<write_state>& state,
          const document_write::store_get& action);
  void Do(const std::shared_ptr<write_state>& state,
          const document_write::accepted& action);
  void Do(const std::shared_ptr<write_state>& state,
          const document_write::conflict& action);
  void Do(const std::shared_ptr<write_state>& state,
          const document_write::unavailable& action);

  store_client& store_;
  document_task& documents_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILLD_DOCUMENT_WRITER_H_
