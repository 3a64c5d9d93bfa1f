/// Several hosts' deciders under one clock that a test owns, with faults.
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

inline constexpr duration kStep = milliseconds(50);
inline constexpr duration kMaxDeadline = seconds(2);
inline const document_id synced_document("deployment");

/// A disturbance; `a` and `b` pick hosts.
struct fault {
  enum class kind {
    kCutGroup,   ///< Hosts on either side of a cut do not hear one another.
    kCutOneWay,  ///< `b` does not hear `a`.
    kPause,
    kRestart,
    kKill,  ///< Restarts at the end.
    kStoreDown,
    kLossy,  ///< Two messages in five are lost.
    kLeave,  ///< A planned stop; restarts at the end.
  };
  kind what = kind::kCutGroup;
  duration begin{};
  duration length{};
  unsigned a = 0;
  unsigned b = 0;
};

inline std::ostream& operator<<(std::ostream& out, const fault& f) {
  return out << "{kind " << static_cast<int>(f.what) << " at "
             << ToMilliseconds(f.begin) << " for " << ToMilliseconds(f.length)
             << " a " << f.a << " b " << f.b << "}";
}

struct host {
  host_record record;
  std::unique_ptr<membership> members;
  std::unique_ptr<ownership_tracker> tracker;
  std::unique_ptr<document_sync> documents;
  /// Arrived while paused or not yet read.
  std::vector<std::pair<host_id, peer_message>> inbox;
  bool running = true;
  bool paused = false;
  bool leaving = false;
  std::map<endpoint_id, time_point> last_certain;
  revision in_force;
};

class fleet {
 public:
  fleet(std::size_t size, unsigned seed, std::vector<fault> faults)
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
      listed_.push_back(record);
    }
    hosts_.resize(size);
    for (std::size_t i = 0; i < size; ++i) {
      Start(i);
    }
  }

  void RunFor(duration length) {
    for (const time_point end = now_ + length; now_ < end; now_ += kStep) {
      ApplyFaults();
      // A host that just woke up may act before its timers run.
      CheckOwners();
      std::vector<std::size_t> order(hosts_.size());
      std::ranges::iota_view indices(std::size_t{0}, hosts_.size());
      std::ranges::copy(indices, order.begin());
      std::ranges::shuffle(order, random_);
      for (const std::size_t i : order) {
        if (hosts_[i].running && !hosts_[i].paused) {
          Step(i);
        }
      }
      CheckOwners();
    }
  }

  void WriteDocument() { ++stored_; }
  std::vector<host>& hosts() { return hosts_; }
  time_point now() const { return now_; }
  std::uint64_t stored() const { return stored_; }
  int store_calls() const { return store_calls_; }
  std::size_t CertainOwners(const endpoint_id& endpoint) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(hosts_, [&](const host& h) {
          return h.running && h.tracker->Standing(now_, endpoint) ==
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
    host& h = hosts_[i];
    h.record = listed_[i];
    h.inbox.clear();
    h.running = true;
    h.leaving = false;
    h.members = std::make_unique<membership>(
        membership::Create(now_, h.record, Life(), {},
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
    Perform(i, h.members->SetHostList(now_, listed_));
    ViewChanged(i);
  }

  void Step(std::size_t i) {
    host& h = hosts_[i];
    for (auto& [from, message] : std::exchange(h.inbox, {})) {
      Deliver(i, from, message);
    }
    Perform(i, h.members->Tick(now_));
    Perform(i, h.documents->Tick(now_));
    h.tracker->SetElectorate(now_, listed_, {});
    h.tracker->Heartbeat(now_, h.members->Hearing(now_));
  }

  void Deliver(std::size_t i,
               const host_id& from,
               const peer_message& message) {
    host& h = hosts_[i];
    Perform(i, h.members->Receive(now_, from, message));
    std::visit(
        [&](const auto& m) {
          if constexpr (requires { m.documents; }) {
            Perform(i, h.documents->PeerDigest(now_, from, m.documents));
          }
        },
        message);
    if (const auto* request = std::get_if<document_request>(&message)) {
      Perform(i, h.documents->PeerRequest(now_, from, request->id));
    }
    if (const auto* body = std::get_if<document_body>(&message)) {
      Perform(i, h.documents->PeerBody(now_, from, *body));
    }
  }

  template <class actions>
  void Perform(std::size_t i, const actions& todo) {
    for (const auto& action : todo) {
      std::visit([&](const auto& a) { Do(i, a); }, action);
    }
  }

  void Do(std::size_t i, const membership::send& a) {
    Post(i, a.to, a.message);
  }
  void Do(std::size_t i, const membership::connect& a) {
    const std::size_t to = IndexOf(a.to.id);
    if (hosts_[to].running && IsOpen(i, to) && IsOpen(to, i)) {
      Perform(i, hosts_[i].members->LinkUp(now_, a.to.id));
      Perform(to, hosts_[to].members->LinkUp(now_, hosts_[i].record.id));
    }
  }
  void Do(std::size_t i, const membership::changed& a) {
    if (a.now.state == member_state::kReleased) {
      hosts_[i].tracker->Released(a.now.host.id);
    }
    ViewChanged(i);
  }
  void Do(std::size_t i, const membership::declared_dead& /*a*/) {
    hosts_[i].tracker->Restart(now_);
  }
  void Do(std::size_t /*i*/, const membership::wake& /*a*/) {}
  void Do(std::size_t i, const document_sync::call_store& a) {
    ++store_calls_;
    document_sync::store_reply reply = document_sync::store_unchanged{};
    if (store_down_) {
      reply = document_sync::store_failed{};
    } else if (stored_ > a.after.value()) {
      reply =
          document_sync::store_document{.at = revision(stored_), .body = "x"};
    }
    Perform(i, hosts_[i].documents->StoreReply(now_, a.id, reply));
  }
  void Do(std::size_t i, const document_sync::request_from_peer& a) {
    Post(i, a.to, document_request{a.id});
  }
  void Do(std::size_t i, const document_sync::send_body& a) {
    Post(i, a.to, a.body);
  }
  void Do(std::size_t i, const document_sync::adopt& a) {
    host& h = hosts_[i];
    RC_ASSERT(a.at > h.in_force);
    h.in_force = a.at;
    Perform(i, h.documents->Adopted(now_, a.id, a.at));
    Perform(i, h.members->SetDocuments(now_, h.documents->Digests()));
  }
  void Do(std::size_t i, const document_sync::announce& a) {
    for (const host_id& to : a.to) {
      Post(i, to, announce_message{a.documents, {}});
    }
  }
  void Do(std::size_t /*i*/, const document_sync::wake& /*a*/) {}

  void Post(std::size_t from, const host_id& to, const peer_message& message) {
    const std::size_t target = IndexOf(to);
    const bool lost = lossy_ && random_() % 5 < 2;
    if (hosts_[target].running && IsOpen(from, target) && !lost) {
      hosts_[target].inbox.emplace_back(hosts_[from].record.id, message);
    }
  }

  void ViewChanged(std::size_t i) {
    const auto live = hosts_[i].members->LiveHosts();
    hosts_[i].tracker->SetMap(now_, ownership_map::Build(live, {}, config_));
    Perform(i, hosts_[i].documents->HostsChanged(now_, live, listed_.size()));
  }

  void ApplyFaults() {
    store_down_ = false;
    lossy_ = false;
    closed_.clear();
    std::ranges::for_each(hosts_, [](host& h) { h.paused = false; });
    for (const fault& f : faults_) {
      const time_point begin = time_point() + f.begin;
      if (now_ >= begin && now_ < begin + f.length) {
        Apply(f, now_ - begin);
      }
      const bool restarts =
          f.what == fault::kind::kKill || f.what == fault::kind::kLeave;
      if (restarts && now_ >= begin + f.length &&
          now_ < begin + f.length + kStep) {
        Start(f.a % hosts_.size());
      }
    }
  }

  void Apply(const fault& f, duration since) {
    const std::size_t a = f.a % hosts_.size();
    const std::size_t b = f.b % hosts_.size();
    switch (f.what) {
      case fault::kind::kCutGroup:
        // The bits of `b` say who is on which side.
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
          for (std::size_t j = 0; j < hosts_.size(); ++j) {
            if (((f.b >> i) & 1U) != ((f.b >> j) & 1U)) {
              closed_.insert({i, j});
            }
          }
        }
        break;
      case fault::kind::kCutOneWay:
        closed_.insert({a, b});
        break;
      case fault::kind::kPause:
        hosts_[a].paused = true;
        break;
      case fault::kind::kRestart:
        if (since < kStep) {
          Start(a);
        }
        break;
      case fault::kind::kKill:
        hosts_[a].running = false;
        break;
      case fault::kind::kStoreDown:
        store_down_ = true;
        break;
      case fault::kind::kLossy:
        lossy_ = true;
        break;
      case fault::kind::kLeave:
        LeaveStepwise(a, f.length, since);
        break;
    }
  }

  /// Leaves, is done with its endpoints a second later, then stops.
  void LeaveStepwise(std::size_t i, duration length, duration since) {
    host& h = hosts_[i];
    if (!h.running || h.paused) {
      return;
    }
    if (since < kStep) {
      h.leaving = true;
      Perform(i, h.members->Leave(now_));
    } else if (h.leaving && since >= seconds(1) && since < seconds(1) + kStep) {
      Perform(i, h.members->Release(now_));
    } else if (h.leaving && since >= length - kStep) {
      Perform(i, h.members->Stop(now_));
      h.running = false;
    }
  }

  /// Nobody may become certain while another one's requests may still run.
  void CheckOwners() {
    for (const endpoint_id& endpoint : Endpoints()) {
      for (host& h : hosts_) {
        if (!h.running || h.paused ||
            h.tracker->Standing(now_, endpoint) !=
                ownership_standing::kCertain) {
          continue;
        }
        for (const host& other : hosts_) {
          const auto last = other.last_certain.find(endpoint);
          if (&other != &h && last != other.last_certain.end()) {
            RC_ASSERT(now_ - last->second > kMaxDeadline);
          }
        }
        h.last_certain[endpoint] = now_;
      }
    }
  }

  /// As a daemon takes it, from a clock that shows microseconds.
  incarnation Life() const {
    return incarnation(
        static_cast<std::uint64_t>(now_.time_since_epoch().count()) + 1);
  }
  bool IsOpen(std::size_t from, std::size_t to) const {
    return !closed_.contains({from, to});
  }
  std::size_t IndexOf(const host_id& id) const {
    const auto found = std::ranges::find(listed_, id, &host_record::id);
    return static_cast<std::size_t>(found - listed_.begin());
  }

  std::mt19937_64 random_;
  std::vector<fault> faults_;
  deployment config_;
  std::vector<host_record> listed_;
  std::vector<host> hosts_;
  std::set<std::pair<std::size_t, std::size_t>> closed_;
  time_point now_;
  std::uint64_t stored_ = 1;
  int store_calls_ = 0;
  bool store_down_ = false;
  bool lossy_ = false;
};

}  // namespace trefoilmill

#endif  // TREFOILMILL_FLEET_FIXTURE_TEST_H_
