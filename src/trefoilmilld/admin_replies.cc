#include "trefoilmilld/admin_replies.h"

#include <variant>

#include "trefoilmill/wire/admin_codec.h"
#include "trefoilmilld/http_replies.h"

namespace trefoilmill {
namespace {

constexpr int kBadRequestStatus = 400;
constexpr int kConflictStatus = 409;
constexpr duration kRetryHint = std::chrono::seconds(1);

http_response ConflictReply(const document_write::conflict& conflict,
                            revision expected,
                            const std::string& mine) {
  const config_conflict both{.expected = expected,
                             .theirs = {.at = conflict.at.value_or(revision(0)),
                                        .document = conflict.stored_body.empty()
                                                        ? "null"
                                                        : conflict.stored_body},
                             .yours = mine};
  return {.status = kConflictStatus, .body = WriteConflict(both)};
}

http_response UnavailableReply(const document_write::unavailable& end) {
  return RefusalReply(
      {}, {.outcome = end.outcome,
           .reason = reason_code::kStoreUnavailable,
           .detail = "the store did not confirm the change; read it back "
                     "before trying again",
           .retry_after = kRetryHint});
}

}  // namespace

http_response ConfigErrorsReply(const std::vector<config_error>& errors) {
  return {.status = kBadRequestStatus, .body = WriteConfigErrors(errors)};
}

http_response WriteEndReply(const write_end& end,
                            revision expected,
                            const std::string& mine) {
  if (const auto* accepted = std::get_if<document_write::accepted>(&end)) {
    return {.body = WriteRevision(accepted->at)};
  }
  if (const auto* conflict = std::get_if<document_write::conflict>(&end)) {
    return ConflictReply(*conflict, expected, mine);
  }
  return UnavailableReply(std::get<document_write::unavailable>(end));
}

}  // namespace trefoilmill
