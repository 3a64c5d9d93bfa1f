/// Counts the calls that fleets of several sizes make to a store that was
/// restored from an older copy: all hosts learn of it within a moment, and the
/// store bears a limited number of calls a second.
#define BOOST_TEST_MODULE store_restore_calls
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

#include "trefoilmill/process/store_watcher_role.h"
#include "trefoilmill/version/store_follower.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Calls a second that the store bears at a fleet of `hosts`.
struct store_rates {
  std::size_t hosts = 0;
  std::size_t writes = 0;
  std::size_t reads = 0;
};
/// As the sites publish them.
constexpr store_rates kPublishedRates[] = {
    {.hosts = 9, .writes = 400, .reads = 2000},
    {.hosts = 79, .writes = 1200, .reads = 6000},
    {.hosts = 195, .writes = 3200, .reads = 16000}};

/// The rates of the nearest smaller fleet that are published.
store_rates RatesFor(std::size_t hosts) {
  store_rates found = kPublishedRates[0];
  for (const store_rates& published : kPublishedRates) {
    if (published.hosts <= hosts) {
      found = published;
    }
  }
  return found;
}

constexpr std::size_t kZones = 5;
constexpr std::size_t kEndpoints = 150;
/// Objects in a page of a list.
constexpr std::size_t kPageSize = 100;
/// Time of a call to the store, and of a message between hosts.
constexpr duration kCallTime = milliseconds(4);
constexpr duration kMessageTime = milliseconds(1);
/// How the entry process uses its followers, see store_sync and peer_gossip.
constexpr duration kHeartbeat = milliseconds(500);
constexpr duration kMinCopyDelay = milliseconds(150);
constexpr duration kMaxCopyDelay = milliseconds(250);
constexpr duration kMinRecordCheck = milliseconds(500);
constexpr duration kMaxRecordCheck = milliseconds(2500);
constexpr duration kConfigurationWait = milliseconds(1500);
constexpr duration kEndpointsDelay = milliseconds(250);

/// What happens around the restoration.
enum class situation {
  kCalm,      ///< Designated hosts watch; the others hear of it from them.
  kOutage,    ///< The store is down before, so that in the end all hosts watch.
  kCutOff,    ///< No message between hosts arrives afterwards.
  kAllWatch,  ///< Every host watches, for whatever reason.
};

/// A fleet on a clock of its own, and the calls that it makes.
class fleet {
 public:
  fleet(std::size_t hosts, situation played) : situation_(played) {
    Write(object_kind::kConfiguration, "main");
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      Write(object_kind::kEndpoints, "e" + std::to_string(i));
    }
    for (std::size_t i = 0; i < hosts; ++i) {
      hosts_.push_back(MakeHost(i));
      Write(object_kind::kHosts, hosts_.back().id.value());
    }
    for (model_host& host : hosts_) {
      AssignRole(host);
      for (auto& [kind, followed] : host.followed) {
        Run(host, kind, followed.follower.SetWatching(false));
        Run(host, kind, followed.follower.Start());
      }
      At(now_ + Between(duration::zero(), kHeartbeat),
         [this, &host] { RunHeartbeat(host); });
    }
  }

  void RunFor(duration length) {
    const time_point end = now_ + length;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto next = events_.extract(events_.begin());
      now_ = next.key();
      next.mapped()();
    }
    now_ = end;
  }
  /// Calls to the store fail from now on, also those that wait.
  void TakeStoreDown() {
    is_down_ = true;
    EndWatches();
  }
  /// The store comes back without this many of the hosts' records, or changes
  /// to that state; watches end.
  void Restore(std::size_t lost_records) {
    is_down_ = false;
    era_ = store_era(era_.value() + 1);
    restored_ = true;
    reads_.clear();
    writes_.clear();
    auto& records = objects_[object_kind::kHosts];
    records.erase(
        records.begin(),
        std::next(records.begin(), static_cast<std::ptrdiff_t>(lost_records)));
    EndWatches();
  }

  std::size_t BusiestReads() const { return Busiest(reads_); }
  std::size_t BusiestWrites() const { return Busiest(writes_); }
  std::size_t reads() const { return reads_.size(); }
  std::size_t writes() const { return writes_.size(); }
  std::size_t Watchers() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(hosts_, &model_host::watching));
  }
  /// Whether every host knows the store's era, and has the objects of it. A
  /// kind that was and is empty is not passed on.
  bool IsUpToDate() const {
    return std::ranges::all_of(hosts_, [this](const model_host& host) {
      return host.era == era_ &&
             std::ranges::all_of(host.followed, [this](const auto& entry) {
               const auto& [kind, followed] = entry;
               return followed.follower.as_of().era() == era_ ||
                      (followed.follower.objects().empty() && IsEmpty(kind));
             });
    });
  }
  bool HasAllRecords() const {
    return objects_.at(object_kind::kHosts).size() == hosts_.size();
  }

 private:
  struct followed_kind {
    store_follower follower;
    std::uint64_t call = 0;
  };
  struct model_host {
    host_id id;
    std::size_t zone = 0;
    store_watcher_role role;
    std::map<object_kind, followed_kind> followed;
    std::optional<store_era> era;
    bool watching = false;
  };

  model_host MakeHost(std::size_t number) {
    const host_id id("h" + std::to_string(number));
    model_host host{.id = id,
                    .zone = number % kZones,
                    .role = store_watcher_role(id, {}, now_),
                    .followed = {},
                    .era = {}};
    for (const object_kind kind : kObjectKinds) {
      store_follower::config config;
      if (kind == object_kind::kConfiguration) {
        config.max_watch_wait = kConfigurationWait;
      }
      if (kind == object_kind::kEndpoints) {
        config.change_delay = kEndpointsDelay;
      }
      host.followed.emplace(
          kind, followed_kind{.follower = store_follower(
                                  config, std::mt19937_64(random_()))});
    }
    return host;
  }
  void AssignRole(model_host& host) {
    std::vector<host_id> zone_hosts;
    for (const model_host& other : hosts_) {
      if (other.zone == host.zone) {
        zone_hosts.push_back(other.id);
      }
    }
    host.role.SetZoneHosts(zone_hosts, kZones);
  }

  void EndWatches() {
    for (auto& [id, reply] : std::exchange(waiting_watches_, {})) {
      At(now_ + kCallTime, reply);
    }
  }
  void CountCall(std::vector<time_point>& calls) const {
    if (!is_down_) {
      calls.push_back(now_);
    }
  }
  bool IsEmpty(object_kind kind) const {
    const auto found = objects_.find(kind);
    return found == objects_.end() || found->second.empty();
  }
  void At(time_point at, std::function<void()> run) {
    events_.emplace(at, std::move(run));
  }
  duration Between(duration from, duration to) {
    std::uniform_int_distribution<duration::rep> drawn(from.count(),
                                                       to.count());
    return duration(drawn(random_));
  }
  void Write(object_kind kind, const std::string& name) {
    ++number_;
    objects_[kind].insert_or_assign(name, number_);
  }
  static std::size_t Busiest(const std::vector<time_point>& calls) {
    std::size_t most = 0;
    for (auto first = calls.begin(); first != calls.end(); ++first) {
      const auto end =
          std::lower_bound(first, calls.end(), *first + seconds(1));
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
  }

  /// Decides whether the host watches, and tells its zone if it does.
  void RunHeartbeat(model_host& host) {
    At(now_ + kHeartbeat, [this, &host] { RunHeartbeat(host); });
    host.watching =
        situation_ == situation::kAllWatch || host.role.ShouldWatch(now_);
    for (auto& [kind, followed] : host.followed) {
      const bool wanted = host.watching && kind != object_kind::kHosts;
      Run(host, kind, followed.follower.SetWatching(wanted));
    }
    const bool is_cut_off = situation_ == situation::kCutOff && restored_;
    if (!host.watching || is_cut_off) {
      return;
    }
    for (model_host& to : hosts_) {
      if (to.zone == host.zone && to.id != host.id) {
        At(now_ + kMessageTime, [this, &host, &to] { Feed(host, to); });
      }
    }
  }
  void Feed(const model_host& from, model_host& to) {
    if (from.followed.at(object_kind::kConfiguration).follower.is_fresh(now_)) {
      to.role.OnStoreFeed(now_);
    }
    for (const auto& [kind, followed] : from.followed) {
      if (followed.follower.has_content()) {
        Observe(to, followed.follower.changed_at().era());
      }
      if (followed.follower.changed_at() >
          to.followed.at(kind).follower.as_of()) {
        At(now_ + Between(kMinCopyDelay, kMaxCopyDelay),
           [this, &from, &to, kind] { Copy(from, to, kind); });
      }
    }
  }
  void Copy(const model_host& from, model_host& to, object_kind kind) {
    const auto copy = from.followed.at(kind).follower.MakeCopy();
    Observe(to, copy.as_of.era());
    Run(to, kind, to.followed.at(kind).follower.OnPeerCopy(copy));
  }
  void Observe(model_host& host, store_era era) {
    if (host.era.has_value() && era <= *host.era) {
      return;
    }
    if (!std::exchange(host.era, era).has_value()) {
      return;
    }
    for (auto& [kind, followed] : host.followed) {
      ++followed.call;
      Run(host, kind, followed.follower.OnStoreRestored(era));
    }
    if (host.watching) {
      Run(host, object_kind::kHosts,
          host.followed.at(object_kind::kHosts).follower.Relist());
    }
    At(now_ + Between(kMinRecordCheck, kMaxRecordCheck),
       [this, &host] { CheckRecord(host); });
  }
  /// Writes the host's record unless its copy of the hosts has it.
  void CheckRecord(const model_host& host) {
    const store_follower& known =
        host.followed.at(object_kind::kHosts).follower;
    if (known.as_of().era() == host.era &&
        known.objects().contains(host.id.value())) {
      return;
    }
    writes_.push_back(now_);
    if (objects_[object_kind::kHosts].contains(host.id.value())) {
      // It exists: it is replaced in a second call.
      At(now_ + kCallTime, [this] { writes_.push_back(now_); });
    }
    Write(object_kind::kHosts, host.id.value());
  }

  void Run(model_host& host,
           object_kind kind,
           const store_follower::actions& actions) {
    for (const auto& action : actions) {
      std::visit([&](const auto& a) { RunOne(host, kind, a); }, action);
    }
  }
  void RunOne(model_host& host,
              object_kind kind,
              const store_follower::list_page& action) {
    CountCall(reads_);
    const std::uint64_t call = ++host.followed.at(kind).call;
    At(now_ + kCallTime, [this, &host, kind, call, after = action.after] {
      if (TakesReply(host, kind, call)) {
        Run(host, kind,
            host.followed.at(kind).follower.OnPage(now_, Page(kind, after)));
      }
    });
  }
  // Revisions that replies about other kinds state are not passed on here, so
  // that no watch is checked.
  void RunOne(model_host& /*host*/,
              object_kind /*kind*/,
              const store_follower::check& /*action*/) {
    BOOST_ERROR("a watch is checked");
  }
  void RunOne(model_host& /*host*/,
              object_kind /*kind*/,
              const store_follower::abandon_call& /*action*/) {
    BOOST_ERROR("a call is abandoned");
  }
  void RunOne(model_host& host,
              object_kind kind,
              const store_follower::watch& action) {
    CountCall(reads_);
    const std::uint64_t call = ++host.followed.at(kind).call;
    const auto reply = [this, &host, kind, call, since = action.since] {
      if (TakesReply(host, kind, call)) {
        Run(host, kind,
            host.followed.at(kind).follower.OnWatch(now_, Changes(since)));
      }
    };
    if (action.wait == duration::zero()) {
      At(now_ + kCallTime, reply);
      return;
    }
    const std::uint64_t id = ++last_watch_;
    waiting_watches_[id] = reply;
    At(now_ + action.wait, [this, id] {
      const auto waiting = waiting_watches_.extract(id);
      if (!waiting.empty()) {
        waiting.mapped()();
      }
    });
  }
  void RunOne(model_host& host,
              object_kind kind,
              const store_follower::wake& action) {
    At(action.at, [this, &host, kind] {
      Run(host, kind, host.followed.at(kind).follower.Tick(now_));
    });
  }
  void RunOne(model_host& /*host*/,
              object_kind /*kind*/,
              const store_follower::content_replaced& /*action*/) {}
  void RunOne(model_host& /*host*/,
              object_kind /*kind*/,
              const store_follower::object_changed& /*action*/) {}

  /// A call ended. Returns whether the follower still waits for its reply.
  bool TakesReply(model_host& host, object_kind kind, std::uint64_t call) {
    if (!is_down_) {
      Observe(host, era_);
    }
    followed_kind& followed = host.followed.at(kind);
    if (call != followed.call) {
      return false;
    }
    if (is_down_) {
      Run(host, kind, followed.follower.OnFailed(now_));
    }
    return !is_down_;
  }
  object_page Page(object_kind kind, const std::string& after) {
    object_page page{
        .items = {}, .has_more = false, .as_of = revision(era_, number_)};
    const auto& objects = objects_[kind];
    for (auto next = objects.upper_bound(after); next != objects.end();
         ++next) {
      if (page.items.size() == kPageSize) {
        page.has_more = true;
        break;
      }
      page.items.push_back({.name = next->first,
                            .at = revision(era_, next->second),
                            .content = "{}"});
    }
    return page;
  }
  /// Only hosts' records are written, which nobody watches.
  watch_result Changes(revision since) const {
    if (since.era() < era_) {
      return history_compacted{};
    }
    return object_changes{.events = {}, .as_of = revision(era_, number_)};
  }

  const situation situation_;
  bool is_down_ = false;
  std::mt19937_64 random_{1};
  time_point now_{seconds(1)};
  std::multimap<time_point, std::function<void()>> events_;
  std::vector<model_host> hosts_;
  store_era era_{1};
  std::uint64_t number_ = 0;
  std::map<object_kind, std::map<std::string, std::uint64_t>> objects_;
  std::map<std::uint64_t, std::function<void()>> waiting_watches_;
  std::uint64_t last_watch_ = 0;
  bool restored_ = false;
  std::vector<time_point> reads_;
  std::vector<time_point> writes_;
};

constexpr std::size_t kFleetSizes[] = {30, 100, 300};
constexpr duration kCalmTime = seconds(10);
constexpr duration kOutageTime = seconds(5);
constexpr duration kObserved = seconds(8);

void CheckCalls(std::size_t hosts, situation what, std::size_t lost) {
  fleet played(hosts, what);
  played.RunFor(kCalmTime);
  if (what == situation::kOutage) {
    played.TakeStoreDown();
    played.RunFor(kOutageTime);
  }
  const std::size_t watching = played.Watchers();
  played.Restore(lost);
  played.RunFor(kObserved);
  const store_rates borne = RatesFor(hosts);
  BOOST_TEST_MESSAGE(watching << " watch; busiest second "
                              << played.BusiestReads() << " of " << borne.reads
                              << " reads and " << played.BusiestWrites()
                              << " of " << borne.writes << " writes; in 8 s "
                              << played.reads() << " and " << played.writes());
  BOOST_TEST(played.IsUpToDate());
  BOOST_TEST(played.HasAllRecords());
  BOOST_TEST(played.reads() > 0U);
  BOOST_TEST(played.BusiestReads() <= borne.reads);
  BOOST_TEST(played.BusiestWrites() <= borne.writes);
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_restored_store_bears_the_calls_that_follow) {
  const std::pair<situation, const char*> situations[] = {
      {situation::kCalm, "designated hosts watch"},
      {situation::kOutage, "after an outage of 5 s"},
      {situation::kCutOff, "no message between hosts arrives"},
      {situation::kAllWatch, "all hosts watch"}};
  for (const std::size_t hosts : kFleetSizes) {
    for (const auto& [what, name] : situations) {
      // The copy is older or newer than all hosts.
      for (const std::size_t lost : {hosts, std::size_t{0}}) {
        BOOST_TEST_CONTEXT(hosts << " hosts, " << name
                                 << ", records lost: " << lost) {
          CheckCalls(hosts, what, lost);
        }
      }
    }
  }
}

// While the hosts talk to each other, most learn from a peer's copy that their
// record survived.
BOOST_AUTO_TEST_CASE(hosts_whose_records_survive_write_nothing) {
  for (const std::size_t hosts : kFleetSizes) {
    BOOST_TEST_CONTEXT(hosts << " hosts") {
      fleet played(hosts, situation::kCalm);
      played.RunFor(kCalmTime);
      played.Restore(0);
      played.RunFor(kObserved);
      BOOST_TEST_MESSAGE(hosts << " hosts: " << played.writes()
                               << " writes though no record was lost");
      BOOST_TEST(played.IsUpToDate());
      BOOST_TEST(played.writes() == 0U);
    }
  }
}

}  // namespace trefoilmill
