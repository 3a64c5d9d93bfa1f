/// Keeps local copies of the platform's objects up to date: makes the calls to
/// the store that one store_follower per kind of object asks for. The only
/// client of the store in this process.
#ifndef TREFOILMILL_ENTRY_STORE_SYNC_H_
#define TREFOILMILL_ENTRY_STORE_SYNC_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/version/record_writer.h"
#include "trefoilmill/version/rollout.h"
#include "trefoilmill/version/seen_revisions.h"
#include "trefoilmill/version/store_follower.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

/// Used on the event loop's thread only. Failed calls are logged, counted and
/// retried; none is reported to the owner.
class store_sync {
 public:
  /// Changes that the store reported.
  struct store_changes {
    /// They follow this revision.
    revision from;
    object_changes changes;
    /// The objects that they replace, of those that are split into parts.
    std::vector<stored_object> replaced;
  };

  struct callbacks {
    /// All objects of a kind were replaced.
    std::function<void(object_kind)> on_replaced;
    /// One object was written or deleted.
    std::function<void(object_kind, const object_event&)> on_changed;
    /// The store, rather than a peer, reported changes.
    std::function<void(object_kind, const store_changes&)> on_store_changes;
  };

  /// Calls the store at `store` from the address `local_ip`. Orders of
  /// roll-outs are followed only if the deployment has any.
  store_sync(event_loop& loop,
             const socket_address& store,
             const std::string& local_ip,
             bool follows_rollouts,
             telemetry& process_telemetry,
             callbacks on_event,
             std::mt19937_64 random);
  ~store_sync();

  /// Lists all kinds once. Changes are watched after SetWatching(true).
  void Start();
  /// Writes an object that belongs to this host, and retries until the store
  /// confirms it.
  void Announce(object_kind kind, std::string name, std::string content);
  /// Lists a kind of which no copy is kept, and retries until the store
  /// replies. The list may be seconds old.
  using list_callback = std::function<void(const std::vector<stored_object>&)>;
  void ListOnce(object_kind kind, list_callback done);
  /// Creates an object, once. `stored` is called with the store's era if the
  /// object is there, from this call or before; a failure is logged.
  using stored_callback = std::function<void(store_era)>;
  void CreateOnce(object_kind kind,
                  const std::string& name,
                  const std::string& content,
                  stored_callback stored);
  /// Writes the state of a roll-out, once, unless its order has changed since
  /// `at`. The followed list shows whether that succeeded.
  void WriteRolloutState(const rollout_order& order,
                         rollout_state state,
                         revision at);
  /// Deletes an object, once; a failure is logged.
  void Delete(object_kind kind, const std::string& name);
  /// Sets whether this host watches the store itself. The list of hosts is
  /// never watched: membership reports changes of hosts sooner.
  void SetWatching(bool watching);
  /// Lists the hosts again.
  void RelistHosts();
  /// Applies changes that a peer forwarded. They are ignored if the local copy
  /// is older than `from`.
  void ApplyPeerChanges(object_kind kind,
                        revision from,
                        object_changes changes);
  /// Applies a peer's patch to the object that it is for. Returns whether this
  /// host had the version that the patch starts from.
  bool ApplyPeerPatch(object_kind kind, const object_patch& patch);
  /// Applies a peer's copy if it is newer than the local one.
  void ApplyPeerCopy(object_kind kind, store_follower::copy copy);
  /// The store, or a peer, is in `era`. A later one than before means that the
  /// store was restored from an older copy: calls in progress are void, hosts
  /// that watch the store list it again, and this host's record is written
  /// again if the store has lost it.
  void ObserveEra(store_era era);

  /// The store's era; unset until the store or a peer stated one.
  std::optional<store_era> era() const { return era_; }
  /// The local copy of a kind.
  const store_follower& Follower(object_kind kind) const;
  /// Whether the store answers this host. Judged by the configuration, whose
  /// watches are the shortest.
  bool is_fresh() const;

 private:
  /// Limit of a call that the store answers immediately. A slow store takes a
  /// few tenths of a second.
  static constexpr duration kCallTimeout = std::chrono::milliseconds(2000);

  struct followed_kind;

  /// Whether this deployment uses the kind.
  bool Follows(object_kind kind) const;
  void RunActions(followed_kind& followed,
                  const store_follower::actions& actions);
  void RunAction(followed_kind& followed,
                 const store_follower::list_page& action);
  void RunAction(followed_kind& followed, const store_follower::watch& action);
  void RunAction(followed_kind& followed, const store_follower::check& action);
  void RunAction(followed_kind& followed,
                 const store_follower::abandon_call& action);
  void RunAction(followed_kind& followed, const store_follower::wake& action);
  void RunAction(followed_kind& followed,
                 const store_follower::content_replaced& action);
  void RunAction(followed_kind& followed,
                 const store_follower::object_changed& action);
  /// Handles what all replies to a follower's call have in common. Returns the
  /// response if the follower still waits for it; otherwise the reply is void
  /// or the failure has been handled.
  std::optional<http_response> TakeReply(followed_kind& followed,
                                         std::uint64_t call_number,
                                         std::string_view call,
                                         http_result exchange);
  void OnWatchEnded(followed_kind& followed, watch_result result);
  /// A check of a watch ended.
  void OnCheckEnded(followed_kind& followed, watch_result result);
  /// The store stated its revision in a reply about objects of `kind`.
  void ReportRevision(object_kind kind, revision at);
  /// What a reply to a watch changes, for the hosts that hear of it from this
  /// one; unset if nothing.
  std::optional<store_changes> ChangesIn(const followed_kind& followed,
                                         const watch_result& result);
  /// The present versions of changed objects that are split into parts.
  static std::vector<stored_object> ReplacedObjects(
      const store_follower& follower,
      const object_changes& changes);
  /// Writes the announced object again unless the store has it in this era.
  void RestoreAnnouncement();
  /// A follower's call had no response.
  void OnCallFailed(followed_kind& followed,
                    std::optional<http_failure> reason);
  /// A follower's call had a response that cannot be read, or is outdated.
  void OnReplyUnusable(followed_kind& followed, const failure& error);
  void LogCallFailed(const followed_kind& followed, std::string_view why);
  /// A list in progress that ListOnce() began.
  struct single_list {
    object_kind kind;
    list_callback done;
    std::vector<stored_object> items;
    /// The name of the last item; empty before the first page.
    std::string after;
    timer retry;
  };
  void ListNextPage(const std::shared_ptr<single_list>& list);
  void OnSinglePage(const std::shared_ptr<single_list>& list,
                    const http_result& exchange);
  /// Handles what all replies to single calls have in common; returns the
  /// response's status, or 0 without a response.
  int TakeSingleReply(std::string_view call, const http_result& exchange);
  /// Writes the announced object after a delay, and again until the store
  /// confirms it.
  void SendAnnouncement(const record_writer::attempt& attempt);
  void OnAnnouncementEnded(const http_result& exchange);
  /// Lists the hosts once more: those whose records came late did not find each
  /// other in lists made before.
  void RelistLatestHosts();
  /// Counts a call, logs when the store became reachable or unreachable, and
  /// drops the connections that a call without a reply makes doubtful.
  void RecordOutcome(const http_result& exchange, std::string_view call);

  event_loop& loop_;
  socket_address store_;
  bool follows_rollouts_;
  telemetry& telemetry_;
  callbacks callbacks_;
  http_client client_;
  std::map<object_kind, std::unique_ptr<followed_kind>> followed_kinds_;
  std::mt19937_64 random_;
  seen_revisions seen_;
  bool watching_ = false;
  /// The store's era; unset until the store or a peer stated one.
  std::optional<store_era> era_;
  bool reachable_ = false;
  /// Whether any call has ended, so that `reachable_` is known.
  bool reachability_known_ = false;
  /// The object that this host keeps in the store.
  struct announcement {
    object_kind kind;
    std::string name;
    std::string content;
  };
  announcement announcement_;
  record_writer announcement_writer_;
  http_client::request_handle announcement_call_ = 0;
  timer announce_retry_timer_;
  timer announce_check_timer_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_STORE_SYNC_H_
