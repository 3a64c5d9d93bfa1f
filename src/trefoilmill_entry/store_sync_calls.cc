/// Single calls of store_sync, which no store_follower asks for: lists of kinds
/// of which no copy is kept, and writes.
#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "platform/store_api.h"
#include "trefoilmill/wire/log_messages.h"
#include "trefoilmill_entry/store_sync.h"

namespace trefoilmill::entry {
namespace {

/// HTTP status of the store's reply if the object exists already.
constexpr int kHttpConflict = 409;
/// The same if there is no such object.
constexpr int kHttpNotFound = 404;
/// Delay after a failed list of a kind of which no copy is kept.
constexpr duration kListRetryDelay = std::chrono::milliseconds(500);

record_writer::outcome OutcomeOf(const http_result& exchange) {
  if (!exchange.response.has_value()) {
    return exchange.failure_reason == http_failure::kTimeout
               ? record_writer::outcome::kNoReply
               : record_writer::outcome::kFailed;
  }
  const int status = exchange.response->status;
  if (status / 100 == 2) {
    return record_writer::outcome::kStored;
  }
  if (status == kHttpConflict) {
    return record_writer::outcome::kExists;
  }
  return status == kHttpNotFound ? record_writer::outcome::kMissing
                                 : record_writer::outcome::kFailed;
}

}  // namespace

int store_sync::TakeSingleReply(std::string_view call,
                                const http_result& exchange) {
  RecordOutcome(exchange, call);
  if (!exchange.response.has_value()) {
    return 0;
  }
  if (const auto era = platform::ParseStoreEra(*exchange.response)) {
    ObserveEra(*era);
  }
  return exchange.response->status;
}

void store_sync::ListOnce(object_kind kind, list_callback done) {
  ListNextPage(std::make_shared<single_list>(
      single_list{.kind = kind, .done = std::move(done)}));
}

void store_sync::ListNextPage(const std::shared_ptr<single_list>& list) {
  client_.Send(
      store_,
      platform::MakeListRequest(list->kind, list->after, /*allow_stale=*/true),
      kCallTimeout, [this, list](const http_result& exchange) {
        OnSinglePage(list, exchange);
      });
}

void store_sync::OnSinglePage(const std::shared_ptr<single_list>& list,
                              const http_result& exchange) {
  TakeSingleReply("list", exchange);
  auto page = exchange.response.has_value()
                  ? platform::ParseListResponse(list->kind, *exchange.response)
                  : failure{};
  if (!page.has_value()) {
    telemetry_.log->Warning(
        "store call failed",
        {.document = document_id(std::string(ToString(list->kind))),
         .reason = reason_code::kStoreUnavailable,
         .detail = page.error().detail});
    list->retry =
        loop_.RunAfter(kListRetryDelay, [this, list] { ListNextPage(list); });
    return;
  }
  std::ranges::move(page.value().items, std::back_inserter(list->items));
  if (page.value().has_more && !list->items.empty()) {
    list->after = list->items.back().name;
    ListNextPage(list);
    return;
  }
  list->done(list->items);
}

void store_sync::CreateOnce(object_kind kind,
                            const std::string& name,
                            const std::string& content,
                            stored_callback stored) {
  client_.Send(
      store_, platform::MakeCreateRequest(kind, name, content), kCallTimeout,
      [this, name, stored = std::move(stored)](const http_result& exchange) {
        const int status = TakeSingleReply("write", exchange);
        if (status / 100 == 2 || status == kHttpConflict) {
          stored(era_.value_or(store_era()));
          return;
        }
        telemetry_.log->Warning("store call failed",
                                {.document = document_id(name),
                                 .reason = reason_code::kStoreUnavailable,
                                 .inputs = {{"status", std::int64_t{status}}}});
      });
}

void store_sync::WriteRolloutState(const rollout_order& order,
                                   rollout_state state,
                                   revision at) {
  client_.Send(
      store_, platform::MakeRolloutStateRequest(order, state, at), kCallTimeout,
      [this, service = order.service, state](const http_result& exchange) {
        const int status = TakeSingleReply("write", exchange);
        const bool is_written = status / 100 == 2;
        // After a conflict the list shows the state that is in the store.
        telemetry_.log->Info(
            is_written ? log_message::kRolloutStateWritten
                       : "state of a roll-out not written",
            {.document = document_id(service.value()),
             .reason = is_written ? reason_code::kNone
                                  : reason_code::kStoreUnavailable,
             .detail = std::string(ToString(state)),
             .inputs = {{"status", std::int64_t{status}}}});
      });
}

void store_sync::Delete(object_kind kind, const std::string& name) {
  client_.Send(store_, platform::MakeDeleteRequest(kind, name), kCallTimeout,
               [this, name](const http_result& exchange) {
                 const int status = TakeSingleReply("delete", exchange);
                 if (status / 100 == 2 || status == kHttpNotFound) {
                   return;
                 }
                 telemetry_.log->Warning(
                     "store call failed",
                     {.document = document_id(name),
                      .reason = reason_code::kStoreUnavailable,
                      .inputs = {{"status", std::int64_t{status}}}});
               });
}

void store_sync::Announce(object_kind kind,
                          std::string name,
                          std::string content) {
  announcement_ = {
      .kind = kind, .name = std::move(name), .content = std::move(content)};
  SendAnnouncement(announcement_writer_.Begin());
}

void store_sync::SendAnnouncement(const record_writer::attempt& attempt) {
  client_.Cancel(announcement_call_);
  const bool creates = attempt.next == record_writer::call::kCreate;
  announce_retry_timer_ = loop_.RunAfter(attempt.delay, [this, creates] {
    const auto& [kind, name, content] = announcement_;
    announcement_call_ = client_.Send(
        store_,
        creates ? platform::MakeCreateRequest(kind, name, content)
                : platform::MakeReplaceRequest(kind, name, content),
        kCallTimeout,
        [this](const http_result& exchange) { OnAnnouncementEnded(exchange); });
  });
}

void store_sync::OnAnnouncementEnded(const http_result& exchange) {
  const int status = TakeSingleReply("write", exchange);
  const auto next = announcement_writer_.OnEnded(OutcomeOf(exchange));
  if (next.has_value()) {
    SendAnnouncement(*next);
    return;
  }
  if (!announcement_writer_.is_late()) {
    return;
  }
  telemetry_.log->Info("this host's record was written late",
                       {.document = document_id(announcement_.name),
                        .inputs = {{"status", std::int64_t{status}}}});
  RelistLatestHosts();
}

}  // namespace trefoilmill::entry
