#include "trefoilmill_entry/store_sync.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "platform/store_api.h"
#include "trefoilmill/wire/log_messages.h"
#include "trefoilmill_entry/store_sync_impl.h"

namespace trefoilmill::entry {
namespace {

/// How soon a connection to a store that vanished is detected.
constexpr duration kDeadPeerTimeout = std::chrono::seconds(2);
/// Largest body of a reply that is accepted: 8 MiB.
constexpr std::size_t kMaxReplyBytes = 8 << 20;
/// After the store was restored, a host checks its record at a random time up
/// to this, by when a peer's copy of the hosts has usually arrived, and so that
/// not all hosts write at once.
constexpr duration kMinAnnounceCheckDelay = std::chrono::milliseconds(500);
constexpr duration kMaxAnnounceCheckDelay = std::chrono::milliseconds(2500);
/// A generator seeded from `random`.
std::mt19937_64 DeriveGenerator(std::mt19937_64& random) {
  return std::mt19937_64(random());
}

}  // namespace

store_sync::store_sync(event_loop& loop,
                       const socket_address& store,
                       const std::string& local_ip,
                       bool follows_rollouts,
                       telemetry& process_telemetry,
                       callbacks on_event,
                       std::mt19937_64 random)
    : loop_(loop),
      store_(store),
      follows_rollouts_(follows_rollouts),
      telemetry_(process_telemetry),
      callbacks_(std::move(on_event)),
      client_(loop,
              local_ip,
              {.max_body_bytes = kMaxReplyBytes,
               .dead_peer_timeout = kDeadPeerTimeout}),
      random_(DeriveGenerator(random)),
      announcement_writer_(DeriveGenerator(random)) {
  for (const object_kind kind : kObjectKinds) {
    followed_kinds_.emplace(
        kind, std::make_unique<followed_kind>(followed_kind{
                  .kind = kind,
                  .follower = store_follower(store_follower::ConfigOf(kind),
                                             DeriveGenerator(random))}));
  }
}

store_sync::~store_sync() = default;

void store_sync::Start() {
  SetWatching(false);
  for (auto& [kind, followed] : followed_kinds_) {
    if (Follows(kind)) {
      RunActions(*followed, followed->follower.Start());
    }
  }
}

bool store_sync::Follows(object_kind kind) const {
  return kind != object_kind::kRollouts || follows_rollouts_;
}

const store_follower& store_sync::Follower(object_kind kind) const {
  return followed_kinds_.at(kind)->follower;
}

bool store_sync::is_fresh() const {
  return Follower(object_kind::kConfiguration).is_fresh(loop_.Now());
}

void store_sync::SetWatching(bool watching) {
  watching_ = watching;
  for (auto& [kind, followed] : followed_kinds_) {
    const bool wanted =
        watching && kind != object_kind::kHosts && Follows(kind);
    RunActions(*followed, followed->follower.SetWatching(wanted));
  }
}

void store_sync::RelistHosts() {
  followed_kind& followed = *followed_kinds_.at(object_kind::kHosts);
  RunActions(followed, followed.follower.Relist());
}

void store_sync::RelistLatestHosts() {
  followed_kind& followed = *followed_kinds_.at(object_kind::kHosts);
  RunActions(followed, followed.follower.RelistLatest());
}

void store_sync::ApplyPeerChanges(object_kind kind,
                                  revision from,
                                  object_changes changes) {
  ObserveEra(changes.as_of.era());
  followed_kind& followed = *followed_kinds_.at(kind);
  if (followed.follower.as_of() < from) {
    telemetry_.log->Info(
        "changes from a peer skip revisions; ignored",
        {.document = document_id(std::string(ToString(kind))),
         .at = followed.follower.as_of(),
         .inputs = {
             {"from", static_cast<std::int64_t>(from.value())},
             {"as_of", static_cast<std::int64_t>(changes.as_of.value())}}});
  }
  RunActions(followed,
             followed.follower.OnPeerChanges(from, std::move(changes)));
}

bool store_sync::ApplyPeerPatch(object_kind kind, const object_patch& patch) {
  ObserveEra(patch.at.era());
  followed_kind& followed = *followed_kinds_.at(kind);
  store_follower::actions actions;
  const bool applied = followed.follower.OnPeerPatch(patch, actions);
  RunActions(followed, actions);
  return applied;
}

void store_sync::ApplyPeerCopy(object_kind kind, store_follower::copy copy) {
  ObserveEra(copy.as_of.era());
  followed_kind& followed = *followed_kinds_.at(kind);
  RunActions(followed, followed.follower.OnPeerCopy(std::move(copy)));
}

void store_sync::ObserveEra(store_era era) {
  if (era_.has_value() && era <= *era_) {
    return;
  }
  const std::optional<store_era> before = std::exchange(era_, era);
  if (!before.has_value()) {
    return;
  }
  telemetry_.log->Warning(
      log_message::kStoreRestored,
      {.at =
           revision(era, Follower(object_kind::kConfiguration).as_of().value()),
       .inputs = {{"era_before", static_cast<std::int64_t>(before->value())},
                  {"watching", std::int64_t{watching_}}}});
  for (auto& [kind, followed] : followed_kinds_) {
    if (Follows(kind)) {
      RunAction(*followed, store_follower::abandon_call{});
      RunActions(*followed, followed->follower.OnStoreRestored(era));
    }
  }
  if (watching_) {
    RelistHosts();
  }
  std::uniform_int_distribution<duration::rep> delay(
      kMinAnnounceCheckDelay.count(), kMaxAnnounceCheckDelay.count());
  announce_check_timer_ = loop_.RunAfter(duration(delay(random_)),
                                         [this] { RestoreAnnouncement(); });
}

void store_sync::RestoreAnnouncement() {
  const store_follower& hosts = Follower(announcement_.kind);
  const auto found = hosts.objects().find(announcement_.name);
  const bool present = hosts.as_of().era() == era_ &&
                       found != hosts.objects().end() &&
                       found->second.content == announcement_.content;
  telemetry_.log->Info(
      present ? "this host's record survived the restoration"
              : "writing this host's record again",
      {.document = document_id(announcement_.name), .at = hosts.as_of()});
  if (!present) {
    SendAnnouncement(announcement_writer_.Begin());
  }
}

std::optional<http_response> store_sync::TakeReply(followed_kind& followed,
                                                   std::uint64_t call_number,
                                                   std::string_view call,
                                                   http_result exchange) {
  RecordOutcome(exchange, call);
  store_era stated;
  if (exchange.response.has_value()) {
    stated = platform::ParseStoreEra(*exchange.response).value_or(store_era());
    ObserveEra(stated);
  }
  if (call_number != followed.call_number) {
    return std::nullopt;
  }
  if (!exchange.response.has_value()) {
    OnCallFailed(followed, exchange.failure_reason);
    return std::nullopt;
  }
  if (stated < era_) {
    failure error;
    error.detail =
        "the reply is of an earlier era than " + std::to_string(era_->value());
    OnReplyUnusable(followed, error);
    return std::nullopt;
  }
  return std::move(exchange.response);
}

void store_sync::RunActions(followed_kind& followed,
                            const store_follower::actions& actions) {
  for (const auto& action : actions) {
    std::visit([&](const auto& a) { RunAction(followed, a); }, action);
  }
}

void store_sync::RunAction(followed_kind& followed,
                           const store_follower::list_page& action) {
  const std::uint64_t number = ++followed.call_number;
  followed.call = client_.Send(
      store_,
      platform::MakeListRequest(followed.kind, action.after,
                                action.may_be_stale),
      action.limit, [this, &followed, number](http_result exchange) {
        const auto response =
            TakeReply(followed, number, "list", std::move(exchange));
        if (!response.has_value()) {
          return;
        }
        auto page = platform::ParseListResponse(followed.kind, *response);
        if (!page.has_value()) {
          OnReplyUnusable(followed, page.error());
          return;
        }
        RunActions(followed, followed.follower.OnPage(loop_.Now(),
                                                      std::move(page.value())));
      });
}

void store_sync::RunAction(followed_kind& followed,
                           const store_follower::watch& action) {
  const std::uint64_t number = ++followed.call_number;
  followed.call = client_.Send(
      store_,
      platform::MakeWatchRequest(followed.kind, action.since, action.wait),
      action.limit, [this, &followed, number](http_result exchange) {
        const auto response =
            TakeReply(followed, number, "watch", std::move(exchange));
        if (!response.has_value()) {
          return;
        }
        auto changes = platform::ParseWatchResponse(followed.kind, *response);
        if (!changes.has_value()) {
          OnReplyUnusable(followed, changes.error());
          return;
        }
        OnWatchEnded(followed, std::move(changes.value()));
      });
}

std::optional<store_sync::store_changes> store_sync::ChangesIn(
    const followed_kind& followed,
    const watch_result& result) {
  const auto* changes = std::get_if<object_changes>(&result);
  if (changes == nullptr || changes->events.empty()) {
    return std::nullopt;
  }
  for (const object_event& event : changes->events) {
    seen_.Add(event.object.at);
  }
  return store_changes{
      .from = followed.follower.changed_at(),
      .changes = *changes,
      .replaced = ReplacedObjects(followed.follower, *changes)};
}

void store_sync::OnWatchEnded(followed_kind& followed, watch_result result) {
  const auto reported = ChangesIn(followed, result);
  const auto* changes = std::get_if<object_changes>(&result);
  const revision stated = changes == nullptr ? revision() : changes->as_of;
  RunActions(followed,
             followed.follower.OnWatch(loop_.Now(), std::move(result)));
  if (reported.has_value()) {
    callbacks_.on_store_changes(followed.kind, *reported);
  }
  ReportRevision(followed.kind, stated);
}

std::vector<stored_object> store_sync::ReplacedObjects(
    const store_follower& follower,
    const object_changes& changes) {
  std::vector<stored_object> replaced;
  for (const object_event& event : changes.events) {
    const auto found = follower.objects().find(event.object.name);
    if (found != follower.objects().end() && found->second.parts != nullptr) {
      replaced.push_back(found->second);
    }
  }
  return replaced;
}

void store_sync::RunAction(followed_kind& followed,
                           const store_follower::abandon_call& /*action*/) {
  ++followed.call_number;
  client_.Cancel(followed.call);
}

void store_sync::RunAction(followed_kind& followed,
                           const store_follower::wake& action) {
  followed.wake_timer =
      loop_.RunAfter(action.at - loop_.Now(), [this, &followed] {
        RunActions(followed, followed.follower.Tick(loop_.Now()));
      });
}

void store_sync::RunAction(followed_kind& followed,
                           const store_follower::content_replaced& /*action*/) {
  telemetry_.log->Info(
      "objects replaced",
      {.document = document_id(std::string(ToString(followed.kind))),
       .at = followed.follower.as_of(),
       .inputs = {{"objects", static_cast<std::int64_t>(
                                  followed.follower.objects().size())}}});
  callbacks_.on_replaced(followed.kind);
}

void store_sync::RunAction(followed_kind& followed,
                           const store_follower::object_changed& action) {
  callbacks_.on_changed(followed.kind, action.event);
}

void store_sync::OnCallFailed(followed_kind& followed,
                              std::optional<http_failure> reason) {
  LogCallFailed(followed, reason.has_value() ? ToString(*reason) : "");
  RunActions(followed, reason == http_failure::kTimeout
                           ? followed.follower.OnNoReply(loop_.Now())
                           : followed.follower.OnFailed(loop_.Now()));
}

void store_sync::OnReplyUnusable(followed_kind& followed,
                                 const failure& error) {
  LogCallFailed(followed, error.detail);
  RunActions(followed, followed.follower.OnFailed(loop_.Now()));
}

void store_sync::LogCallFailed(const followed_kind& followed,
                               std::string_view why) {
  telemetry_.log->Warning(
      "store call failed",
      {.document = document_id(std::string(ToString(followed.kind))),
       .at = followed.follower.as_of(),
       .reason = reason_code::kStoreUnavailable,
       .detail = std::string(why)});
}

void store_sync::RecordOutcome(const http_result& exchange,
                               std::string_view call) {
  const bool reachable = exchange.response.has_value();
  telemetry_.meter->Increment(metric::kStoreCalls,
                              {call, reachable ? "answered" : "failed"});
  if (exchange.failure_reason == http_failure::kTimeout) {
    // Those that are idle may be as dead as the one of this call.
    client_.CloseIdleConnections(store_);
  }
  if (reachability_known_ && reachable == reachable_) {
    return;
  }
  reachability_known_ = true;
  reachable_ = reachable;
  telemetry_.log->Info(reachable ? log_message::kStoreReached
                                 : log_message::kStoreLost);
}

}  // namespace trefoilmill::entry
