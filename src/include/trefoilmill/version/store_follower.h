/// Local copy of all stored objects of one kind. It is filled by a list, kept
/// up to date by watches, and listed again if the store no longer has the
/// history. A peer's newer copy replaces it, also while the store is
/// unreachable.
#ifndef TREFOILMILL_VERSION_STORE_FOLLOWER_H_
#define TREFOILMILL_VERSION_STORE_FOLLOWER_H_

#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "trefoilmill/ids.h"
#include "trefoilmill/time.h"
#include "trefoilmill/version/stored_object.h"

namespace trefoilmill {

/// State machine that performs no I/O and reads no clock: its user carries out
/// the returned actions and reports how they ended. At most one call to the
/// store is in progress, and beside a watch one that checks it: a store that
/// falls silent may never answer a watch that it received meanwhile, and the
/// watch alone does not show that.
class store_follower {
 public:
  /// Long-poll time of watches, and delays between calls.
  struct config {
    /// How long the store may hold a watch open without changes.
    duration max_watch_wait = std::chrono::seconds(25);
    /// Delay after a change, so that changes in quick succession cost one call.
    duration change_delay = std::chrono::milliseconds(100);
    /// Delay after a first failed call; doubles with each further failure, up
    /// to `max_backoff`. After a call without a reply it does not grow: the
    /// limit of that call has kept the calls apart.
    duration initial_backoff = std::chrono::milliseconds(150);
    duration max_backoff = std::chrono::milliseconds(1000);
    /// How long a watch may take to bring a change whose revision the store has
    /// stated otherwise, until it is checked. The replies to two watches that
    /// the same change ends arrive less than this apart, unless the store is
    /// slow.
    duration check_delay = std::chrono::milliseconds(100);
  };

  /// Limit of a call that the store answers without a wait: a page of a list,
  /// or the first watch after a failure. A slow store takes some tenths of a
  /// second.
  static constexpr duration kCallLimit = std::chrono::milliseconds(2000);
  /// How much longer other watches may take than the wait that the store was
  /// asked for. With the longest watch of the configuration it is how long a
  /// store that fell silent stays unnoticed.
  static constexpr duration kReplyMargin = std::chrono::milliseconds(700);

  /// The settings with which a kind is followed.
  static config ConfigOf(object_kind kind);

  /// The objects in the form that hosts send to each other.
  struct copy {
    revision as_of;
    std::vector<stored_object> objects;
  };

  /// @name Actions
  /// @{
  /// List the objects whose names follow `after`; an empty name lists from the
  /// start.
  struct list_page {
    std::string after;
    /// Whether the store may reply with an older state, which costs less. The
    /// watch that follows, or a peer, supplies later changes.
    bool may_be_stale = false;
    /// The call fails without a reply by then.
    duration limit = kCallLimit;
  };
  /// Request the changes after revision `since`, waiting up to `wait` for one.
  struct watch {
    revision since;
    duration wait;
    /// The call fails without a reply by then.
    duration limit;
  };
  /// Find out whether there are changes after revision `since`, up to `until`,
  /// beside the watch in progress, and report them to OnCheck(): request them
  /// at once, unless it is known that there are none.
  struct check {
    revision since;
    revision until;
    /// The check fails without a reply by then.
    duration limit = kReplyMargin;
  };
  /// The call in progress is void: its reply must not be reported.
  struct abandon_call {};
  /// Call Tick() at this time.
  struct wake {
    time_point at;
  };
  /// The whole content was replaced.
  struct content_replaced {};
  /// One object was written or deleted.
  struct object_changed {
    object_event event;
  };
  using action = std::variant<list_page,
                              watch,
                              check,
                              abandon_call,
                              wake,
                              content_replaced,
                              object_changed>;
  using actions = std::vector<action>;
  /// @}

  /// `random` supplies the jitter of delays.
  store_follower(const config& settings, std::mt19937_64 random);

  /// Requests the first page of the list.
  actions Start();
  /// A page of the list arrived.
  actions OnPage(time_point now, object_page page);
  /// A watch ended, with or without changes.
  actions OnWatch(time_point now, watch_result result);
  /// The store stated revision `at` in a reply about other objects. If the
  /// watch in progress does not reach it soon, it is checked.
  actions OnRevisionStated(time_point now, revision at);
  /// A check ended. Changes mean that the watch in progress is dead.
  actions OnCheck(time_point now, watch_result result);
  /// A check failed.
  actions OnCheckFailed(time_point now);
  /// Whether the result of a check is still waited for.
  bool is_checking() const { return check_stage_ == check_stage::kInProgress; }
  /// The call in progress failed or returned an unusable reply.
  actions OnFailed(time_point now);
  /// The call in progress had no reply within its limit.
  actions OnNoReply(time_point now);
  /// The store was restored from an older copy and is now in `era`. The call in
  /// progress, if any, is void: its reply must not be reported. A host that
  /// watches the store, or has no list yet, lists the latest state; others wait
  /// for a peer's copy. The content stays until either arrives.
  actions OnStoreRestored(store_era era);
  /// Continues after a delay, once the time of the last `wake` is reached.
  actions Tick(time_point now);
  /// Sets whether this host watches the store itself. A call in progress is not
  /// cancelled.
  actions SetWatching(bool watching);
  /// Lists all objects again. Does nothing while a call or a delay is in
  /// progress.
  actions Relist();
  /// Lists the latest state of all objects, after the call or the delay in
  /// progress.
  actions RelistLatest();
  /// A peer forwarded changes to a copy at revision `from`. They are ignored if
  /// this host's copy is older than `from`, or already as new as the changes.
  actions OnPeerChanges(revision from, object_changes changes);
  /// A peer sent what differs between two versions of an object that is split
  /// into parts. Ignored, with a return value of false, unless this host has
  /// the earlier of the two and the result is what the sender has.
  bool OnPeerPatch(const object_patch& patch, actions& out);
  /// A peer sent its copy, which replaces this one if its revision is later.
  actions OnPeerCopy(copy peer);

  /// Whether there is content, from the store or a peer.
  bool has_content() const { return as_of_ != revision(); }
  /// Whether this process has listed the store, its last call succeeded, and
  /// the reply is no older than the longest watch plus a grace period. The age
  /// limit detects a connection that became silent without a reset.
  bool is_fresh(time_point now) const;
  /// Store revision up to which the content is known to be current.
  revision as_of() const { return as_of_; }
  /// Store revision at which the content last changed.
  revision changed_at() const { return changed_at_; }
  /// The objects by name.
  const std::map<std::string, stored_object>& objects() const {
    return objects_;
  }
  /// Returns the content for a peer, as of changed_at().
  copy MakeCopy() const;

 private:
  enum class stage { kIdle, kListing, kWatching, kDelaying };
  /// Of the watch in progress.
  enum class check_stage { kNone, kScheduled, kInProgress };

  actions StartNextCall();
  /// Checks the watch in progress if it is time to and it still is behind.
  actions CheckIfDue(time_point now);
  void ReplaceContent(std::vector<stored_object> objects,
                      revision as_of,
                      actions& out);
  void ApplyEvents(std::vector<object_event> events, actions& out);
  /// Notes that a call failed, and waits for about `delay` before the next one.
  actions RetryAfter(time_point now, duration delay);
  action StartDelay(time_point now, duration length);

  config config_;
  std::mt19937_64 random_;
  stage stage_ = stage::kIdle;
  check_stage check_stage_ = check_stage::kNone;
  /// When the watch is checked, and the revision that it has to reach by then.
  time_point check_at_;
  revision stated_;
  /// When the current delay ends.
  time_point resume_at_;
  /// This process has read a complete list from the store.
  bool listed_ = false;
  /// The next list must show the store's latest state: an older one may precede
  /// the history that the store still has.
  bool requires_latest_list_ = false;
  /// A list is wanted after the call or the delay in progress.
  bool relist_pending_ = false;
  /// The first watch since the last failure or idle period was sent. It returns
  /// at once to prove that the store answers; later ones wait for changes.
  bool probe_sent_ = false;
  int consecutive_failures_ = 0;
  time_point last_reply_at_;
  revision as_of_;
  revision changed_at_;
  bool watch_enabled_ = true;
  std::map<std::string, stored_object> objects_;
  /// Items of the list in progress, the revision of its first page, and the
  /// name of its last item; the name is empty if no list is in progress.
  std::vector<stored_object> list_items_;
  revision list_as_of_;
  std::string list_after_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_STORE_FOLLOWER_H_
