#include "trefoilmill/document_write.h"

#include <utility>

namespace trefoilmill {
namespace {

/// Failed reads after which the write ends as unavailable.
constexpr int kMaxFailedReads = 3;

}  // namespace

document_write::document_write(std::optional<revision> expected,
                               std::string body)
    : expected_(expected), body_(std::move(body)) {}

document_write::actions document_write::Start() {
  return {store_put{.expected = expected_, .body = body_}};
}

document_write::actions document_write::PutReply(const put_reply& reply) {
  if (const auto* written = std::get_if<put_written>(&reply)) {
    return {accepted{.at = written->at}};
  }
  result_unknown_ = std::holds_alternative<put_unknown>(reply);
  return {store_get{}};
}

document_write::actions document_write::GetReply(const get_reply& reply) {
  if (std::holds_alternative<get_failed>(reply)) {
    ++failed_reads_;
    if (failed_reads_ < kMaxFailedReads) {
      return {store_get{}};
    }
    return {unavailable{.outcome = result_unknown_ ? verdict::kMayHaveRun
                                                   : verdict::kNotRun}};
  }
  const auto* found = std::get_if<get_found>(&reply);
  if (found == nullptr) {
    // No object is stored, but a delayed write may still take effect.
    if (result_unknown_) {
      return {unavailable{.outcome = verdict::kMayHaveRun}};
    }
    return {conflict{}};
  }
  if (result_unknown_ && IsOwnWrite(*found)) {
    return {accepted{.at = found->at}};
  }
  if (result_unknown_) {
    // If the object is unchanged, a delayed write may still take effect. If it
    // changed, the write may have been stored and then overwritten.
    return {unavailable{.outcome = verdict::kMayHaveRun}};
  }
  return {conflict{.at = found->at, .stored_body = found->body}};
}

bool document_write::IsOwnWrite(const get_found& found) const {
  const revision expected_revision = expected_.value_or(revision(0));
  return found.at > expected_revision && found.body == body_;
}

}  // namespace trefoilmill
