/// Replays how changes of a configuration spread in an availability zone of
/// weak hosts, without a network: many hosts want the same bytes from two that
/// watch the store, over links that they can fill, while datagrams are lost and
/// hosts return with nothing.
#define BOOST_TEST_MODULE configuration_fleet_replay
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "trefoilmill/version/copy_fetch_plan.h"
#include "trefoilmill/wire/document_splitter.h"
#include "trefoilmill_entry/part_server.h"

namespace trefoilmill::entry {
namespace {

using std::chrono::milliseconds;

/// The weakest links and processors of the sites.
constexpr double kLinkBytesPerUs = 20.0 / 8;
constexpr duration kLatency = milliseconds(1);
/// Decoding of a part at 0.12 of a core, from configuration_bench.
constexpr duration kDecodePart = std::chrono::microseconds(75);
constexpr double kDatagramLoss = 0.03;
constexpr duration kHeartbeat = milliseconds(500);
constexpr duration kCheckInterval = milliseconds(50);
constexpr duration kFetchTimeout = milliseconds(800);
constexpr std::size_t kMaxDatagramBytes = 16384;
constexpr std::size_t kRequestBytes = 5200;
constexpr std::size_t kFeedBytes = 150;
constexpr std::size_t kMaxRepliesUnderWay = 4;
constexpr std::size_t kWatchers = 2;
/// Peers whose revision a host learns in each interval of probes.
constexpr std::size_t kProbesPerInterval = 4;
/// Half of the five seconds within which a change has to be in force.
constexpr duration kBound = milliseconds(2500);

part_set Configuration(int version, int routes, int moved) {
  std::string text = "{\"version\":" + std::to_string(version) +
                     ",\"backends\":[],\"routes\":[";
  for (int i = 0; i < routes; ++i) {
    const std::size_t name = std::hash<int>()(i) * 0x9e3779b97f4a7c15ULL;
    text += std::string(i == 0 ? "" : ",") + R"({"name":"r)" +
            std::to_string(name) + R"(","host":"shop.example","prefix":"/)" +
            std::to_string(name) +
            R"(/","type":"idempotent","timeout_ms":3000,)" +
            R"("slo_ms":1000,"priority":1,"max_attempts":2,"backend":")" +
            (i < moved ? "ledger" : "shelf") + "\"}";
  }
  return SplitDocument(text + "]}").value();
}

struct fleet_host {
  copy_fetch_plan plan;
  bool is_alive = true;
  /// Counts its processes; what was sent to an earlier one is void.
  int life = 0;
  revision at;
  part_set parts;
  std::optional<part_set> partial;
  time_point link_free;
  std::size_t replies_under_way = 0;
  std::map<std::size_t, revision> known;
  /// When each revision came into force.
  std::map<revision, time_point> in_force;
  std::size_t bytes_sent = 0;
};

class fleet_replay {
 public:
  fleet_replay(std::size_t hosts, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < hosts; ++i) {
      hosts_.push_back(
          {.plan = copy_fetch_plan({}, std::mt19937_64(random_()))});
      At(Random(kCheckInterval), [this, i] { Check(i); });
      At(Random(kHeartbeat), [this, i] { Probe(i); });
    }
    for (std::size_t i = 0; i < kWatchers; ++i) {
      At(Random(kHeartbeat), [this, i] { Beat(i); });
    }
  }

  /// All hosts have a version from the start.
  void HoldEverywhere(const part_set& parts) {
    newest_ = {.at = revision(1), .parts = parts};
    for (fleet_host& host : hosts_) {
      host.at = newest_.at;
      host.parts = parts;
    }
  }
  /// The store shows a newer version to the hosts that watch it.
  void Change(duration when, std::uint64_t at, part_set parts) {
    At(when, [this, at, parts = std::move(parts)] {
      newest_ = {.at = revision(at), .parts = parts};
      for (std::size_t i = 0; i < kWatchers; ++i) {
        At(Random(milliseconds(250)), [this, i] { Watch(i); });
      }
    });
  }
  void Lose(duration when, std::size_t first, std::size_t last, duration away) {
    At(when, [=, this] {
      for (std::size_t i = first; i < last; ++i) {
        hosts_[i].is_alive = false;
        At(away, [this, i] { Return(i); });
      }
    });
  }
  void RunUntil(duration end) {
    while (!events_.empty() && events_.top().at <= time_point(end)) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
  }

  /// The longest time from `since` until the revision is in force at a host.
  duration LastInForce(duration since, std::uint64_t at) const {
    duration last{};
    for (const fleet_host& host : hosts_) {
      const auto found = host.in_force.find(revision(at));
      if (found == host.in_force.end()) {
        return duration::max();
      }
      last = std::max(last, found->second - time_point(since));
    }
    return last;
  }
  std::size_t BytesPerHost() const {
    std::size_t bytes = 0;
    for (const fleet_host& host : hosts_) {
      bytes += host.bytes_sent;
    }
    return bytes / hosts_.size();
  }

 private:
  struct version {
    revision at;
    part_set parts;
  };
  struct event {
    time_point at;
    std::uint64_t order = 0;
    std::function<void()> run;
    bool operator>(const event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void At(duration delay, std::function<void()> run) {
    events_.push(
        {.at = now_ + delay, .order = ++order_, .run = std::move(run)});
  }
  duration Random(duration most) {
    return duration(
        std::uniform_int_distribution<duration::rep>(0, most.count())(random_));
  }
  bool IsLost() { return std::bernoulli_distribution(kDatagramLoss)(random_); }

  /// Queues bytes on a host's link; returns when they have left it.
  time_point Send(fleet_host& from, std::size_t bytes) {
    from.bytes_sent += bytes;
    const auto us = static_cast<duration::rep>(static_cast<double>(bytes) /
                                               kLinkBytesPerUs);
    from.link_free = std::max(from.link_free, now_) + duration(us);
    return from.link_free;
  }

  void Apply(fleet_host& host, const part_set& parts, revision at) {
    const auto changed = part_set::Difference(host.parts, parts).added.size();
    host.parts = parts;
    host.at = at;
    host.in_force[at] = now_ + kDecodePart * changed;
  }

  void Return(std::size_t index) {
    fleet_host& host = hosts_[index];
    host = {.plan = copy_fetch_plan({}, std::mt19937_64(random_())),
            .life = host.life + 1,
            .link_free = now_,
            .in_force = {},
            .bytes_sent = host.bytes_sent};
    if (index < kWatchers) {
      At(Random(milliseconds(250)), [this, index] { Watch(index); });
    }
  }

  /// The store gives a host that watches it the newest version.
  void Watch(std::size_t index) {
    fleet_host& host = hosts_[index];
    if (!host.is_alive || host.at >= newest_.at) {
      return;
    }
    const part_set before = host.parts;
    Apply(host, newest_.parts, newest_.at);
    SendPatch(index, before);
    SendFeeds(index);
  }

  void SendPatch(std::size_t index, const part_set& before) {
    const auto difference = part_set::Difference(before, newest_.parts);
    const std::size_t bytes =
        EncodeParts(difference.added).size() + 9 * difference.removed.size();
    if (bytes > kMaxDatagramBytes || before.size() == 0) {
      return;
    }
    const version sent = newest_;
    ForEachOther(index, bytes, [=, this](fleet_host& to) {
      if (to.parts == before && to.at < sent.at) {
        Apply(to, sent.parts, sent.at);
      }
    });
  }

  void SendFeeds(std::size_t index) {
    const revision at = hosts_[index].at;
    ForEachOther(index, kFeedBytes,
                 [=](fleet_host& to) { to.known[index] = at; });
  }

  /// Sends a datagram to each other host; some are lost.
  void ForEachOther(std::size_t index,
                    std::size_t bytes,
                    const std::function<void(fleet_host&)>& receive) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (i == index) {
        continue;
      }
      const duration arrives = Send(hosts_[index], bytes) - now_ + kLatency;
      if (!IsLost()) {
        At(arrives, [=, this] {
          if (hosts_[i].is_alive) {
            receive(hosts_[i]);
          }
        });
      }
    }
  }

  void Beat(std::size_t index) {
    if (hosts_[index].is_alive) {
      SendFeeds(index);
    }
    At(kHeartbeat, [this, index] { Beat(index); });
  }

  void Probe(std::size_t index) {
    fleet_host& host = hosts_[index];
    for (std::size_t i = 0; i < kProbesPerInterval; ++i) {
      const std::size_t peer = random_() % hosts_.size();
      if (peer != index && hosts_[peer].is_alive && !IsLost()) {
        host.known[peer] = hosts_[peer].at;
      }
    }
    At(kHeartbeat, [this, index] { Probe(index); });
  }

  void Check(std::size_t index) {
    Fetch(index);
    At(kCheckInterval, [this, index] { Check(index); });
  }

  void Fetch(std::size_t index) {
    fleet_host& host = hosts_[index];
    std::vector<socket_address> ahead;
    for (const auto& [peer, at] : host.known) {
      if (at > host.at) {
        ahead.push_back({.ip = "", .port = static_cast<std::uint16_t>(peer)});
      }
    }
    const auto source =
        host.is_alive ? host.plan.NextSource(now_, host.parts.size() > 0, ahead)
                      : std::nullopt;
    if (!source.has_value()) {
      return;
    }
    if (!host.partial.has_value()) {
      host.partial = host.parts;
    }
    const duration arrives = Send(host, kRequestBytes) - now_ + kLatency;
    At(arrives,
       [this, index, from = source->port, life = host.life,
        until = now_ + kFetchTimeout] { Answer(from, index, life, until); });
  }

  void Answer(std::size_t from, std::size_t to, int life, time_point until) {
    fleet_host& source = hosts_[from];
    const auto fail = [=, this] {
      At(until - now_, [=, this] {
        if (hosts_[to].life == life && hosts_[to].is_alive) {
          hosts_[to].plan.OnFailed(now_);
        }
      });
    };
    if (!source.is_alive || hosts_[to].life != life) {
      fail();
      return;
    }
    if (source.replies_under_way >= kMaxRepliesUnderWay) {
      At(kLatency, [=, this] { hosts_[to].plan.OnBusy(now_); });
      return;
    }
    const parts_page page = PageFor(source, *hosts_[to].partial);
    const std::size_t bytes = BytesOf(page);
    const duration leaves = Send(source, bytes) - now_;
    ++source.replies_under_way;
    At(leaves, [=, this, source_life = source.life] {
      if (hosts_[from].life == source_life) {
        --hosts_[from].replies_under_way;
      }
    });
    if (now_ + leaves + kLatency > until) {
      fail();
      return;
    }
    At(leaves + kLatency, [=, this] {
      if (hosts_[to].life == life && hosts_[to].is_alive) {
        OnPage(to, page);
      }
    });
  }

  static parts_page PageFor(const fleet_host& source, const part_set& have) {
    parts_request request;
    for (std::size_t i = 0; i < part_set::kBuckets; ++i) {
      request.bucket_digests.push_back(have.BucketDigest(i));
    }
    return MakePage({.parts = source.parts, .document = std::nullopt},
                    source.at, request);
  }
  /// Equal pages are encoded once.
  std::size_t BytesOf(const parts_page& page) {
    const auto key =
        std::tuple(page.digest, page.buckets.size(),
                   page.buckets.empty() ? 0 : page.buckets.front().index,
                   page.buckets.empty() ? 0 : page.buckets.back().index);
    auto& bytes = page_bytes_[key];
    if (bytes == 0) {
      bytes = EncodePartsPage(page).size();
    }
    return bytes;
  }

  void OnPage(std::size_t index, const parts_page& page) {
    fleet_host& host = hosts_[index];
    if (!host.partial.has_value()) {
      host.partial = host.parts;
    }
    for (const bucket_content& content : page.buckets) {
      host.partial->ClearBucket(content.index);
      for (const shared_part& p : content.parts) {
        host.partial->Insert(p);
      }
    }
    if (host.partial->digest() != page.digest) {
      host.plan.OnPage();
      Fetch(index);
      return;
    }
    host.plan.OnComplete();
    if (page.as_of > host.at) {
      Apply(host, *host.partial, page.as_of);
    }
    host.partial.reset();
  }

  std::mt19937_64 random_;
  std::vector<fleet_host> hosts_;
  version newest_;
  time_point now_;
  std::uint64_t order_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::map<std::tuple<std::uint64_t, std::size_t, std::size_t, std::size_t>,
           std::size_t>
      page_bytes_;
};

constexpr int kSeeds = 5;

}  // namespace

// 880 routes are added, and the configuration changes again 2 s later, while
// half of the zone, one of its watchers too, is without power and returns with
// nothing.
BOOST_AUTO_TEST_CASE(a_large_change_reaches_every_weak_host_in_time) {
  const part_set small = Configuration(1, 50, 0);
  const part_set large = Configuration(2, 930, 0);
  const part_set moved = Configuration(3, 930, 1);
  for (const std::size_t hosts : {25U, 65U, 133U}) {
    duration slowest{};
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      fleet_replay fleet(hosts, seed);
      fleet.HoldEverywhere(small);
      fleet.Change(milliseconds(1000), 2, large);
      fleet.Change(milliseconds(3000), 3, moved);
      fleet.Lose(milliseconds(1300), 1, hosts / 2, milliseconds(1500));
      fleet.RunUntil(milliseconds(9000));
      slowest = std::max(slowest, fleet.LastInForce(milliseconds(3000), 3));
    }
    BOOST_TEST_MESSAGE(hosts << " hosts: " << slowest.count() << " us");
    BOOST_TEST((slowest <= kBound), hosts << " hosts");
  }
}

BOOST_AUTO_TEST_CASE(many_routes_more_reach_every_weak_host_in_time) {
  const part_set small = Configuration(1, 1450, 0);
  const part_set large = Configuration(2, 2850, 0);
  for (const std::size_t hosts : {25U, 65U, 133U}) {
    duration slowest{};
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      fleet_replay fleet(hosts, seed);
      fleet.HoldEverywhere(small);
      fleet.Change(milliseconds(1000), 2, large);
      fleet.RunUntil(milliseconds(7000));
      slowest = std::max(slowest, fleet.LastInForce(milliseconds(1000), 2));
    }
    BOOST_TEST_MESSAGE(hosts << " hosts: " << slowest.count() << " us");
    BOOST_TEST((slowest <= kBound), hosts << " hosts");
  }
}

// Versions 0.6 s apart: the last one does not wait for those before it, and
// costs hosts what it changed.
BOOST_AUTO_TEST_CASE(a_storm_s_last_version_is_in_force_in_time) {
  constexpr int kVersions = 8;
  for (const std::size_t hosts : {25U, 133U}) {
    duration slowest{};
    std::size_t most_bytes = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      fleet_replay fleet(hosts, seed);
      fleet.HoldEverywhere(Configuration(1, 2850, 0));
      for (int i = 1; i <= kVersions; ++i) {
        fleet.Change(milliseconds(1000 + 600 * i),
                     std::uint64_t{1} + static_cast<std::uint64_t>(i),
                     Configuration(1 + i, 2850, i));
      }
      fleet.RunUntil(milliseconds(12'000));
      slowest = std::max(slowest,
                         fleet.LastInForce(milliseconds(1000 + 600 * kVersions),
                                           1 + kVersions));
      most_bytes = std::max(most_bytes, fleet.BytesPerHost());
    }
    BOOST_TEST_MESSAGE(hosts << " hosts: " << slowest.count() << " us, "
                             << most_bytes << " bytes a host");
    BOOST_TEST((slowest <= kBound), hosts << " hosts");
    // 23 KB/s for control over the twelve seconds.
    BOOST_TEST(most_bytes <= 12U * 23'000U);
  }
}

}  // namespace trefoilmill::entry
