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

/// Delay between attempts to announce this host, multiplied by the number of
/// failures but by no more than kMaxAnnounceDelayFactor.
constexpr duration kAnnounceRetryDelay = std::chrono::milliseconds(400);
constexpr int kMaxAnnounceDelayFactor = 10;
/// HTTP status of the store's reply if the object exists already.
constexpr int kHttpConflict = 409;
/// The same if there is no such object.
constexpr int kHttpNotFound = 404;
/// Delay after a failed list of a kind of which no copy is kept.
constexpr duration kListRetryDelay = std::chrono::milliseconds(500);

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
  SendAnnouncement(/*create=*/true, 0);
}

// A create is followed by a replace if the object exists, perhaps from an
// earlier process of this host, or if creates keep failing: the reply to one
// may have been lost. Both store the same content.
void store_sync::SendAnnouncement(bool create, int failures) {
  const http_request request =
      create
          ? platform::MakeCreateRequest(announcement_.kind, announcement_.name,
                                        announcement_.content)
          : platform::MakeReplaceRequest(announcement_.kind, announcement_.name,
                                         announcement_.content);
  client_.Send(store_, request, kCallTimeout, [=, this](http_result exchange) {
    RecordOutcome(exchange, "write");
    int status = 0;
    if (exchange.response.has_value()) {
      status = exchange.response->status;
      if (const auto era = platform::ParseStoreEra(*exchange.response)) {
        ObserveEra(*era);
      }
    }
    if (status / 100 == 2) {
      return;
    }
    const bool exists = status == kHttpConflict;
    const int delay_factor = std::min(failures + 1, kMaxAnnounceDelayFactor);
    const duration delay =
        exists ? duration::zero() : kAnnounceRetryDelay * delay_factor;
    const bool create_next = exists ? false : !create || failures == 0;
    announce_retry_timer_ = loop_.RunAfter(delay, [=, this] {
      SendAnnouncement(create_next, exists ? failures : delay_factor);
    });
  });
}

}  // namespace trefoilmill::entry
