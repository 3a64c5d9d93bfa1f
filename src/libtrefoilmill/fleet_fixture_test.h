/// Simulates the membership, ownership and document state machines of several
/// hosts on a simulated clock, with fault injection.
#ifndef TREFOILMILL_FLEET_FIXTURE_TEST_H_
#define TREFOILMILL_FLEET_FIXTURE_TEST_H_

#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <ranges>

#include "trefoilmill/document_sync.h"
#include "trefoilmill/membership.h"
#include "trefoilmill/ownership.h"

namespace trefoilmill {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Simulated time between two steps of a host.
inline constexpr duration kStepInterval = milliseconds(50);
/// Longest deadline of a request.
inline constexpr duration kMaxDeadline = seconds(2);
/// The document that the hosts synchronize.
inline const document_id synced_document("deployment");

/// An injected fault. `a` and `b` select hosts, modulo the number of hosts.
struct fault {
  enum class kind {
    kPartition,        ///< Splits the hosts in two groups by the bits of `b`;
                       ///< messages between the groups are dropped.
    kOneWayPartition,  ///< Messages from `a` to `b` are dropped.
    kPause,            ///< The process of `a` does not run.
    kRestart,          ///< `a` restarts at once and loses its state.
    kCrash,            ///< `a` stops without notice and restarts at the end.
    kStoreDown,        ///< Calls to the object store fail.
    kMessageLoss,      ///< Two of five messages are lost, at random.
    kGracefulStop,     ///< `a` leaves, stops and restarts at the end.
  };
  kind type = kind::kPartition;
  /// Since the start of the simulation.
  duration begin{};
  duration length{};
  unsigned a = 0;
  unsigned b = 0;
};

/// Prints a fault for RapidCheck's counterexamples.
inline std::ostream& operator<<(std::ostream& out, const fault& f) {
  return out << "{kind " << static_cast<int>(f.type) << " at "
             << ToMilliseconds(f.begin) << " for " << ToMilliseconds(f.length)
             << " a " << f.a << " b " << f.b << "}";
}

/// A simulated host.
struct simulated_host {
  host_record record;
  std::unique_ptr<membership> members;
  std::unique_ptr<ownership_tracker> tracker;
  std::unique_ptr<document_sync> documents;
  /// Messages received but not yet processed.
  std::vector<std::pair<host_id, peer_message>> inbox;
  bool running = true;
  bool paused = false;
  bool leaving = false;
  /// When the host was last the certain owner of an endpoint.
  std::map<endpoint_id, time_point> last_certain;
  /// The adopted revision of the document.
  revision in_force;
};

/// A simulated cluster of hosts in three zones with six endpoints.
class simulated_cluster {
 public:
  simulated_cluster(std::size_t size, unsigned seed, std::vector<fault> faults)
      : random_(seed), faults_(std::move(faults)) {
    config_.zones = {zone_id("a"), zone_id("b"), zone_id("c")};
    service_config& service = config_.services[service_id("s")];
    for (std::size_t i = 0; i < 6; ++i) {
      service.endpoints.push_back({.id = endpoint_id("e" + std::to_string(i)),
                                   .zone = config_.zones[i % 3],
                                   .service = service_id("s"),
                                   .address = {}});
    }
    for (std::size_t i = 0; i < size; ++i) {
      host_record record;
      record.id = host_id("h" + std::to_string(i));
      record.zone = config_.zones[i % 3];
      listed_hosts_.push_back(record);
    }
    hosts_.resize(size);
    for (std::size_t i = 0; i < size; ++i) {
      Start(i);
    }
  }

  /// Advances the clock by `length` and checks after every step that no
  /// endpoint has two certain owners.
  void RunFor(duration length) {
    for (const time_point end = now_ + length; now_ < end;
         now_ += kStepInterval) {
      ApplyFaults();
      // A host that resumes after a pause may send before its timers run.
      CheckExclusiveOwnership();
      std::vector<std::size_t> order(hosts_.size());
      std::ranges::iota_view indices(std::size_t{0}, hosts_.size());
      std::ranges::copy(indices, order.begin());
      std::ranges::shuffle(order, random_);
      for (const std::size_t i : order) {
        if (hosts_[i].running && !hosts_[i].paused) {
          Step(i);
        }
      }
      CheckExclusiveOwnership();
    }
  }

  /// Writes the next revision of the document to the object store.
  void WriteDocument() { ++stored_revision_; }
  std::vector<simulated_host>& hosts() { return hosts_; }
  time_point now() const { return now_; }
  std::uint64_t stored_revision() const { return stored_revision_; }
  int store_calls() const { return store_calls_; }
  /// Returns the number of running hosts that are certain owners of `endpoint`.
  std::size_t CountCertainOwners(const endpoint_id& endpoint) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(hosts_, [&](const simulated_host& h) {
          return h.running && h.tracker->StandingOf(now_, endpoint) ==
                                  ownership_standing::kCertain;
        }));
  }
  std::vector<endpoint_id> Endpoints() const {
    std::vector<endpoint_id> ids;
    std::ranges::transform(config_.services.at(service_id("s")).endpoints,
                           std::back_inserter(ids), &endpoint_config::id);
    return ids;
  }

 private:
  void Start(std::size_t i) {
    simulated_host& h = hosts_[i];
    h.record = listed_hosts_[i];
    h.inbox.clear();
    h.running = true;
    h.leaving = false;
    h.members = std::make_unique<membership>(
        membership::Create(now_, h.record, CurrentIncarnation(), {},
                           std::mt19937_64(random_()))
            .value());
    h.tracker = std::make_unique<ownership_tracker>(
        now_, h.record.id, OwnershipTiming(kMaxDeadline, {}));
    document_sync::config settings;
    settings.self = h.record.id;
    settings.zone = h.record.zone;
    settings.documents = {synced_document};
    h.documents = std::make_unique<document_sync>(now_, settings,
                                                  std::mt19937_64(random_()));
    h.in_force = revision();
    ExecuteAll(i, h.members->SetHostList(now_, listed_hosts_));
    ApplyView(i);
  }

  void Step(std::size_t i) {
    simulated_host& h = hosts_[i];
    for (auto& [from, message] : std::exchange(h.inbox, {})) {
      Deliver(i, from, message);
    }
    ExecuteAll(i, h.members->Tick(now_));
    ExecuteAll(i, h.documents->Tick(now_));
    h.tracker->SetVoters(now_, listed_hosts_, {});
    h.tracker->Heartbeat(now_, h.members->ProbeResults(now_));
  }

  void Deliver(std::size_t i,
               const host_id& from,
               const peer_message& message) {
    simulated_host& h = hosts_[i];
    ExecuteAll(i, h.members->Receive(now_, from, message));
    std::visit(
        [&](const auto& m) {
          if constexpr (requires { m.documents; }) {
            ExecuteAll(i, h.documents->PeerDigest(now_, from, m.documents));
          }
        },
        message);
    if (const auto* request = std::get_if<document_request>(&message)) {
      ExecuteAll(i, h.documents->PeerRequest(now_, from, request->id));
    }
    if (const auto* body = std::get_if<document_body>(&message)) {
      ExecuteAll(i, h.documents->PeerBody(now_, from, *body));
    }
  }

  template <class actions>
  void ExecuteAll(std::size_t i, const actions& to_execute) {
    for (const auto& action : to_execute) {
      std::visit([&](const auto& a) { Execute(i, a); }, action);
    }
  }

  void Execute(std::size_t i, const membership::send& a) {
    SendMessage(i, a.to, a.message);
  }
  void Execute(std::size_t i, const membership::connect& a) {
    const std::size_t to = IndexOf(a.to.id);
    if (hosts_[to].running && LinkIsUp(i, to) && LinkIsUp(to, i)) {
      ExecuteAll(i, hosts_[i].members->LinkUp(now_, a.to.id));
      ExecuteAll(to, hosts_[to].members->LinkUp(now_, hosts_[i].record.id));
    }
  }
  void Execute(std::size_t i, const membership::member_changed& a) {
    if (a.now.state == member_state::kReleased) {
      hosts_[i].tracker->MarkReleased(a.now.host.id);
    }
    ApplyView(i);
  }
  void Execute(std::size_t i, const membership::declared_dead& /*a*/) {
    hosts_[i].tracker->RestartQuietPeriods(now_);
  }
  void Execute(std::size_t /*i*/, const membership::wake& /*a*/) {}
  void Execute(std::size_t i, const document_sync::call_store& a) {
    ++store_calls_;
    document_sync::store_reply reply = document_sync::store_unchanged{};
    if (store_down_) {
      reply = document_sync::store_failed{};
    } else if (stored_revision_ > a.after.value()) {
      reply = document_sync::store_document{.at = revision(stored_revision_),
                                            .body = "x"};
    }
    ExecuteAll(i, hosts_[i].documents->StoreReply(now_, a.id, reply));
  }
  void Execute(std::size_t i, const document_sync::request_from_peer& a) {
    SendMessage(i, a.to, document_request{a.id});
  }
  void Execute(std::size_t i, const document_sync::send_body& a) {
    SendMessage(i, a.to, a.body);
  }
  void Execute(std::size_t i, const document_sync::adopt& a) {
    simulated_host& h = hosts_[i];
    RC_ASSERT(a.at > h.in_force);
    h.in_force = a.at;
    ExecuteAll(i, h.documents->Adopted(now_, a.id, a.at));
    ExecuteAll(i, h.members->SetDocuments(now_, h.documents->Digests()));
  }
  void Execute(std::size_t i, const document_sync::announce& a) {
    for (const host_id& to : a.to) {
      SendMessage(i, to, announce_message{a.documents, {}});
    }
  }
  void Execute(std::size_t /*i*/, const document_sync::wake& /*a*/) {}

  void SendMessage(std::size_t from,
                   const host_id& to,
                   const peer_message& message) {
    const std::size_t target = IndexOf(to);
    const bool is_lost = message_loss_ && random_() % 5 < 2;
    if (hosts_[target].running && LinkIsUp(from, target) && !is_lost) {
      hosts_[target].inbox.emplace_back(hosts_[from].record.id, message);
    }
  }

  void ApplyView(std::size_t i) {
    const auto live = hosts_[i].members->LiveHosts();
    hosts_[i].tracker->SetOwners(now_, ownership_map::Build(live, {}, config_));
    ExecuteAll(
        i, hosts_[i].documents->HostsChanged(now_, live, listed_hosts_.size()));
  }

  /// Injects the faults that are active now and restarts hosts at their end.
  void ApplyFaults() {
    store_down_ = false;
    message_loss_ = false;
    blocked_links_.clear();
    std::ranges::for_each(hosts_, [](simulated_host& h) { h.paused = false; });
    for (const fault& f : faults_) {
      const time_point begin = time_point() + f.begin;
      if (now_ >= begin && now_ < begin + f.length) {
        ApplyFault(f, now_ - begin);
      }
      const bool restarts =
          f.type == fault::kind::kCrash || f.type == fault::kind::kGracefulStop;
      if (restarts && now_ >= begin + f.length &&
          now_ < begin + f.length + kStepInterval) {
        Start(f.a % hosts_.size());
      }
    }
  }

  /// `since` is the time since the start of the fault.
  void ApplyFault(const fault& f, duration since) {
    const std::size_t a = f.a % hosts_.size();
    const std::size_t b = f.b % hosts_.size();
    switch (f.type) {
      case fault::kind::kPartition:
        // Bit i of `b` selects the group of host i.
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
          for (std::size_t j = 0; j < hosts_.size(); ++j) {
            if (((f.b >> i) & 1U) != ((f.b >> j) & 1U)) {
              blocked_links_.insert({i, j});
            }
          }
        }
        break;
      case fault::kind::kOneWayPartition:
        blocked_links_.insert({a, b});
        break;
      case fault::kind::kPause:
        hosts_[a].paused = true;
        break;
      case fault::kind::kRestart:
        if (since < kStepInterval) {
          Start(a);
        }
        break;
      case fault::kind::kCrash:
        hosts_[a].running = false;
        break;
      case fault::kind::kStoreDown:
        store_down_ = true;
        break;
      case fault::kind::kMessageLoss:
        message_loss_ = true;
        break;
      case fault::kind::kGracefulStop:
        StopGracefully(a, f.length, since);
        break;
    }
  }

  /// Announces the stop, releases the endpoints one second later, and stops at
  /// the end of the fault.
  void StopGracefully(std::size_t i, duration length, duration since) {
    simulated_host& h = hosts_[i];
    if (!h.running || h.paused) {
      return;
    }
    if (since < kStepInterval) {
      h.leaving = true;
      ExecuteAll(i, h.members->Leave(now_));
    } else if (h.leaving && since >= seconds(1) &&
               since < seconds(1) + kStepInterval) {
      ExecuteAll(i, h.members->Release(now_));
    } else if (h.leaving && since >= length - kStepInterval) {
      ExecuteAll(i, h.members->Stop(now_));
      h.running = false;
    }
  }

  /// Asserts that a host is a certain owner only when requests of any other
  /// certain owner have reached their deadline.
  void CheckExclusiveOwnership() {
    for (const endpoint_id& endpoint : Endpoints()) {
      for (simulated_host& h : hosts_) {
        if (!h.running || h.paused ||
            h.tracker->StandingOf(now_, endpoint) !=
                ownership_standing::kCertain) {
          continue;
        }
        for (const simulated_host& other : hosts_) {
          const auto last = other.last_certain.find(endpoint);
          if (&other != &h && last != other.last_certain.end()) {
            RC_ASSERT(now_ - last->second > kMaxDeadline);
          }
        }
        h.last_certain[endpoint] = now_;
      }
    }
  }

  /// Like the daemon, derives the incarnation from the clock in microseconds.
  incarnation CurrentIncarnation() const {
    return incarnation(
        static_cast<std::uint64_t>(now_.time_since_epoch().count()) + 1);
  }
  bool LinkIsUp(std::size_t from, std::size_t to) const {
    return !blocked_links_.contains({from, to});
  }
  std::size_t IndexOf(const host_id& id) const {
    const auto found = std::ranges::find(listed_hosts_, id, &host_record::id);
    return static_cast<std::size_t>(found - listed_hosts_.begin());
  }

  std::mt19937_64 random_;
  std::vector<fault> faults_;
  deployment config_;
  std::vector<host_record> listed_hosts_;
  std::vector<simulated_host> hosts_;
  /// Sender and receiver indices of links that drop all messages.
  std::set<std::pair<std::size_t, std::size_t>> blocked_links_;
  time_point now_;
  std::uint64_t stored_revision_ = 1;
  int store_calls_ = 0;
  bool store_down_ = false;
  bool message_loss_ = false;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_FLEET_FIXTURE_TEST_H_
