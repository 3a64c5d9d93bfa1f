#include "trefoilmill_entry/store_sync.h"

#include <algorithm>
#include <utility>

#include "platform/store_dialect.h"
#include "trefoilmill/wire/log_messages.h"

namespace trefoilmill::entry {
namespace {

/// Time limit of a call that the store answers at once; a slow store takes a
/// few tenths of a second.
constexpr duration kCallTimeout = std::chrono::milliseconds(2000);
/// What a watch may take beyond the time that the store was asked to wait.
constexpr duration kWatchGrace = std::chrono::milliseconds(1500);
/// How soon a connection that leads nowhere is noticed.
constexpr duration kDeadPeerTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxReplyBytes = 8 << 20;
/// Between attempts to announce this host, times the failures so far.
constexpr duration kAnnouncePause = std::chrono::milliseconds(400);
constexpr int kMaxPauses = 10;
constexpr int kConflict = 409;

/// The configuration's watch is short: it also shows that the store answers.
/// Longer ones cost fewer calls.
constexpr duration kShortWatch = std::chrono::milliseconds(1500);
/// Endpoints change often, a few at a time, and may serve on for seconds.
constexpr duration kEndpointsSettle = std::chrono::milliseconds(250);

store_follower::config FollowerConfig(object_kind kind) {
  store_follower::config config;
  if (kind == object_kind::kConfiguration) {
    config.watch_wait = kShortWatch;
  }
  if (kind == object_kind::kEndpoints) {
    config.settle = kEndpointsSettle;
  }
  return config;
}

std::mt19937_64 Fork(std::mt19937_64& random) {
  return std::mt19937_64(random());
}

}  // namespace

struct store_task::followed {
  object_kind kind;
  store_follower follower;
  timer wake;
};

store_task::store_task(event_loop& loop,
                       const socket_address& store,
                       const std::string& local_ip,
                       telemetry& trace,
                       events on,
                       std::mt19937_64 random)
    : loop_(loop),
      store_(store),
      trace_(trace),
      on_(std::move(on)),
      client_(loop,
              local_ip,
              {.max_body_bytes = kMaxReplyBytes,
               .dead_peer_timeout = kDeadPeerTimeout}) {
  for (const object_kind kind : kObjectKinds) {
    followed_.emplace(
        kind,
        std::make_unique<followed>(followed{
            .kind = kind,
            .follower = store_follower(FollowerConfig(kind), Fork(random))}));
  }
}

store_task::~store_task() = default;

void store_task::Start() {
  SetWatching(false);
  for (auto& [kind, f] : followed_) {
    Apply(*f, f->follower.Start());
  }
}

const store_follower& store_task::Follower(object_kind kind) const {
  return followed_.at(kind)->follower;
}

bool store_task::is_fresh() const {
  return Follower(object_kind::kConfiguration).is_fresh(loop_.Now());
}

void store_task::SetWatching(bool watching) {
  for (auto& [kind, f] : followed_) {
    const bool wanted = watching && kind != object_kind::kHosts;
    Apply(*f, f->follower.SetWatching(wanted));
  }
}

void store_task::RelistHosts() {
  followed& f = *followed_.at(object_kind::kHosts);
  Apply(f, f.follower.Relist());
}

void store_task::OfferChanges(object_kind kind,
                              revision from,
                              object_changes changes) {
  followed& f = *followed_.at(kind);
  if (f.follower.as_of() < from) {
    trace_.log->Info(
        "fed changes leave a gap",
        {.document = document_id(std::string(ToString(kind))),
         .at = f.follower.as_of(),
         .inputs = {
             {"from", static_cast<std::int64_t>(from.value())},
             {"as_of", static_cast<std::int64_t>(changes.as_of.value())}}});
  }
  Apply(f, f.follower.OnFedChanges(from, std::move(changes)));
}

void store_task::OfferCopy(object_kind kind, store_follower::copy copy) {
  followed& f = *followed_.at(kind);
  Apply(f, f.follower.OnCopy(std::move(copy)));
}

void store_task::Apply(followed& f, const store_follower::actions& actions) {
  for (const auto& action : actions) {
    std::visit([&](const auto& a) { Do(f, a); }, action);
  }
}

void store_task::Do(followed& f, const store_follower::list_page& action) {
  client_.Send(
      store_, platform::ListRequest(f.kind, action.after, action.may_be_stale),
      kCallTimeout, [this, &f](http_exchange ended) {
        NoteReachable(ended.response.has_value(), "list");
        if (!ended.response.has_value()) {
          Failed(f, {});
          return;
        }
        auto page = platform::ParsePage(*ended.response);
        if (!page.has_value()) {
          Failed(f, page.error());
          return;
        }
        Apply(f, f.follower.OnPage(loop_.Now(), std::move(page.value())));
      });
}

void store_task::Do(followed& f, const store_follower::watch& action) {
  client_.Send(store_,
               platform::WatchRequest(f.kind, action.since, action.wait),
               action.wait + kWatchGrace, [this, &f](http_exchange ended) {
                 NoteReachable(ended.response.has_value(), "watch");
                 if (!ended.response.has_value()) {
                   Failed(f, {});
                   return;
                 }
                 auto changes = platform::ParseChanges(*ended.response);
                 if (!changes.has_value()) {
                   Failed(f, changes.error());
                   return;
                 }
                 OnWatchEnded(f, std::move(changes.value()));
               });
}

void store_task::OnWatchEnded(followed& f, watch_result ended) {
  const revision from = f.follower.changed_at();
  std::optional<object_changes> news;
  if (const auto* changes = std::get_if<object_changes>(&ended);
      changes != nullptr && !changes->events.empty()) {
    news = *changes;
  }
  Apply(f, f.follower.OnWatch(loop_.Now(), std::move(ended)));
  if (news.has_value()) {
    on_.learned(f.kind, from, *news);
  }
}

void store_task::Do(followed& f, const store_follower::wake& action) {
  f.wake = loop_.After(action.at - loop_.Now(),
                       [this, &f] { Apply(f, f.follower.Tick(loop_.Now())); });
}

void store_task::Do(followed& f, const store_follower::replaced& /*action*/) {
  trace_.log->Info("objects learned anew",
                   {.document = document_id(std::string(ToString(f.kind))),
                    .at = f.follower.as_of(),
                    .inputs = {{"objects", static_cast<std::int64_t>(
                                               f.follower.objects().size())}}});
  on_.replaced(f.kind);
}

void store_task::Do(followed& f, const store_follower::changed& action) {
  on_.changed(f.kind, action.event);
}

void store_task::Failed(followed& f, const failure& error) {
  trace_.log->Warning("call to the store failed",
                      {.document = document_id(std::string(ToString(f.kind))),
                       .at = f.follower.as_of(),
                       .reason = reason_code::kStoreUnavailable,
                       .detail = error.detail});
  Apply(f, f.follower.OnFailed(loop_.Now()));
}

void store_task::NoteReachable(bool reachable, std::string_view call) {
  trace_.values->Count(metric::kStoreCalls,
                       {call, reachable ? "answered" : "failed"});
  if (called_ && reachable == reachable_) {
    return;
  }
  called_ = true;
  reachable_ = reachable;
  trace_.log->Info(reachable ? log_message::kStoreReached
                             : log_message::kStoreLost);
}

void store_task::Announce(object_kind kind,
                          std::string name,
                          std::string content) {
  own_ = {.kind = kind, .name = std::move(name), .content = std::move(content)};
  Put(/*create=*/true, 0);
}

// A create that met an older object of this host, or whose answer was lost, is
// followed by a replacement: both lead to the same content.
void store_task::Put(bool create, int failures) {
  const http_request request =
      create ? platform::CreateRequest(own_.kind, own_.name, own_.content)
             : platform::ReplaceRequest(own_.kind, own_.name, own_.content);
  client_.Send(store_, request, kCallTimeout, [=, this](http_exchange ended) {
    NoteReachable(ended.response.has_value(), "write");
    const int status = ended.response.has_value() ? ended.response->status : 0;
    if (status / 100 == 2) {
      return;
    }
    const bool exists = status == kConflict;
    const int times = std::min(failures + 1, kMaxPauses);
    const duration pause = exists ? duration::zero() : kAnnouncePause * times;
    const bool create_next = exists ? false : !create || failures == 0;
    announce_again_ = loop_.After(
        pause, [=, this] { Put(create_next, exists ? failures : times); });
  });
}

}  // namespace trefoilmill::entry
