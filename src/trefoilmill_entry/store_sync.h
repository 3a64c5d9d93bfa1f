/// Follows the platform's objects: carries out the calls that one
/// store_follower per kind asks for. The only client of the store.
#ifndef TREFOILMILL_ENTRY_STORE_SYNC_H_
#define TREFOILMILL_ENTRY_STORE_SYNC_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "trefoilmill/ids.h"
#include "trefoilmill/net/event_loop.h"
#include "trefoilmill/net/http.h"
#include "trefoilmill/version/store_follower.h"
#include "trefoilmill_entry/telemetry.h"

namespace trefoilmill::entry {

class store_task {
 public:
  struct events {
    /// The whole content of a kind was learned anew.
    std::function<void(object_kind)> replaced;
    /// One object changed.
    std::function<void(object_kind, const object_event&)> changed;
    /// The store itself told of changes, which follow on `from`.
    std::function<void(object_kind, revision from, const object_changes&)>
        learned;
  };

  store_task(event_loop& loop,
             const socket_address& store,
             const std::string& local_ip,
             telemetry& trace,
             events on,
             std::mt19937_64 random);
  ~store_task();

  /// Reads all kinds once; follows them from SetWatching(true) on.
  void Start();
  /// Keeps an object of this host's own in the store, until the store has
  /// confirmed it.
  void Announce(object_kind kind, std::string name, std::string content);
  /// Whether this host watches the store by itself. Hosts' announcements are
  /// never watched: membership tells of hosts sooner.
  void SetWatching(bool watching);
  /// Reads the list of hosts anew.
  void RelistHosts();
  /// Takes in what a peer passed on.
  void OfferChanges(object_kind kind, revision from, object_changes changes);
  /// Takes in a peer's copy.
  void OfferCopy(object_kind kind, store_follower::copy copy);

  const store_follower& Follower(object_kind kind) const;
  /// Whether the store answers this host: judged by the configuration, whose
  /// watch is short.
  bool is_fresh() const;

 private:
  struct followed;

  void Apply(followed& f, const store_follower::actions& actions);
  void Do(followed& f, const store_follower::list_page& action);
  void Do(followed& f, const store_follower::watch& action);
  void Do(followed& f, const store_follower::wake& action);
  void Do(followed& f, const store_follower::replaced& action);
  void Do(followed& f, const store_follower::changed& action);
  void OnWatchEnded(followed& f, watch_result ended);
  void Failed(followed& f, const failure& error);
  void Put(bool create, int failures);
  void NoteReachable(bool reachable, std::string_view call);

  event_loop& loop_;
  socket_address store_;
  telemetry& trace_;
  events on_;
  http_client client_;
  std::map<object_kind, std::unique_ptr<followed>> followed_;
  bool reachable_ = false;
  bool called_ = false;
  struct announcement {
    object_kind kind;
    std::string name;
    std::string content;
  };
  announcement own_;
  timer announce_again_;
};

}  // namespace trefoilmill::entry

#endif  // TREFOILMILL_ENTRY_STORE_SYNC_H_
