/// Replays roll-outs on fleets of hosts that hear each other late or not at
/// all. With `-- SEEDS` it plays so many seeds on each fleet and prints the
/// figures.
#define BOOST_TEST_MODULE rollout_replay
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "trefoilmill/process/rollout_table.h"

namespace trefoilmill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id service("shelf");
const software_version old_version("v1");
const software_version new_version("v2");
constexpr exposure_limit kLimit = {.ratio = 0.1, .slack = 50};
/// The platform allows no request this long after the 50th bad answer.
constexpr duration kRollbackTime = seconds(5);
constexpr std::size_t kBadAnswers = 50;
constexpr duration kExpected = milliseconds(28);
constexpr duration kStep = milliseconds(10);
constexpr time_point kStart(seconds(1000));
constexpr int kEndpoints = 3;
constexpr int kRoutes = 3;
constexpr int kSlots = 6;

/// How a version misbehaves.
struct behaviour {
  std::string name;
  bool is_bad = false;
  /// Part of the requests that fail, and factor of the latency.
  double failing = 0;
  double slowdown = 1;
  /// It does so from this time after the order on.
  duration from{};
  /// Only while the version gets at least this part of the requests.
  double from_load = 0;
  /// Only on the first route.
  bool one_route = false;
};

struct scenario {
  std::size_t hosts = 6;
  /// Hosts that callers use.
  std::size_t advertised = 6;
  double requests_per_s = 100;
  duration length = seconds(12);
  behaviour version;
  /// Factor of the latency of the endpoints of one zone, of both versions.
  double slow_zone = 1;
  double message_loss = 0.05;
  /// The two halves of the hosts do not hear each other.
  bool partitioned = false;
  /// When all hosts end and begin anew.
  std::optional<duration> restart_at;
  /// One host hears nothing of the store for the whole time.
  bool store_deaf_host = false;
  /// The new endpoints never come.
  bool never_starts = false;
};

struct outcome {
  std::size_t requests = 0;
  std::size_t new_requests = 0;
  /// Requests to the new version later than allowed after the 50th bad answer.
  std::size_t late_requests = 0;
  /// Requests under way to old endpoints when `completed` was written.
  std::size_t cut_requests = 0;
  std::optional<rollout_state> state;
  duration decided_after{};

  double Bound() const {
    return kLimit.ratio * static_cast<double>(requests) + kLimit.slack;
  }
};

class fleet_replay {
 public:
  fleet_replay(const scenario& played, std::uint64_t seed)
      : scenario_(played), random_(seed), now_(kStart) {
    for (std::size_t n = 0; n < played.hosts; ++n) {
      names_.emplace_back("h" + std::to_string(n));
      hosts_.push_back(NewHost());
      // They were there before the order.
      hosts_.back()->table.SetOrders(now_, {});
    }
    std::uniform_int_distribution<duration::rep> phase(
        0, duration(seconds(6)).count());
    for (int n = 0; n < 2 * kEndpoints; ++n) {
      pause_phases_.emplace_back(phase(random_));
    }
  }

  outcome Play() {
    const time_point end = kStart + scenario_.length + seconds(4);
    ListEndpoints(old_version);
    Order();
    while (now_ < end) {
      if (now_ >= kStart + milliseconds(500) && !new_started_ &&
          !scenario_.never_starts) {
        ListEndpoints(new_version);
        new_started_ = true;
      }
      if (scenario_.restart_at.has_value() &&
          now_ >= kStart + *scenario_.restart_at) {
        scenario_.restart_at.reset();
        Restart();
      }
      RunDue();
      SendRequests();
      RunHosts();
      now_ += kStep;
    }
    return outcome_;
  }

 private:
  struct host {
    endpoint_registry registry{seconds(2)};
    rollout_table table;
    std::map<endpoint_id, std::size_t> in_flight;
    std::uint64_t process = 0;
    time_point next_run;
  };
  struct event {
    time_point at;
    std::function<void()> run;
    bool operator>(const event& other) const { return at > other.at; }
  };

  std::unique_ptr<host> NewHost() {
    auto made = std::make_unique<host>();
    made->table = rollout_table(kLimit, std::mt19937_64(random_()));
    made->process = random_();
    std::uniform_int_distribution<int> phase(0, 99);
    made->next_run = now_ + milliseconds(phase(random_));
    return made;
  }

  void After(duration delay, std::function<void()> run) {
    events_.push({.at = now_ + delay, .run = std::move(run)});
  }
  duration RandomDelay(int least_ms, int most_ms) {
    return milliseconds(
        std::uniform_int_distribution<int>(least_ms, most_ms)(random_));
  }
  bool Draw(double probability) {
    return std::bernoulli_distribution(probability)(random_);
  }
  bool Hears(std::size_t from, std::size_t to) {
    const std::size_t half = names_.size() / 2;
    const bool cut = scenario_.partitioned && (from < half) != (to < half);
    return !cut && !Draw(scenario_.message_loss);
  }

  void RunDue() {
    while (!events_.empty() && events_.top().at <= now_) {
      const auto run = events_.top().run;
      events_.pop();
      run();
    }
  }

  void ListEndpoints(const software_version& version) {
    const bool is_new = version == new_version;
    for (int n = 0; n < kEndpoints; ++n) {
      endpoints_.push_back(
          {.id = endpoint_id((is_new ? "n" : "o") + std::to_string(n)),
           .service = service,
           .zone = zone_id("z" + std::to_string(n)),
           .slots = kSlots,
           .started_ms = is_new ? 2U : 1U,
           .software = version});
    }
    for (const auto& listed : hosts_) {
      for (const endpoint_record& record : endpoints_) {
        listed->registry.Put(now_, record);
      }
    }
  }

  void Order() {
    record_ = {.order = {.service = service,
                         .target = new_version,
                         .length = scenario_.length},
               .state = std::nullopt,
               .at = revision(1)};
    Publish();
  }
  void Publish() {
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
      const bool is_deaf =
          scenario_.store_deaf_host && n == 0 && record_.state.has_value();
      if (!is_deaf) {
        After(RandomDelay(20, 300), [this, n, record = record_] {
          hosts_[n]->table.SetOrders(now_, {record});
        });
      }
    }
  }

  void Restart() {
    for (auto& restarted : hosts_) {
      restarted = NewHost();
      for (const endpoint_record& record : endpoints_) {
        restarted->registry.Put(now_, record);
      }
    }
    Publish();
  }

  rollout_table::fleet FleetOf(std::size_t n) const {
    const std::vector<host_id> advertised(
        names_.begin(),
        names_.begin() + static_cast<std::ptrdiff_t>(scenario_.advertised));
    return {.self = names_[n],
            .sharing_hosts = scenario_.advertised,
            .senders = names_,
            .rank = [this, n, advertised](const service_id& decided)
                -> std::optional<std::size_t> {
              const auto deciders = SelectDeciders(decided, advertised);
              const auto found = std::ranges::find(deciders, names_[n]);
              if (found == deciders.end()) {
                return std::nullopt;
              }
              return static_cast<std::size_t>(found - deciders.begin());
            }};
  }

  void RunHosts() {
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
      if (hosts_[n]->next_run <= now_) {
        hosts_[n]->next_run +=
            milliseconds(n < scenario_.advertised ? 100 : 250);
        Run(n);
      }
    }
  }
  void Run(std::size_t n) {
    host& self = *hosts_[n];
    const auto known = FleetOf(n);
    self.table.Update(
        now_, self.registry,
        [&self](const endpoint_id& id) { return self.in_flight[id]; }, known);
    SendReports(n);
    for (const auto& news : self.table.TakeNews(now_)) {
      for (int copies = 0; copies < 4; ++copies) {
        SendNews(n,
                 std::uniform_int_distribution<std::size_t>(
                     0, hosts_.size() - 1)(random_),
                 news);
      }
    }
    for (const auto& write : self.table.TakeWrites(now_, known)) {
      After(RandomDelay(4, 20), [this, write] { Write(write); });
    }
  }
  void SendNews(std::size_t from,
                std::size_t to,
                const rollout_table::stage_news& news) {
    if (Hears(from, to)) {
      After(RandomDelay(1, 30),
            [this, to, news] { hosts_[to]->table.OnNews(now_, news); });
    }
  }
  void SendReports(std::size_t n) {
    const auto deciders = SelectDeciders(
        service, {names_.begin(), names_.begin() + static_cast<std::ptrdiff_t>(
                                                       scenario_.advertised)});
    for (const rollout_report& report :
         hosts_[n]->table.MakeReports(hosts_[n]->process)) {
      for (const host_id& decider : deciders) {
        const auto to = static_cast<std::size_t>(
            std::ranges::find(names_, decider) - names_.begin());
        if (to != n && Hears(n, to)) {
          After(RandomDelay(1, 30), [this, n, to, report] {
            hosts_[to]->table.OnReport(names_[n], report);
            if (const auto news = hosts_[to]->table.NewsFor(now_, report)) {
              SendNews(to, n, *news);
            }
          });
        }
      }
    }
  }
  void Write(const rollout_table::write& write) {
    if (write.at != record_.at) {
      return;
    }
    record_.state = write.state;
    record_.at = revision(record_.at.value() + 1);
    if (IsFinal(write.state)) {
      outcome_.state = write.state;
      outcome_.decided_after = now_ - kStart;
      const auto old_in_flight = [](const auto& h) {
        std::size_t sum = 0;
        for (const auto& [id, count] : h->in_flight) {
          sum += id.value().front() == 'o' ? count : 0;
        }
        return sum;
      };
      if (write.state == rollout_state::kCompleted) {
        for (const auto& h : hosts_) {
          outcome_.cut_requests += old_in_flight(h);
        }
      }
    }
    Publish();
  }

  void SendRequests() {
    const double mean = scenario_.requests_per_s * 0.01;
    const int count = std::poisson_distribution<int>(mean)(random_);
    for (int n = 0; n < count; ++n) {
      SendRequest(std::uniform_int_distribution<std::size_t>(
                      0, scenario_.advertised - 1)(random_),
                  std::uniform_int_distribution<int>(0, kRoutes - 1)(random_));
    }
  }
  void SendRequest(std::size_t n, int route) {
    host& self = *hosts_[n];
    const auto choice = self.table.Choose(now_, service, true);
    std::vector<endpoint_id> excluded;
    self.table.Exclude(self.registry, service, choice, excluded);
    std::vector<endpoint_id> usable;
    for (const endpoint_id& id : self.registry.EndpointsOf(service)) {
      const bool is_stopped =
          outcome_.state == rollout_state::kCompleted && id.value()[0] == 'o';
      if (!self.table.withheld().contains(id) && !is_stopped &&
          std::ranges::find(excluded, id) == excluded.end()) {
        usable.push_back(id);
      }
    }
    if (usable.empty()) {
      return;
    }
    const endpoint_id id = usable[std::uniform_int_distribution<std::size_t>(
        0, usable.size() - 1)(random_)];
    const bool is_new = id.value().front() == 'n';
    CountRequest(is_new);
    const bool fails =
        is_new && Misbehaves(route) && Draw(scenario_.version.failing);
    const duration latency = LatencyOf(id, is_new, route);
    const bool is_bad = fails || (is_new && latency > 3 * kExpected &&
                                  scenario_.version.slowdown > 1);
    ++self.in_flight[id];
    After(latency, [this, n, id, route, fails, is_bad, sent = now_,
                    process = self.process] {
      if (hosts_[n]->process != process) {
        return;
      }
      --hosts_[n]->in_flight[id];
      bad_answers_ += is_bad ? 1 : 0;
      if (bad_answers_ >= kBadAnswers && !limit_reached_.has_value()) {
        limit_reached_ = now_;
      }
      hosts_[n]->table.OnAnswer(now_, hosts_[n]->registry,
                                {.route = route_id("r" + std::to_string(route)),
                                 .endpoint = id,
                                 .sent = sent,
                                 .expected = kExpected,
                                 .failed = fails});
    });
  }
  void CountRequest(bool is_new) {
    new_share_ += 0.02 * ((is_new ? 1 : 0) - new_share_);
    if (now_ < kStart + scenario_.length) {
      ++outcome_.requests;
      outcome_.new_requests += is_new ? 1 : 0;
    }
    if (is_new && limit_reached_.has_value() &&
        now_ > *limit_reached_ + kRollbackTime) {
      ++outcome_.late_requests;
    }
  }
  bool Misbehaves(int route) const {
    const behaviour& version = scenario_.version;
    return now_ >= kStart + version.from && new_share_ >= version.from_load &&
           (!version.one_route || route == 0);
  }
  /// With a spread like that of real work, pauses of 250 ms every 6 s, and the
  /// slow zone.
  duration LatencyOf(const endpoint_id& id, bool is_new, int route) {
    double factor = std::lognormal_distribution<double>(0, 0.35)(random_);
    if (is_new && Misbehaves(route)) {
      factor *= scenario_.version.slowdown;
    }
    const int number = id.value().back() - '0';
    if (number == 0) {
      factor *= scenario_.slow_zone;
    }
    const auto work = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, duration::period>(kExpected) * factor);
    const duration phase = pause_phases_[static_cast<std::size_t>(number) +
                                         (is_new ? kEndpoints : 0)];
    const duration into =
        (now_.time_since_epoch() + phase) % duration(seconds(6));
    const duration pause = milliseconds(250);
    return work + (into < pause ? pause - into : duration::zero());
  }

  scenario scenario_;
  std::mt19937_64 random_;
  time_point now_;
  std::vector<host_id> names_;
  std::vector<std::unique_ptr<host>> hosts_;
  std::vector<endpoint_record> endpoints_;
  std::vector<duration> pause_phases_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  rollout_record record_;
  bool new_started_ = false;
  /// Part of the recent requests that went to the new version.
  double new_share_ = 0;
  std::size_t bad_answers_ = 0;
  std::optional<time_point> limit_reached_;
  outcome outcome_;
};

const std::vector<behaviour>& BadVersions() {
  static const std::vector<behaviour> versions = {
      {.name = "fails at once", .is_bad = true, .failing = 0.5},
      {.name = "slow at once", .is_bad = true, .slowdown = 6},
      {.name = "fails rarely", .is_bad = true, .failing = 0.3},
      {.name = "fails later",
       .is_bad = true,
       .failing = 0.5,
       .from = seconds(6)},
      {.name = "slow under load",
       .is_bad = true,
       .slowdown = 6,
       .from_load = 0.3},
      {.name = "fails on one route",
       .is_bad = true,
       .failing = 0.6,
       .one_route = true},
  };
  return versions;
}

struct fleet_size {
  std::size_t hosts;
  std::size_t advertised;
  double requests_per_s;
};
constexpr fleet_size kFleets[] = {{6, 6, 100}, {15, 9, 100}, {195, 30, 130}};

/// Seeds to play on each fleet.
int Seeds() {
  const auto& arguments = boost::unit_test::framework::master_test_suite();
  return arguments.argc > 1 ? std::atoi(arguments.argv[1]) : 24;
}

scenario ScenarioOn(const fleet_size& fleet) {
  scenario played;
  played.hosts = fleet.hosts;
  played.advertised = fleet.advertised;
  played.requests_per_s = fleet.requests_per_s;
  return played;
}

void CheckBad(const outcome& found, const std::string& what) {
  BOOST_TEST(static_cast<double>(found.new_requests) <= found.Bound(),
             what << ": " << found.new_requests << " of " << found.requests
                  << " requests");
  BOOST_TEST(found.late_requests == 0U, what);
}

}  // namespace

// The bound on requests to a bad version, and on the time to roll it back.
BOOST_AUTO_TEST_CASE(bad_versions_are_rolled_back_within_the_limit) {
  const int seeds = Seeds();
  for (const fleet_size& fleet : kFleets) {
    std::vector<double> exposures;
    std::vector<double> times;
    int wrongly_completed = 0;
    for (int seed = 0; seed < seeds; ++seed) {
      scenario played = ScenarioOn(fleet);
      played.version =
          BadVersions()[static_cast<std::size_t>(seed) % BadVersions().size()];
      const outcome found =
          fleet_replay(played, static_cast<std::uint64_t>(seed)).Play();
      CheckBad(found, played.version.name + ", seed " + std::to_string(seed) +
                          ", " + std::to_string(fleet.hosts) + " hosts");
      exposures.push_back(static_cast<double>(found.new_requests) /
                          found.Bound());
      times.push_back(
          std::chrono::duration<double>(found.decided_after).count());
      wrongly_completed += found.state != rollout_state::kRolledBack ? 1 : 0;
    }
    std::ranges::sort(exposures);
    std::ranges::sort(times);
    const std::size_t last = exposures.size() - 1;
    std::printf(
        "%zu hosts, %d bad versions: exposure 99th percentile %.2f, largest "
        "%.2f of the bound; rolled back after %.1f s (median), %.1f s (most); "
        "%d not rolled back\n",
        fleet.hosts, seeds, exposures[last * 99 / 100], exposures[last],
        times[last / 2], times[last], wrongly_completed);
    BOOST_TEST(wrongly_completed <= seeds / 100);
  }
}

BOOST_AUTO_TEST_CASE(good_versions_are_completed_by_their_deadline) {
  const int seeds = Seeds();
  for (const fleet_size& fleet : kFleets) {
    int completed = 0;
    std::size_t cut = 0;
    for (int seed = 0; seed < seeds; ++seed) {
      scenario played = ScenarioOn(fleet);
      // Every third beside a trouble that is not the version's.
      played.slow_zone = seed % 3 == 1 ? 5 : 1;
      const outcome found =
          fleet_replay(played, 1000 + static_cast<std::uint64_t>(seed)).Play();
      completed += found.state == rollout_state::kCompleted &&
                           found.decided_after <= played.length
                       ? 1
                       : 0;
      cut += found.cut_requests;
    }
    std::printf(
        "%zu hosts: %d of %d good versions completed by the deadline; "
        "%zu requests cut\n",
        fleet.hosts, completed, seeds, cut);
    BOOST_TEST(completed >= seeds - seeds / 100);
    BOOST_TEST(cut == 0U);
  }
}

// Hosts that do not hear each other, and processes that begin anew, add nothing
// to the requests that a bad version gets.
BOOST_AUTO_TEST_CASE(the_limit_holds_in_a_partition_and_over_restarts) {
  for (int seed = 0; seed < 12; ++seed) {
    scenario played = ScenarioOn(kFleets[0]);
    played.version =
        BadVersions()[static_cast<std::size_t>(seed) % BadVersions().size()];
    played.partitioned = seed % 2 == 0;
    if (seed % 2 == 1) {
      played.restart_at = seconds(3 + seed / 2);
    }
    CheckBad(fleet_replay(played, static_cast<std::uint64_t>(seed)).Play(),
             played.version.name + ", seed " + std::to_string(seed));
  }
}

// The endpoints of the order never start: traffic stays where it is.
BOOST_AUTO_TEST_CASE(a_version_that_never_starts_is_rolled_back) {
  scenario played = ScenarioOn(kFleets[0]);
  played.never_starts = true;
  const outcome found = fleet_replay(played, 5).Play();
  BOOST_TEST((found.state == rollout_state::kRolledBack));
  BOOST_TEST(found.new_requests == 0U);
}

// A host that hears of the final state from no one but the other hosts.
BOOST_AUTO_TEST_CASE(a_host_cut_off_from_the_store_follows_the_others) {
  scenario played = ScenarioOn(kFleets[0]);
  played.store_deaf_host = true;
  played.version = BadVersions().front();
  const outcome found = fleet_replay(played, 6).Play();
  BOOST_TEST((found.state == rollout_state::kRolledBack));
  CheckBad(found, "deaf host");
}

}  // namespace trefoilmill
