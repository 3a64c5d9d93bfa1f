/// Fleets whose endpoints end under some requests while their ports stay open:
/// connections are reset, or nothing answers any more. Such requests come again
/// at all hosts, beside others. Without a network; request_run and what it uses
/// are the product's.
#ifndef TREFOILMILL_LIBTREFOILMILL_REQUEST_FATAL_REQUESTS_FLEET_TEST_H_
#define TREFOILMILL_LIBTREFOILMILL_REQUEST_FATAL_REQUESTS_FLEET_TEST_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <ranges>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "trefoilmill/request/request_run.h"

namespace trefoilmill {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class down_form { kReset, kSilent };

struct fleet_scenario {
  std::size_t hosts = 9;
  std::size_t shards = 5;
  std::size_t replicas = 3;
  down_form form = down_form::kSilent;
  std::size_t fatal_requests = 1;
  duration fatal_interval = milliseconds(400);
  /// Other requests a second, of all callers.
  int others_per_second = 40;
  duration length = seconds(26);
  /// All endpoints end at once at this time, and none under a request.
  std::optional<duration> all_end_at;
  unsigned seed = 1;
};

/// The platform's rule counts retries that reach endpoints so long after the
/// third end.
inline constexpr duration kContact = seconds(4);

inline constexpr duration kOneWay = milliseconds(1);
inline constexpr duration kWork = milliseconds(20);
inline constexpr duration kFatalAfter = milliseconds(30);
inline constexpr duration kDown = seconds(2);
/// Until hosts know of a new instance.
inline constexpr duration kMaxAnnouncement = milliseconds(300);
inline constexpr duration kHousekeeping = milliseconds(100);
inline constexpr duration kCrashCheck = milliseconds(10);
inline constexpr duration kLateCrashCheck = milliseconds(100);
/// As in quarantine_sync.
inline constexpr std::size_t kNewsReceivers = 8;
inline constexpr std::size_t kReportsPerMessage = 24;
inline constexpr duration kNewsDelay = milliseconds(5);
inline constexpr duration kMinNewsInterval = milliseconds(50);
/// As in trouble_reports.
inline constexpr duration kReportInterval = milliseconds(250);
inline constexpr std::size_t kMaxReportedEndpoints = 24;
/// Hosts of one zone.
inline constexpr std::size_t kMaxReportReceivers = 65;
/// As in reach_prober.
inline constexpr std::size_t kProbesAtOnce = 2;

class fleet {
 public:
  explicit fleet(const fleet_scenario& played)
      : played_(played), random_(played.seed) {
    BuildTable();
    for (std::size_t n = 0; n < played.shards * played.replicas; ++n) {
      endpoints_.push_back({.number = n, .shard = n / played.replicas});
    }
    for (std::size_t n = 0; n < played.hosts; ++n) {
      hosts_.push_back(std::make_unique<host>(SharedState()));
      for (endpoint_model& e : endpoints_) {
        Announce(*hosts_.back(), e);
      }
      for (int sample = 0; sample < 100; ++sample) {
        hosts_.back()->shared.latencies[route_id("sweep")].Record(
            kWork + milliseconds(2 + sample % 4));
      }
    }
  }

  void Play() {
    for (std::size_t n = 0; n < played_.fatal_requests; ++n) {
      At(now_ + seconds(1), [this, n] { AskFatal(n); });
    }
    At(now_, [this] { AskOther(); });
    At(now_, [this] { RunHousekeeping(); });
    At(now_, [this] { ReportTroubles(); });
    if (played_.all_end_at.has_value()) {
      At(now_ + *played_.all_end_at, [this] {
        for (endpoint_model& e : endpoints_) {
          GoDown(e);
        }
      });
    }
    end_ = now_ + played_.length;
    while (!events_.empty() && events_.top().at < end_) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
  }

  std::size_t late_retries(std::size_t fatal) const {
    const auto& ended = ends_by_.find(fatal);
    if (ended == ends_by_.end() || ended->second.size() < 3) {
      return 0;
    }
    const time_point third = ended->second[2];
    return static_cast<std::size_t>(
        std::ranges::count_if(reached_, [&](const auto& retry) {
          return retry.first == fatal && retry.second > third + kContact;
        }));
  }
  std::size_t ends() const { return ends_; }
  double served() const {
    return static_cast<double>(served_) / static_cast<double>(answered_);
  }
  /// Requests in quarantine, at the host that knows of most.
  std::size_t quarantined() const {
    std::size_t most = 0;
    for (const auto& h : hosts_) {
      most = std::max(most, h->shared.quarantine.quarantined(now_));
    }
    return most;
  }

 private:
  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  /// A sub-request at an endpoint that it has not ended at.
  struct job {
    std::size_t host;
    std::uint64_t request;
    attempt_id attempt;
  };
  struct endpoint_model {
    std::size_t number = 0;
    std::size_t shard = 0;
    std::uint64_t life = 1;
    bool down = false;
    std::vector<job> jobs;
  };
  struct active_request {
    std::unique_ptr<request_run> run;
    request_identity identity;
    std::optional<std::size_t> fatal;
    time_point asked;
    bool is_retry = false;
    std::uint64_t wakes = 0;
  };
  struct host {
    explicit host(shared_request_state&& state) : shared(std::move(state)) {}
    shared_request_state shared;
    std::map<std::uint64_t, active_request> requests;
    bool checking = false;
    bool news_scheduled = false;
    time_point news_sent;
  };

  static service_id Service(std::size_t shard) {
    return service_id("s" + std::to_string(shard));
  }
  std::vector<service_id> Services() const {
    std::vector<service_id> services(played_.shards);
    std::ranges::generate(services, [shard = std::size_t{0}]() mutable {
      return Service(shard++);
    });
    return services;
  }
  static endpoint_id IdOf(const endpoint_model& e) {
    return endpoint_id("e" + std::to_string(e.number) + "-life-" +
                       std::to_string(e.life));
  }
  static std::size_t NumberOf(const endpoint_id& id) {
    return std::stoul(id.value().substr(1));
  }

  void At(time_point at, std::function<void()> run) {
    events_.push({.at = at, .order = ++order_, .run = std::move(run)});
  }

  shared_request_state SharedState() {
    shared_request_state shared{
        .registry = endpoint_registry(milliseconds(2200)),
        .selector =
            endpoint_selector(zone_id("perth"), std::mt19937_64(random_())),
        .extra_sends = extra_send_budget({.ratio = 0.2, .slack = 430}, now_),
        .latencies = {},
        .admission = deadline_admission(std::mt19937_64(random_())),
        .waiting = {},
        .longest_waits = {},
        .answer_by = {}};
    shared.extra_sends.SetHosts({.advertised = played_.hosts});
    shared.selector.reach().SetKnownEndpoints(played_.shards *
                                              played_.replicas);
    return shared;
  }

  void BuildTable() {
    route r;
    r.id = route_id("sweep");
    r.host = "h";
    r.prefix = "/";
    r.retry = retry_rule::kIdempotent;
    r.timeout = seconds(3);
    r.objective = seconds(1);
    r.priority = 1;
    r.max_endpoints = 2;
    r.target =
        gather_target{.shards = Services(), .top_k = 5, .min_coverage = 0.8};
    routing_config config;
    config.routes = {r};
    table_ = route_table::Create(std::move(config)).value();
  }

  void Announce(host& h, const endpoint_model& e) {
    h.shared.registry.Put(
        now_, {.id = IdOf(e),
               .service = Service(e.shard),
               .zone = zone_id("perth"),
               .address = {.ip = "10.0.0.1",
                           .port = static_cast<std::uint16_t>(e.number + 1)},
               .slots = 4,
               .started_ms = e.life});
    h.shared.selector.SetIdleConnections(IdOf(e), 4);
    Check(h);
  }

  void AskFatal(std::size_t number) {
    At(now_ + played_.fatal_interval, [this, number] { AskFatal(number); });
    Ask(random_() % hosts_.size(),
        {.identity = {.content = request_fingerprint(10 + number),
                      .content_and_caller = request_fingerprint(100 + number)},
         .fatal = number});
  }

  void AskOther() {
    std::exponential_distribution<double> gap(played_.others_per_second);
    At(now_ + std::chrono::duration_cast<duration>(
                  std::chrono::duration<double>(gap(random_))),
       [this] { AskOther(); });
    const std::uint64_t unique = 1000 + 2 * ++others_;
    Ask(random_() % hosts_.size(),
        {.identity = {.content = request_fingerprint(unique),
                      .content_and_caller = request_fingerprint(unique + 1)}});
  }

  void Ask(std::size_t at, active_request asked) {
    host& h = *hosts_[at];
    asked.asked = now_;
    if (h.shared.quarantine.StandingOf(now_, asked.identity) ==
        request_standing::kQuarantined) {
      OnAnswered(asked, false);
      return;
    }
    const route* r = table_->Match("h", "/x");
    asked.run = std::make_unique<request_run>(
        table_, *r, Services(), now_, now_ + seconds(3), asked.identity);
    const std::uint64_t number = ++requests_;
    active_request& active = h.requests[number] = std::move(asked);
    Carry(at, number, active.run->Start(now_, h.shared));
  }

  void Carry(std::size_t at,
             std::uint64_t number,
             const request_run::actions& actions) {
    host& h = *hosts_[at];
    for (const request_run::action& action : actions) {
      if (const auto* s = std::get_if<request_run::send>(&action)) {
        At(now_ + kOneWay,
           [this, at, number, sent = *s] { Arrive(at, number, sent); });
      } else if (const auto* w = std::get_if<request_run::wake>(&action)) {
        const std::uint64_t wake = ++h.requests.at(number).wakes;
        At(w->at, [this, at, number, wake] { Wake(at, number, wake); });
      } else if (const auto* f = std::get_if<request_run::finish>(&action)) {
        const auto* gathered = std::get_if<gathered_answer>(&f->answer);
        const bool whole = gathered != nullptr && gathered->missing == 0;
        OnAnswered(h.requests.at(number), whole);
        At(now_, [this, at, number] { Abandon(at, number); });
      }
    }
  }

  void Wake(std::size_t at, std::uint64_t number, std::uint64_t wake) {
    host& h = *hosts_[at];
    const auto found = h.requests.find(number);
    if (found != h.requests.end() && found->second.wakes == wake) {
      request_run& run = *found->second.run;
      const silence_warning warned = run.counts().warned;
      const request_run::actions next = run.Tick(now_, h.shared);
      if (run.counts().warned != warned) {
        TellNews(h);
      }
      Carry(at, number, next);
    }
  }

  /// Callers that got no whole answer come once more, at another host.
  void OnAnswered(const active_request& asked, bool whole) {
    if (asked.fatal.has_value()) {
      return;
    }
    if (!whole && !asked.is_retry) {
      At(now_ + milliseconds(10), [this, identity = asked.identity] {
        Ask(random_() % hosts_.size(),
            {.identity = identity, .is_retry = true});
      });
      return;
    }
    ++answered_;
    served_ += whole ? 1 : 0;
  }

  /// The request is answered: what is still in flight has no outcome.
  void Abandon(std::size_t at, std::uint64_t number) {
    for (endpoint_model& e : endpoints_) {
      std::vector<job> abandoned;
      std::erase_if(e.jobs, [&](const job& j) {
        const bool ends = j.request == number;
        if (ends) {
          abandoned.push_back(j);
        }
        return ends;
      });
      for (const job& j : abandoned) {
        Report(j, reply_lost{reason_code::kDeadlineExceeded});
      }
    }
    hosts_[at]->requests.erase(number);
  }

  void Report(const job& j, attempt_outcome outcome) {
    host& h = *hosts_[j.host];
    const auto found = h.requests.find(j.request);
    if (found == h.requests.end()) {
      return;
    }
    const bool lost = std::holds_alternative<reply_lost>(outcome);
    Carry(j.host, j.request,
          found->second.run->OnOutcome(now_, h.shared, j.attempt,
                                       std::move(outcome)));
    if (lost) {
      TellNews(h);
      StartChecks(j.host);
    }
  }

  void Arrive(std::size_t at,
              std::uint64_t number,
              const request_run::send& sent) {
    const auto found = hosts_[at]->requests.find(number);
    if (found == hosts_[at]->requests.end()) {
      return;
    }
    endpoint_model& e = endpoints_[NumberOf(sent.endpoint)];
    const job j{.host = at, .request = number, .attempt = sent.attempt};
    if (sent.endpoint != IdOf(e)) {
      hosts_[at]->shared.selector.crashes().OnInstanceGone(now_, sent.endpoint);
      Report(j, endpoint_refused{reason_code::kWrongInstance});
      return;
    }
    if (e.down && played_.form == down_form::kReset) {
      Report(j, reply_lost{reason_code::kConnectionReset});
      return;
    }
    e.jobs.push_back(j);
    if (e.down) {
      return;
    }
    const auto fatal = found->second.fatal;
    if (fatal.has_value()) {
      reached_.insert({*fatal, found->second.asked});
    }
    At(now_ + (fatal.has_value() ? kFatalAfter : kWork + kOneWay),
       [this, number = e.number, life = e.life, j, fatal] {
         EndJob(endpoints_[number], life, j, fatal);
       });
  }

  void EndJob(endpoint_model& e,
              std::uint64_t life,
              const job& j,
              std::optional<std::size_t> fatal) {
    if (e.life != life || e.down) {
      return;
    }
    if (fatal.has_value()) {
      ends_by_[*fatal].push_back(now_);
      GoDown(e);
      return;
    }
    const auto removed = std::erase_if(e.jobs, [&](const job& other) {
      return other.attempt == j.attempt && other.host == j.host;
    });
    if (removed == 0) {
      return;
    }
    shared_request_state& shared = hosts_[j.host]->shared;
    OnResponse(shared, IdOf(e));
    endpoint_replied reply;
    reply.response.body = std::string(kRecordBytes, 'x');
    reply.stamp = "stamp";
    Report(j, reply);
  }

  void OnResponse(shared_request_state& shared, const endpoint_id& id) {
    shared.selector.reach().OnResponse(now_, id);
    shared.selector.crashes().OnAlive(now_, id);
    shared.responses.OnResponse(now_, id);
  }

  void GoDown(endpoint_model& e) {
    if (e.down) {
      return;
    }
    e.down = true;
    ++ends_;
    if (played_.form == down_form::kReset) {
      LoseJobs(e);
      // Idle connections are reset, too, and new ones at once.
      for (const auto& h : hosts_) {
        h->shared.selector.SetIdleConnections(IdOf(e), 0);
      }
    }
    At(now_ + kDown,
       [this, number = e.number] { Restart(endpoints_[number]); });
  }

  void LoseJobs(endpoint_model& e) {
    for (const job& j : std::exchange(e.jobs, {})) {
      Report(j, reply_lost{reason_code::kConnectionReset});
    }
  }

  void Restart(endpoint_model& e) {
    const endpoint_id ended = IdOf(e);
    LoseJobs(e);
    ++e.life;
    e.down = false;
    for (const auto& h : hosts_) {
      const duration delay(random_() % kMaxAnnouncement.count());
      At(now_ + delay, [this, &h = *h, ended, &e] {
        h.shared.registry.Withdraw(now_, ended);
        Announce(h, e);
      });
    }
  }

  void RunHousekeeping() {
    At(now_ + kHousekeeping, [this] { RunHousekeeping(); });
    for (const auto& h : hosts_) {
      TellNews(*h);
      ProbeReach(*h);
      for (const auto& change : h->shared.registry.RemoveExpired(now_)) {
        if (const auto* removed =
                std::get_if<endpoint_registry::removed>(&change)) {
          h->shared.selector.Forget(removed->id);
          h->shared.responses.Forget(removed->id);
        }
      }
    }
  }

  void ReportTroubles() {
    At(now_ + kReportInterval, [this] { ReportTroubles(); });
    for (const auto& h : hosts_) {
      auto reports = h->shared.selector.UnhealthyEndpoints(now_);
      reports.resize(std::min(reports.size(), kMaxReportedEndpoints));
      if (reports.empty()) {
        continue;
      }
      const std::size_t receivers =
          std::min(kMaxReportReceivers, hosts_.size());
      const std::size_t first = random_() % hosts_.size();
      for (std::size_t n = 0; n < receivers; ++n) {
        host& to = *hosts_[(first + n) % hosts_.size()];
        for (const endpoint_health_report& report : reports) {
          to.shared.selector.OnPeerReport(now_, report);
        }
      }
    }
  }

  /// As reach_prober does.
  void ProbeReach(host& h) {
    h.shared.selector.reach().Update(now_);
    if (!h.shared.selector.reach().ShouldProbe(now_)) {
      return;
    }
    std::vector<endpoint_id> candidates =
        h.shared.selector.ProbeCandidates(now_, h.shared.registry);
    std::ranges::shuffle(candidates, random_);
    for (const endpoint_id& id : candidates | std::views::take(kProbesAtOnce)) {
      Probe(h, id);
    }
  }

  void TellNews(host& h) {
    const auto news = h.shared.quarantine.TakeNews(now_, kReportsPerMessage);
    if (news.empty()) {
      return;
    }
    h.news_sent = now_;
    for (std::size_t n = 0; n < kNewsReceivers; ++n) {
      At(now_ + kOneWay, [this, &to = *hosts_[random_() % hosts_.size()],
                          news] { OnNews(to, news); });
    }
  }

  void OnNews(host& h, const std::vector<quarantine_report>& news) {
    for (const quarantine_report& report : news) {
      h.shared.quarantine.Merge(now_, report);
    }
    if (!h.shared.quarantine.has_news() ||
        std::exchange(h.news_scheduled, true)) {
      return;
    }
    At(std::max(h.news_sent + kMinNewsInterval, now_ + kNewsDelay), [this, &h] {
      h.news_scheduled = false;
      TellNews(h);
    });
  }

  /// As crash_checker does.
  void StartChecks(std::size_t at, duration delay = kCrashCheck) {
    host& h = *hosts_[at];
    if (std::exchange(h.checking, true)) {
      return;
    }
    At(now_ + delay, [this, at] {
      host& checked = *hosts_[at];
      checked.checking = false;
      Check(checked);
      const endpoint_crashes& crashes = checked.shared.selector.crashes();
      if (!crashes.empty()) {
        StartChecks(at,
                    crashes.IsUndecided(now_) ? kCrashCheck : kLateCrashCheck);
      }
    });
  }

  void Check(host& h) {
    endpoint_crashes& crashes = h.shared.selector.crashes();
    for (const auto& [id, started_ms] : crashes.SuspectedInstances()) {
      if (h.shared.registry.HasEnded(id, started_ms)) {
        crashes.OnInstanceGone(now_, id);
      }
    }
    for (const endpoint_id& id : crashes.TakeUnchecked(now_)) {
      Probe(h, id);
    }
    if (crashes.TakeNeedForSignOfLife(now_)) {
      Probe(h, IdOf(endpoints_[random_() % endpoints_.size()]));
    }
    const auto confirmed = crashes.TakeConfirmed(now_);
    for (const crash_suspect& suspect : confirmed) {
      h.shared.quarantine.OnEndpointEnded(now_, suspect);
    }
    if (!confirmed.empty()) {
      TellNews(h);
    }
  }

  void Probe(host& h, const endpoint_id& id) {
    const endpoint_model& e = endpoints_[NumberOf(id)];
    endpoint_crashes& crashes = h.shared.selector.crashes();
    crashes.OnConnected(id);
    if (id != IdOf(e)) {
      crashes.OnInstanceGone(now_, id);
    } else if (!e.down) {
      OnResponse(h.shared, id);
    } else if (played_.form == down_form::kReset) {
      crashes.OnClosedUnused(now_, id);
    }
  }

  fleet_scenario played_;
  std::mt19937_64 random_;
  std::shared_ptr<const route_table> table_;
  std::vector<endpoint_model> endpoints_;
  std::vector<std::unique_ptr<host>> hosts_;
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  time_point now_{seconds(100)};
  time_point end_;
  std::uint64_t requests_ = 0;
  std::uint64_t others_ = 0;
  std::size_t ends_ = 0;
  std::map<std::size_t, std::vector<time_point>> ends_by_;
  /// Fatal requests that reached endpoints, and when they were sent.
  std::set<std::pair<std::size_t, time_point>> reached_;
  std::size_t answered_ = 0;
  std::size_t served_ = 0;
};

/// Seeds to play; more by hand, with `-- 20`.
inline unsigned LastSeed() {
  const auto& arguments = boost::unit_test::framework::master_test_suite();
  return arguments.argc > 1
             ? static_cast<unsigned>(std::atoi(arguments.argv[1]))
             : 1;
}

/// Fleets of the users' sizes. In the largest each host has few requests.
inline const std::vector<fleet_scenario> fleets = {
    {.hosts = 9, .shards = 5, .replicas = 3, .others_per_second = 40},
    {.hosts = 74, .shards = 12, .replicas = 3, .others_per_second = 150},
    {.hosts = 195, .shards = 42, .replicas = 3, .others_per_second = 150}};

/// Plays one and three fatal requests in both forms in each fleet.
inline void PlayAll(
    duration length,
    const std::function<void(const fleet_scenario&, const fleet&)>& check) {
  for (fleet_scenario played : fleets) {
    for (const down_form form : {down_form::kReset, down_form::kSilent}) {
      for (const std::size_t fatal : {1U, 3U}) {
        played.form = form;
        played.fatal_requests = fatal;
        played.length = length;
        for (played.seed = 1; played.seed <= LastSeed(); ++played.seed) {
          fleet f(played);
          f.Play();
          check(played, f);
        }
      }
    }
  }
}

/// For the message of a failed check.
inline std::string Describe(const fleet_scenario& played, const fleet& f) {
  std::ostringstream text;
  text << played.hosts << " hosts, seed " << played.seed << ", "
       << played.fatal_requests << " fatal, "
       << (played.form == down_form::kSilent ? "silent: " : "reset: ")
       << f.ends() << " ends, " << f.served() << " served";
  return text.str();
}

}  // namespace trefoilmill

#endif  // TREFOILMILL_LIBTREFOILMILL_REQUEST_FATAL_REQUESTS_FLEET_TEST_H_
