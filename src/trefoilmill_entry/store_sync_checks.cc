/// How store_sync finds out that a watch of the store will never be answered:
/// by the revision that replies about the configuration state.
#include <utility>

#include "platform/store_api.h"
#include "trefoilmill/wire/log_messages.h"
#include "trefoilmill_entry/store_sync.h"
#include "trefoilmill_entry/store_sync_impl.h"

namespace trefoilmill::entry {

// The revision is the same for all kinds. Replies about the configuration come
// most often, and while nothing changes.
void store_sync::ReportRevision(object_kind kind, revision at) {
  if (kind != object_kind::kConfiguration) {
    return;
  }
  for (auto& [other, followed] : followed_kinds_) {
    if (other != kind) {
      RunActions(*followed,
                 followed->follower.OnRevisionStated(loop_.Now(), at));
    }
  }
}

void store_sync::RunAction(followed_kind& followed,
                           const store_follower::check& action) {
  if (seen_.HasAll(action.since, action.until)) {
    OnCheckEnded(followed, object_changes{.events = {}, .as_of = action.until});
    return;
  }
  const std::uint64_t number = followed.call_number;
  client_.Send(
      store_,
      platform::MakeWatchRequest(followed.kind, action.since, duration::zero()),
      action.limit, [this, &followed, number](http_result exchange) {
        if (number != followed.call_number) {
          return;
        }
        const bool is_answered = exchange.response.has_value();
        RecordOutcome(exchange, "check");
        if (is_answered) {
          const auto stated =
              platform::ParseStoreEra(*exchange.response).value_or(store_era());
          ObserveEra(stated);
          if (number != followed.call_number || stated < era_) {
            return;
          }
        }
        if (!followed.follower.is_checking()) {
          // The watch has ended meanwhile, and the next one asks for what
          // this reply brings. It must not count as seen before that.
          return;
        }
        const auto changes = is_answered
                                 ? platform::ParseWatchResponse(
                                       followed.kind, *exchange.response)
                                 : result<watch_result>(failure{});
        if (!changes.has_value()) {
          RunActions(followed, followed.follower.OnCheckFailed(loop_.Now()));
          return;
        }
        OnCheckEnded(followed, changes.value());
      });
}

void store_sync::OnCheckEnded(followed_kind& followed, watch_result result) {
  const auto reported = ChangesIn(followed, result);
  RunActions(followed,
             followed.follower.OnCheck(loop_.Now(), std::move(result)));
  if (reported.has_value()) {
    telemetry_.log->Warning(
        log_message::kWatchDead,
        {.document = document_id(std::string(ToString(followed.kind))),
         .at = followed.follower.as_of(),
         .inputs = {{"changes", static_cast<std::int64_t>(
                                    reported->changes.events.size())}}});
    callbacks_.on_store_changes(followed.kind, *reported);
  }
}

}  // namespace trefoilmill::entry
