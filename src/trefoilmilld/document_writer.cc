#include "trefoilmilld/document_writer.h"

#include <memory>
#include <utility>

namespace trefoilmill {
namespace {

document_write::put_reply ToPutReply(const write_result& written) {
  if (const auto* done = std::get_if<object_written>(&written)) {
    return document_write::put_written{.at = done->at};
  }
  if (std::holds_alternative<write_conflict>(written)) {
    return document_write::put_conflict{};
  }
  return document_write::put_unknown{};
}

document_write::get_reply ToGetReply(const read_result& read) {
  if (const auto* found = std::get_if<object_found>(&read)) {
    return document_write::get_found{.at = found->at, .body = found->body};
  }
  if (std::holds_alternative<object_absent>(read)) {
    return document_write::get_absent{};
  }
  return document_write::get_failed{};
}

}  // namespace

/// Lives until the write's end.
struct document_writer::write_state {
  document_id id;
  std::string body;
  document_write decider;
  on_end done;
};

document_writer::document_writer(store_client& store, document_task& documents)
    : store_(store), documents_(documents) {}

void document_writer::Write(const document_id& id,
                            std::optional<revision> expected,
                            const std::string& body,
                            on_end done) {
  auto state = std::make_shared<write_state>(
      write_state{.id = id,
                  .body = body,
                  .decider = document_write(expected, body),
                  .done = std::move(done)});
  Perform(state, state->decider.Start());
}

void document_writer::Perform(const std::shared_ptr<write_state>& state,
                              const document_write::actions& actions) {
  for (const auto& action : actions) {
    std::visit([this, &state](const auto& a) { Do(state, a); }, action);
  }
}

void document_writer::Do(const std::shared_ptr<write_state>& state,
                         const document_write::store_put& action) {
  store_.Write(state->id.value(), action.expected, action.body,
               [this, state](const write_result& written) {
                 Perform(state, state->decider.PutReply(ToPutReply(written)));
               });
}

void document_writer::Do(const std::shared_ptr<write_state>& state,
                         const document_write::store_get& /*action*/) {
  store_.Read(state->id.value(), [this, state](const read_result& read) {
    Perform(state, state->decider.GetReply(ToGetReply(read)));
  });
}

void document_writer::Do(const std::shared_ptr<write_state>& state,
                         const document_write::accepted& action) {
  documents_.OnWritten(state->id, action.at, state->body);
  state->done(action);
}

void document_writer::Do(const std::shared_ptr<write_state>& state,
                         const document_write::conflict& action) {
  state->done(action);
}

void document_writer::Do(const std::shared_ptr<write_state>& state,
                         const document_write::unavailable& action) {
  state->done(action);
}

}  // namespace trefoilmill
