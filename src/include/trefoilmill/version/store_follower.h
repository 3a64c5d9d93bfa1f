/// Keeps a copy of all objects of one kind up to date: lists them, watches for
/// changes, lists again when the store lost its history, and takes a newer copy
/// from a peer while the store cannot be reached.
///
/// The shell carries out the calls and reports how they ended. At most one call
/// is under way.
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

class store_follower {
 public:
  struct config {
    /// How long one watch waits at the store.
    duration watch_wait = std::chrono::seconds(25);
    /// Pause after news, so that changes in quick succession cost one call.
    duration settle = std::chrono::milliseconds(100);
    /// First and longest pause after a failed call.
    duration first_backoff = std::chrono::milliseconds(150);
    duration longest_backoff = std::chrono::milliseconds(1000);
  };

  /// A copy as it travels between hosts.
  struct copy {
    revision as_of;
    std::vector<stored_object> objects;
  };

  /// @name Actions
  /// @{
  struct list_page {
    std::string after;
    /// An older state of the store does: what follows it is watched or heard
    /// from peers. Such a call costs less.
    bool may_be_stale = false;
  };
  struct watch {
    revision since;
    duration wait;
  };
  /// Call Tick() at this time.
  struct wake {
    time_point at;
  };
  /// The whole content was learned anew.
  struct replaced {};
  /// One object was written or deleted.
  struct changed {
    object_event event;
  };
  using action = std::variant<list_page, watch, wake, replaced, changed>;
  using actions = std::vector<action>;
  /// @}

  store_follower(const config& settings, std::mt19937_64 random);

  actions Start();
  actions OnPage(time_point now, object_page page);
  actions OnWatch(time_point now, watch_result result);
  /// The call under way had no usable answer.
  actions OnFailed(time_point now);
  actions Tick(time_point now);
  /// Whether this host watches the store by itself. What is under way goes on.
  actions SetWatching(bool watching);
  /// Lists everything anew, unless a call is under way.
  actions Relist();
  /// A peer passed changes on, which follow on a copy that shows `from`.
  /// Nothing is taken if this host's copy is older than that.
  actions OnFedChanges(revision from, object_changes changes);
  /// A peer's copy arrived. Taken if it shows a later revision of the store.
  actions OnCopy(copy peer);

  /// Whether there is any content, from the store or a peer.
  bool has_content() const { return as_of_ != revision(); }
  /// Whether the store answered within the last watch and kFreshGrace: a
  /// connection that went silent is noticed by it.
  bool is_fresh(time_point now) const;
  revision as_of() const { return as_of_; }
  /// The revision of the store by which the content last changed.
  revision changed_at() const { return changed_at_; }
  const std::map<std::string, stored_object>& objects() const {
    return objects_;
  }
  copy Copy() const;

 private:
  enum class stage { kIdle, kListing, kWatching, kPausing };

  actions Next();
  void Adopt(std::vector<stored_object> objects, revision as_of, actions& out);
  void ApplyEvents(std::vector<object_event> events, actions& out);
  action Pause(time_point now, duration length);

  config config_;
  std::mt19937_64 random_;
  stage stage_ = stage::kIdle;
  time_point resume_at_;
  /// The store's content was read by this process.
  bool listed_ = false;
  /// The next list must show the store's latest state: an older one may lie
  /// before the history that the store still has.
  bool exact_list_ = false;
  /// A watch was answered, or is the first under way: the next one need not
  /// prove that the store answers.
  bool was_watching_ = false;
  int failures_ = 0;
  time_point last_answer_;
  revision as_of_;
  revision changed_at_;
  bool watching_ = true;
  std::map<std::string, stored_object> objects_;
  /// Items of the list so far, and the revision of its first page.
  std::vector<stored_object> page_items_;
  revision pages_as_of_;
  std::string after_;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_VERSION_STORE_FOLLOWER_H_
